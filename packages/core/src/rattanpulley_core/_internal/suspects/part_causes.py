"""Finds the parts of prompts that explain the crashes of targets.

A crash is evidence against all parts of the prompts that the target had. The
part that crashes targets is in more of them than any other, at about the same
point of each run, and in no answer that went on beyond it.
"""

import bisect
from collections.abc import Iterable, Mapping, Sequence
from collections.abc import Set as AbstractSet
import dataclasses

from rattanpulley_core._internal.suspects import crash_log
from rattanpulley_core._internal.suspects import reports
from rattanpulley_core._internal.suspects import run_points

# Losses from which a part is refused.
REFUSAL_LOSSES = 5
# Losses without a narrower part that are evidence against the wider one.
OWN_LOSSES = 3
# A failure domain that is lost takes its targets within this time, whatever
# they run.
SIMULTANEOUS_S = 0.3
# Targets that are lost one by one for another reason also hit the few prompts
# with a rare part. From so many instants of such losses on, from this time
# before the first crash of the part, its losses count less.
NOISE_WINDOW_S = 10.0
NOISE_INSTANTS = 3 * REFUSAL_LOSSES
# Domains that are lost every few seconds are fewer.
NOISE_INSTANTS_PER_S = 0.5
NOISE_DIVISOR = 2
# Targets that were lost idle are found within this time, when hosts try to
# connect to them.
FOUND_AFTER_S = 2.0
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
        rows = self._rows_by_part[part]
        return self._counter.count(
            rows,
            {
                crash
                for crash, row in rows.items()
                if crash not in explained
                and row.run.crashed_s <= self._settled_before_s
            },
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

    Only crashes at the same point of the runs count together: a part that
    crashes targets does so at one point, while what ends targets for another
    reason finds their runs anywhere.

    Crashes of one instant count each, since prompts with the part run side by
    side. Where other targets were lost with them, which had no prompt with the
    part at that point, something else may have taken them all: they count once,
    or not at all if the others are more.
    """

    def __init__(self, rows_by_part: Mapping[str, RowsByCrash]) -> None:
        """Creates a counter.

        Args:
            rows_by_part: All reports that count, by part and crash.
        """
        self._lost_s_by_crash: dict[crash_log.Crash, float] = {}
        for rows in rows_by_part.values():
            for crash, row in rows.items():
                lost_s = self._lost_s_by_crash.get(crash, row.run.crashed_s)
                lost_s = min(lost_s, row.run.crashed_s)
                self._lost_s_by_crash[crash] = lost_s
        self._losses_in_order = sorted(
            (lost_s, crash) for crash, lost_s in self._lost_s_by_crash.items()
        )
        self._lost_s_in_order = [lost_s for lost_s, _ in self._losses_in_order]

    def count(
        self,
        rows_by_crash: RowsByCrash,
        counted: AbstractSet[crash_log.Crash],
    ) -> int:
        """Returns the largest number of losses at one point of the runs.

        Args:
            rows_by_crash: All reports on one part.
            counted: The crashes that count.
        """
        groups = {
            group
            for number, measure in enumerate(run_points.MEASURES)
            for group in _group_by_point(
                measure,
                {
                    crash: row.run
                    for crash, row in rows_by_crash.items()
                    if not row.refuted & 1 << number
                },
            )
        }
        losses = max(
            (
                self._count_group(
                    group,
                    [rows_by_crash[crash].run for crash in group & counted],
                )
                for group in groups
            ),
            default=0,
        )
        if losses and self._is_noisy(rows_by_crash):
            losses //= NOISE_DIVISOR
        return losses

    def _is_noisy(self, rows_by_crash: RowsByCrash) -> bool:
        """Returns whether targets are lost all the time without the part."""
        crashed_s = [row.run.crashed_s for row in rows_by_crash.values()]
        since_s = min(crashed_s) - NOISE_WINDOW_S
        needed = max(
            NOISE_INSTANTS, NOISE_INSTANTS_PER_S * (max(crashed_s) - since_s)
        )
        instants = 0
        instant_s = float("-inf")
        for lost_s, crash in self._losses_in_order:
            if crash in rows_by_crash or lost_s < instant_s + SIMULTANEOUS_S:
                continue
            if since_s <= lost_s <= max(crashed_s):
                instant_s = lost_s
                instants += 1
        return instants >= needed

    def _count_group(
        self,
        group: AbstractSet[crash_log.Crash],
        runs: Iterable[reports.CrashedRun],
    ) -> int:
        return sum(
            self._count_instant(group, instant)
            for instant in _group_by_instant(runs)
        )

    def _count_instant(
        self,
        group: AbstractSet[crash_log.Crash],
        instant: Sequence[reports.CrashedRun],
    ) -> int:
        """Returns how many of the crashes of an instant count."""
        is_single = len(instant) == 1
        found_after_s = SIMULTANEOUS_S if is_single else FOUND_AFTER_S
        earliest_s = instant[0].crashed_s - SIMULTANEOUS_S
        latest_s = instant[-1].crashed_s + found_after_s
        # Scanning all losses takes seconds with a full log.
        start = bisect.bisect_left(self._lost_s_in_order, earliest_s)
        end = bisect.bisect_right(self._lost_s_in_order, latest_s)
        others = sum(
            crash not in group for _, crash in self._losses_in_order[start:end]
        )
        if others > len(instant):
            return 0
        if others:
            return 1
        return min(len(instant), MAX_INSTANT_LOSSES)


def _group_by_point(
    measure: run_points.Measure,
    runs_by_crash: Mapping[crash_log.Crash, reports.CrashedRun],
) -> Iterable[frozenset[crash_log.Crash]]:
    """Yields the largest groups of crashes at one point of their runs."""
    points = sorted(
        (point, crash)
        for crash, run in runs_by_crash.items()
        if (point := measure.point_of(run)) is not None
    )
    end = 0
    for start, (point, _) in enumerate(points):
        previous_end = end
        latest = point + measure.width_at(point)
        while end < len(points) and points[end][0] <= latest:
            end += 1
        if end > previous_end:
            yield frozenset(crash for _, crash in points[start:end])


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
