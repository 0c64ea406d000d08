"""Finds the parts of prompts that explain the crashes of targets.

A crash is evidence against all parts of the prompts whose answers had just
begun. The part that crashes targets is in more of them than any other, and in
no answer that went on.
"""

from collections.abc import Iterable, Mapping, Sequence
from collections.abc import Set as AbstractSet
import dataclasses

from rattanpulley_core._internal.suspects import crash_log
from rattanpulley_core._internal.suspects import reports

# Losses from which a part is refused.
REFUSAL_LOSSES = 5
# Losses without a narrower part that are evidence against the wider one.
OWN_LOSSES = 3
# A failure domain that is lost takes its targets within this time, whatever
# they run.
SIMULTANEOUS_S = 0.3
# Crashes of one instant that count at most, so that no single event that takes
# many targets, such as the loss of a pool, refuses a part.
MAX_INSTANT_LOSSES = 3

RowsByCrash = Mapping[crash_log.Crash, crash_log.LogRow]


@dataclasses.dataclass(frozen=True, slots=True)
class Cause:
    """A part that crashes targets.

    Attributes:
        part: The part.
        bundle: The part, and parts that cannot be told from it: they were in
            every prompt with it. A prompt is refused if it has all of them.
        expires_at_s: When too few of its crashes count any more.
    """

    part: str
    bundle: frozenset[str]
    expires_at_s: float


class CauseFinder:
    """Explains a set of crashes by as few parts as possible."""

    def __init__(
        self,
        rows_by_part: Mapping[str, RowsByCrash],
        settled_before_s: float,
    ) -> None:
        """Creates a finder.

        Args:
            rows_by_part: Reports that count, by part and crash.
            settled_before_s: Crashes before this time are known to all hosts;
                only these count.
        """
        self._rows_by_part = {
            part: rows
            for part, rows in rows_by_part.items()
            if len(rows) >= REFUSAL_LOSSES
        }
        self._counter = LossCounter(rows_by_part)
        self._candidates = set(self._rows_by_part)
        self._settled_before_s = settled_before_s

    def find(self) -> tuple[Cause, ...]:
        """Returns the causes, those of the most losses first."""
        causes: list[Cause] = []
        explained: set[crash_log.Crash] = set()
        while True:
            part = self._most_frequent(explained)
            if part is None:
                return tuple(causes)
            part = self._narrowed(part, explained)
            causes.append(self._cause(part))
            self._candidates.remove(part)
            explained |= self._rows_by_part[part].keys()

    def _most_frequent(
        self, explained: AbstractSet[crash_log.Crash]
    ) -> str | None:
        """Returns the part with the most losses, None if all have too few."""
        losses, part = max(
            (
                (self._losses(part, explained), part)
                for part in self._candidates
            ),
            default=(0, None),
        )
        return part if losses >= REFUSAL_LOSSES else None

    def _narrowed(
        self, part: str, explained: AbstractSet[crash_log.Crash]
    ) -> str:
        """Returns the narrowest part that explains the losses as well.

        A part that all prompts share is at every loss of one that few have.
        """
        passed: set[str] = set()
        while True:
            passed.add(part)
            narrower = self._narrower(part, passed, explained)
            if narrower is None:
                return part
            part = narrower

    def _narrower(
        self,
        part: str,
        passed: AbstractSet[str],
        explained: AbstractSet[crash_log.Crash],
    ) -> str | None:
        """Returns a narrower part that explains the losses, or None."""
        return next(
            (
                other
                for other in self._candidates - passed
                if self._is_narrower(other, part)
                and self._explains(other, part, explained)
            ),
            None,
        )

    def _is_narrower(self, other: str, part: str) -> bool:
        """Returns whether `other` was never without `part`, but not vice versa.

        Prompts with the wider part alone may have begun at the same crashes.
        """
        rows = self._rows_by_part[other].keys()
        part_rows = self._rows_by_part[part].keys()
        if part not in self._bundle(other):
            return False
        return rows < part_rows or (
            rows == part_rows and other not in self._bundle(part)
        )

    def _explains(
        self,
        other: str,
        part: str,
        explained: AbstractSet[crash_log.Crash],
    ) -> bool:
        """Returns whether `other` leaves too few losses to the wider `part`."""
        rows = self._rows_by_part[other].keys()
        return (
            self._losses(other, explained) >= REFUSAL_LOSSES
            and self._losses(part, explained | rows) < OWN_LOSSES
        )

    def _losses(
        self, part: str, explained: AbstractSet[crash_log.Crash]
    ) -> int:
        """Returns the settled losses of a part, without explained ones."""
        return self._counter.count(
            part,
            (
                row.run
                for crash, row in self._rows_by_part[part].items()
                if crash not in explained
                and row.run.crashed_s <= self._settled_before_s
            ),
        )

    def _bundle(self, part: str) -> frozenset[str]:
        rows = self._rows_by_part[part]
        companions = (frozenset(row.companions) for row in rows.values())
        return frozenset(
            other
            for other in frozenset.intersection(*companions)
            # One that was cleared lacks some of the crashes.
            if rows.keys() <= self._rows_by_part.get(other, {}).keys()
        ) | {part}

    def _cause(self, part: str) -> Cause:
        expiries_s = sorted(
            row.expires_at_s for row in self._rows_by_part[part].values()
        )
        return Cause(part, self._bundle(part), expiries_s[-REFUSAL_LOSSES])


