"""JSON form of the facts of version moves, in which peers forward them."""

import dataclasses
from typing import Any

from rattanpulley_core._internal.moves import messages


def verdict_to_json(verdict: messages.Verdict) -> dict[str, Any]:
    """Returns the JSON form that is stored and sent to peers."""
    return dataclasses.asdict(verdict)


def verdict_from_json(value: Any) -> messages.Verdict:
    """Returns the verdict of a JSON form; unknown fields are ignored.

    Raises:
        ValueError: The value is not a verdict.
    """
    try:
        return messages.Verdict(
            pool=str(value["pool"]),
            version=str(value["version"]),
            move_id=str(value["move_id"]),
            daemon=str(value["daemon"]),
            wall_s=float(value["wall_s"]),
            evidence=str(value["evidence"]),
        )
    except (KeyError, TypeError) as error:
        raise ValueError(f"not a verdict: {error!r}") from error


def report_to_json(report: messages.DaemonReport) -> dict[str, Any]:
    """Returns the JSON form of a report."""
    return dataclasses.asdict(report)


def report_from_json(value: Any) -> messages.DaemonReport:
    """Returns the report of a JSON form.

    Raises:
        ValueError: The value is not a report.
    """
    try:
        return messages.DaemonReport(
            daemon=str(value["daemon"]),
            pool=str(value["pool"]),
            move_id=str(value["move_id"]),
            share=float(value["share"]),
            old_running=int(value["old_running"]),
        )
    except (KeyError, TypeError) as error:
        raise ValueError(f"not a report: {error!r}") from error


def batch_to_json(batch: messages.EvidenceBatch) -> dict[str, Any]:
    """Returns the JSON form of a batch.

    An observation is a list without field names, because every daemon receives
    the batches of all others within its bandwidth budget for control messages.
    """
    fields = {
        field.name: getattr(batch, field.name)
        for field in dataclasses.fields(batch)
    }
    fields["observations"] = [
        _observation_row(observation) for observation in batch.observations
    ]
    return fields


def batch_from_json(value: Any) -> messages.EvidenceBatch:
    """Returns the batch of a JSON form; unknown fields are ignored.

    Raises:
        ValueError: The value is not a batch.
    """
    try:
        return messages.EvidenceBatch(
            daemon=str(value["daemon"]),
            boot_id=str(value["boot_id"]),
            seq=int(value["seq"]),
            pool=str(value["pool"]),
            move_id=str(value["move_id"]),
            observations=tuple(
                _observation(row) for row in value["observations"]
            ),
        )
    except (IndexError, KeyError, TypeError) as error:
        raise ValueError(f"not an evidence batch: {error!r}") from error


def _observation_row(observation: messages.Observation) -> list[Any]:
    crash = observation.crash
    return [
        observation.signal.value,
        observation.route,
        float(f"{observation.share:.4g}"),
        list(dataclasses.astuple(observation.counts)),
        list(observation.bad_targets),
        None if crash is None else list(dataclasses.astuple(crash)),
    ]


def _observation(row: Any) -> messages.Observation:
    signal, route, share, counts, bad_targets, crash = row[:6]
    numbers = [int(number) for number in counts[:4]]
    if min(numbers) < 0:
        raise ValueError("not an evidence batch: a count is negative")
    return messages.Observation(
        signal=messages.Signal(signal),
        route=str(route),
        share=float(share),
        counts=messages.Counts(*numbers),
        bad_targets=tuple(str(name) for name in bad_targets),
        crash=None if crash is None else _crash(crash),
    )


def _crash(row: Any) -> messages.CrashEvent:
    return messages.CrashEvent(
        str(row[0]), str(row[1]), bool(row[2]), float(row[3])
    )
