"""JSON results of the resume latency measurement."""

from typing import Any

from rattanpulley_standins._internal.injection import injector as injector_lib
from rattanpulley_standins._internal.load import record as record_lib
from rattanpulley_standins._internal.resume_measure import (
    callers as callers_lib,
)
from rattanpulley_standins._internal.resume_measure import rounds as rounds_lib

Kind = injector_lib.FaultKind


class LatencyBound:
    """Upper bound of design section 1.2 on a percentile of the latencies.

    Args:
        percent: The percentile, from 0 to 100.
        limit_ms: Limit of the percentile, in milliseconds.
        adds_token_interval: Whether one token interval is added to the limit.
    """

    def __init__(
        self, percent: int, limit_ms: float, adds_token_interval: bool
    ) -> None:
        self._percent = percent
        self._limit_ms = limit_ms
        self._adds_token_interval = adds_token_interval

    def evaluate(
        self, gaps_s: tuple[float, ...], interval_ms: float
    ) -> dict[str, Any]:
        """Returns the limit and whether the gaps are within it.

        The bound is not met without any gaps.
        """
        limit_ms = self._limit_ms
        if self._adds_token_interval:
            limit_ms += interval_ms
        value_s = record_lib.percentile(gaps_s, self._percent)
        return {
            "percentile": self._percent,
            "limit_ms": limit_ms,
            "met": value_s is not None and value_s * 1000 <= limit_ms,
        }


# A paused engine is unresponsive to the daemon, so SILENT and PAUSED have the
# same bound.
BOUNDS_BY_KIND = {
    Kind.RESET: LatencyBound(95, 250, adds_token_interval=True),
    Kind.SILENT: LatencyBound(95, 1000, adds_token_interval=True),
    Kind.PAUSED: LatencyBound(95, 1000, adds_token_interval=True),
    Kind.QUARTER_LOST: LatencyBound(99, 2000, adds_token_interval=False),
}


def fault_results(
    rounds: rounds_lib.FaultRounds,
    groups: callers_lib.CallerGroups,
    interval_ms: float,
) -> dict[str, Any]:
    """Returns the resume latencies of all groups, by kind of fault."""
    rows: dict[str, Any] = {}
    for kind in rounds_lib.FAULT_KINDS:
        row: dict[str, Any] = {}
        for group, records in groups.records_by_group.items():
            result = rounds.result(kind, records)
            row[group] = {
                **record_lib.distribution_ms(result.gaps_s),
                "not_resumed": result.not_resumed,
            }
        daemon_result = rounds.result(
            kind, groups.records_by_group[groups.DAEMON]
        )
        row["bound"] = BOUNDS_BY_KIND[kind].evaluate(
            daemon_result.gaps_s, interval_ms
        )
        row["bound"]["met"] &= daemon_result.not_resumed == 0
        rows[kind.value] = row
    return rows


def answer_results(groups: callers_lib.CallerGroups) -> dict[str, Any]:
    """Returns the summary of all answers of each group."""
    return {
        group: {
            **record_lib.summary(records),
            "repeated_for_catching_up": groups.repeated_tokens_by_group[group],
        }
        for group, records in groups.records_by_group.items()
    }
