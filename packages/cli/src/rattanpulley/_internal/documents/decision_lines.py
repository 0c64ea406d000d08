"""Log lines of the daemons that explain what happened to one request."""

from collections.abc import Iterable
import dataclasses
import json
import pathlib
from typing import Any

from rattanpulley import exceptions

# A change of the state cached by a host can affect requests that begin up to
# this many seconds later: entries of lost targets expire within this time.
HOST_STATE_WINDOW_S = 6.0
_HOST_STATE_PREFIXES = ("store.", "config.", "target.", "process.", "settings.")
_COMMON_FIELDS = frozenset({"time", "event", "host", "request"})


@dataclasses.dataclass(frozen=True, slots=True)
class DecisionLine:
    """One log line.

    Attributes:
        time_s: Unix seconds on the clock of the host.
        host: Name of the host.
        event: Name of the event.
        request: Id of the request, or an empty string.
        fields: Inputs and outcome of the decision, by name.
    """

    time_s: float
    host: str
    event: str
    request: str
    fields: dict[str, Any]

    def is_host_state(self) -> bool:
        """Returns whether the line is about state that the host caches."""
        return self.event.startswith(_HOST_STATE_PREFIXES)


def read(paths: Iterable[pathlib.Path]) -> list[DecisionLine]:
    """Returns the decision lines of all files, sorted by time.

    Lines without a decision are skipped, and so is a prefix that a log
    collector puts before the JSON object.

    Raises:
        exceptions.UsageError: A file cannot be read.
    """
    lines: list[DecisionLine] = []
    for path in paths:
        try:
            text = path.read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            raise exceptions.UsageError(
                f"{path}: {error.strerror}", "Name log files of the daemons"
            ) from error
        lines += [line for row in text.splitlines() for line in _decode(row)]
    return sorted(lines, key=lambda line: line.time_s)


def _decode(row: str) -> list[DecisionLine]:
    """Returns the decision line in a line of text, or an empty list."""
    start = row.find("{")
    try:
        document = json.loads(row[start:]) if start >= 0 else None
    except ValueError:
        return []
    if not isinstance(document, dict) or "event" not in document:
        return []
    time_s = document.get("time")
    if isinstance(time_s, bool) or not isinstance(time_s, int | float):
        return []
    return [
        DecisionLine(
            time_s,
            str(document.get("host", "")),
            str(document["event"]),
            str(document.get("request", "")),
            {k: v for k, v in document.items() if k not in _COMMON_FIELDS},
        )
    ]


def lines_for_request(
    lines: list[DecisionLine], request_id: str
) -> list[DecisionLine]:
    """Returns the lines of a request and of the state that affected it.

    Lines about cached state are included when the same host logged them during
    the request or up to `HOST_STATE_WINDOW_S` before it. Those about a target
    are included only when the request used the target.
    """
    request_lines = [line for line in lines if line.request == request_id]
    if not request_lines:
        return []
    first_s = request_lines[0].time_s - HOST_STATE_WINDOW_S
    last_s = request_lines[-1].time_s
    hosts = {line.host for line in request_lines}
    targets = {
        target for line in request_lines for target in _named_targets(line)
    }
    return [
        line
        for line in lines
        if line.request == request_id
        or (
            line.is_host_state()
            and line.host in hosts
            and first_s <= line.time_s <= last_s
            and (
                line.fields.get("target") in targets or not _named_targets(line)
            )
        )
    ]


def _named_targets(line: DecisionLine) -> list[str]:
    """Returns the names of the targets in a line."""
    names = [line.fields.get("target"), line.fields.get("holder")]
    return [target for target in names if isinstance(target, str)]
