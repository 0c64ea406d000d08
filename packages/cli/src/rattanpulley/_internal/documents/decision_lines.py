"""Log lines of daemons that explain what happened to one request."""

from collections.abc import Iterable
import dataclasses
import json
import pathlib
from typing import Any

from rattanpulley import exceptions

# What a host came to believe this long before a request still explains it:
# entries of lost targets expire within this time.
BELIEF_WINDOW_S = 6.0
_BELIEF_PREFIXES = ("store.", "config.", "target.", "process.", "settings.")
_COMMON_FIELDS = frozenset({"time", "event", "host", "request"})


@dataclasses.dataclass(frozen=True, slots=True)
class DecisionLine:
    """One log line.

    Attributes:
        time_s: Unix seconds on the clock of the host.
        host: Name of the host.
        event: What was decided.
        request: Id of the request, or an empty string.
        fields: The inputs and the outcome.
    """

    time_s: float
    host: str
    event: str
    request: str
    fields: dict[str, Any]

    def is_belief(self) -> bool:
        """Returns whether the line tells what the host came to believe."""
        return self.event.startswith(_BELIEF_PREFIXES)


def read(paths: Iterable[pathlib.Path]) -> list[DecisionLine]:
    """Returns the lines of all files in the order of time.

    Other lines, and what a log collector puts before the JSON object, are
    passed over.

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
    """Returns the line in a row of text, or none."""
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


def about(lines: list[DecisionLine], request_id: str) -> list[DecisionLine]:
    """Returns the lines on a request, and on what decided it.

    Beliefs count when the same host logged them shortly before or during the
    request, and changes of targets only when the request met the target.
    """
    own = [line for line in lines if line.request == request_id]
    if not own:
        return []
    first_s = own[0].time_s - BELIEF_WINDOW_S
    last_s = own[-1].time_s
    hosts = {line.host for line in own}
    targets = {target for line in own for target in _targets(line)}
    return [
        line
        for line in lines
        if line.request == request_id
        or (
            line.is_belief()
            and line.host in hosts
            and first_s <= line.time_s <= last_s
            and (line.fields.get("target") in targets or not _targets(line))
        )
    ]


def _targets(line: DecisionLine) -> list[str]:
    """Returns the targets that a line names."""
    named = [line.fields.get("target"), line.fields.get("holder")]
    return [target for target in named if isinstance(target, str)]