class LossCounter:
    """Counts the losses that are evidence against a part.

    Crashes of one instant count each, since prompts with the part run side by
    side. They count once if something else took the targets: then one of them
    had no answer to such a prompt that had just begun.
    """

    def __init__(self, rows_by_part: Mapping[str, RowsByCrash]) -> None:
        """Creates a counter.

        Args:
            rows_by_part: All reports that count, by part and crash.
        """
        self._rows_by_part = rows_by_part
        self._lost_s_by_crash: dict[crash_log.Crash, float] = {}
        for rows in rows_by_part.values():
            for crash, row in rows.items():
                lost_s = self._lost_s_by_crash.get(crash, row.run.crashed_s)
                lost_s = min(lost_s, row.run.crashed_s)
                self._lost_s_by_crash[crash] = lost_s

    def count(self, part: str, runs: Iterable[reports.CrashedRun]) -> int:
        """Returns the number of losses.

        Args:
            part: The part.
            runs: Runs of prompts with the part at its crashes.
        """
        return sum(
            1
            if self._has_other_cause(part, instant)
            else min(len(instant), MAX_INSTANT_LOSSES)
            for instant in _group_by_instant(runs)
        )

    def _has_other_cause(
        self, part: str, instant: Sequence[reports.CrashedRun]
    ) -> bool:
        """Returns whether targets without the part were lost in an instant."""
        if len(instant) == 1:
            return False
        crashes_of_part = self._rows_by_part[part].keys()
        earliest_s = instant[0].crashed_s - SIMULTANEOUS_S
        latest_s = instant[-1].crashed_s + SIMULTANEOUS_S
        return any(
            earliest_s <= lost_s <= latest_s and crash not in crashes_of_part
            for crash, lost_s in self._lost_s_by_crash.items()
        )


def _group_by_instant(
    runs: Iterable[reports.CrashedRun],
) -> list[list[reports.CrashedRun]]:
    """Returns the runs grouped by the instant of their crashes, in order.

    A prompt that was sent after a crash and crashed another target is no part
    of the same instant, however soon.
    """
    instants: list[list[reports.CrashedRun]] = []
    for run in sorted(runs, key=lambda run: run.crashed_s):
        first = instants[-1][0] if instants else None
        if (
            first is None
            or run.crashed_s >= first.crashed_s + SIMULTANEOUS_S
            or run.may_follow(first)
        ):
            instants.append([])
        instants[-1].append(run)
    return instants
