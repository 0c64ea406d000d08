"""Summary table of the demo."""

from collections.abc import Sequence

from rattanpulley_standins._internal.injection import costs as costs_lib
from rattanpulley_standins._internal.injection import injector as injector_lib
from rattanpulley_standins._internal.load import record as record_lib

PERCENTILES = (50, 95, 99)
LABELS_BY_KIND = {
    injector_lib.FaultKind.RESET: "engine killed",
    injector_lib.FaultKind.PAUSED: "engine paused",
    injector_lib.FaultKind.SILENT: "connections silent",
    injector_lib.FaultKind.QUARTER_LOST: "quarter of engines killed",
    injector_lib.FaultKind.DAEMON_LOST: "daemon killed",
}


def summary_table(
    records: Sequence[record_lib.AnswerRecord],
    injections: Sequence[injector_lib.Injection],
    costs: costs_lib.Costs,
) -> str:
    """Returns the summary table as text."""
    delivered = sum(len(record.token_times_s) for record in records)
    whole = sum(record.is_complete for record in records)
    rows = [
        ("answers whole", f"{whole} of {len(records)}"),
        ("tokens delivered", str(delivered)),
        ("tokens missing", str(_total(records, "missing"))),
        ("tokens repeated", str(_total(records, "repeated"))),
        ("tokens of another generation", str(_total(records, "mixed"))),
        ("reconnects of callers", str(sum(r.reconnects for r in records))),
        *_latency_rows(records, injections),
        ("recomputed prefix tokens", str(costs.recomputed_prefix_tokens)),
        ("extra tokens computed", f"{costs.overhead_fraction(delivered):.2%}"),
    ]
    width = max(len(label) for label, _ in rows)
    lines = [f"{label:<{width}}  {value}" for label, value in rows]
    lines += [
        f"not whole: {r.prompt}: {_failure_reason(r)}"
        for r in _incomplete_records(records)
    ]
    return "\n".join(lines)


def gaps_by_kind(
    records: Sequence[record_lib.AnswerRecord],
    injections: Sequence[injector_lib.Injection],
) -> dict[injector_lib.FaultKind, list[float]]:
    """Returns the gaps of the affected answers, in seconds, by fault kind."""
    gaps: dict[injector_lib.FaultKind, list[float]] = {}
    for injection in injections:
        for victim in injection.affected_records(records):
            gap = victim.gap_at(injection.at_s)
            if gap is not None:
                gaps.setdefault(injection.kind, []).append(gap.length_s)
    return gaps


def _latency_rows(
    records: Sequence[record_lib.AnswerRecord],
    injections: Sequence[injector_lib.Injection],
) -> list[tuple[str, str]]:
    gaps = gaps_by_kind(records, injections)
    engine_gaps = [
        gap
        for kind, lengths in gaps.items()
        if kind is not injector_lib.FaultKind.DAEMON_LOST
        for gap in lengths
    ]
    rows = [("resume latency, all engine faults", _percentiles(engine_gaps))]
    rows += [
        (f"  {LABELS_BY_KIND[kind]}", _percentiles(lengths))
        for kind, lengths in gaps.items()
    ]
    return rows


def _percentiles(values_s: Sequence[float]) -> str:
    if not values_s:
        return "no answer was affected"
    parts = []
    for percent in PERCENTILES:
        value_s = record_lib.percentile(values_s, percent) or 0.0
        parts.append(f"p{percent} {value_s * 1000:.0f} ms")
    return f"{', '.join(parts)} ({len(values_s)} answers)"


def _total(records: Sequence[record_lib.AnswerRecord], kind: str) -> int:
    return sum(record.checker.problems().get(kind, 0) for record in records)


def _incomplete_records(
    records: Sequence[record_lib.AnswerRecord],
) -> list[record_lib.AnswerRecord]:
    return [record for record in records if not record.is_complete]


def _failure_reason(record: record_lib.AnswerRecord) -> str:
    problems = record.checker.problems()
    return record.error or f"{problems}, ended at {record.checker.next_index}"
