"""Record of an answer as a caller received it, and statistics over records."""

from collections.abc import Sequence
import dataclasses
import itertools
import math
from typing import Any

from rattanpulley_standins._internal.load import checker as checker_lib

# A gap is attributed to a fault if it overlaps this time after the fault.
# Tokens that were in transit arrive within it.
FAULT_OVERLAP_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Gap:
    """Gap between two consecutive tokens, in monotonic seconds."""

    start_s: float
    end_s: float

    @property
    def length_s(self) -> float:
        """Length of the gap in seconds."""
        return self.end_s - self.start_s


@dataclasses.dataclass(slots=True)
class AnswerRecord:
    """Record of one answer.

    Attributes:
        prompt: Prompt of the request.
        checker: Checker of the received tokens.
        started_s: Monotonic time at which the caller starts.
        token_times_s: Monotonic time of arrival of each new token.
        reconnects: Number of reconnects after a lost connection.
        refusals: Number of rejected requests that were retried.
        error: Why the caller gave up; empty if it did not.
        abandoned_short_ids: Short ids of the generations that the caller
            abandoned when it restarted its answer.
        server: Base URL of the daemon that the caller reads from.
    """

    prompt: str
    checker: checker_lib.AnswerChecker
    started_s: float
    token_times_s: list[float] = dataclasses.field(default_factory=list)
    reconnects: int = 0
    refusals: int = 0
    error: str = ""
    abandoned_short_ids: set[str] = dataclasses.field(default_factory=set)
    server: str = ""

    @property
    def short_generation_ids(self) -> set[str]:
        """Short ids of all generations that the caller received."""
        return self.abandoned_short_ids | {self.checker.short_generation_id}

    @property
    def is_complete(self) -> bool:
        """Whether the answer is complete and correct."""
        return self.checker.is_complete and not self.error

    @property
    def first_token_s(self) -> float | None:
        """Time to the first token in seconds, or None without tokens."""
        if not self.token_times_s:
            return None
        return self.token_times_s[0] - self.started_s

    def record_tokens(self, count: int, now_s: float) -> None:
        """Records the arrival of new tokens."""
        self.token_times_s.extend([now_s] * count)

    def is_streaming_at(self, now_s: float) -> bool:
        """Returns whether the answer had started but not ended at `now_s`."""
        times = self.token_times_s
        if not times or times[0] > now_s:
            return False
        return len(times) < self.checker.expected_length or times[-1] > now_s

    def gaps(self) -> list[Gap]:
        """Returns the gaps between consecutive tokens."""
        pairs = itertools.pairwise(self.token_times_s)
        return [Gap(start, end) for start, end in pairs]

    def longest_gap(self) -> Gap | None:
        """Returns the longest gap, or None with fewer than two tokens."""
        return max(self.gaps(), key=lambda gap: gap.length_s, default=None)

    def gap_at(self, fault_s: float) -> Gap | None:
        """Returns the longest gap that is attributed to a fault, or None."""
        end_s = fault_s + FAULT_OVERLAP_S
        overlapping = [
            gap
            for gap in self.gaps()
            if gap.start_s <= end_s and gap.end_s > fault_s
        ]
        return max(overlapping, key=lambda gap: gap.length_s, default=None)


def percentile(values: Sequence[float], percent: float) -> float | None:
    """Returns the nearest-rank percentile, or None without values."""
    if not values:
        return None
    rank = math.ceil(percent / 100 * len(values))
    return sorted(values)[max(rank, 1) - 1]


def distribution_ms(values_s: Sequence[float]) -> dict[str, Any]:
    """Returns count, median, p95, p99 and maximum in milliseconds."""
    figures: dict[str, Any] = {"count": len(values_s)}
    for name, percent in (("p50", 50), ("p95", 95), ("p99", 99), ("max", 100)):
        value = percentile(values_s, percent)
        figures[name] = None if value is None else round(value * 1000, 1)
    return figures


def summary(records: Sequence[AnswerRecord]) -> dict[str, Any]:
    """Returns statistics over all answers as a JSON object."""
    problems: dict[str, int] = {}
    for record in records:
        for kind, count in record.checker.problems().items():
            problems[kind] = problems.get(kind, 0) + count
    first = [r.first_token_s for r in records if r.first_token_s is not None]
    intervals = [gap.length_s for r in records for gap in r.gaps()]
    longest = [gap for r in records if (gap := r.longest_gap()) is not None]
    return {
        "answers": len(records),
        "whole": sum(record.is_complete for record in records),
        "tokens": sum(len(record.token_times_s) for record in records),
        "problems": problems,
        "errors": sorted({r.error for r in records if r.error}),
        "reconnects": sum(record.reconnects for record in records),
        "refusals": sum(record.refusals for record in records),
        "first_token_ms": distribution_ms(first),
        "interval_ms": distribution_ms(intervals),
        "longest_gap_ms": distribution_ms([gap.length_s for gap in longest]),
    }
