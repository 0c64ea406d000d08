"""Finds the parts of prompts that explain the crashes of targets.

A crash is evidence against all parts of the prompts whose answers had just
begun. The part that crashes targets is in more of them than any other, and in
no answer that went on.
"""

from collections.abc import Iterable, Mapping
from collections.abc import Set as AbstractSet
import dataclasses

from rattanpulley_core._internal.suspects import crash_log
from rattanpulley_core._internal.suspects import reports

# Losses from which a part is refused.
REFUSAL_LOSSES = 5
# Losses without a narrower part that are evidence against the wider one.
OWN_LOSSES = 3
# Targets that are lost within this time count as one loss: a failure domain
# takes all of them, whatever they run.
SIMULTANEOUS_S = 0.3

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
        return count_losses(
            row.run
            for crash, row in self._rows_by_part[part].items()
            if crash not in explained
            and row.run.crashed_s <= self._settled_before_s
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


def count_losses(runs: Iterable[reports.CrashedRun]) -> int:
    """Returns the number of crashes; simultaneous ones count once.

    A prompt that was sent after a crash and crashed another target is no part
    of the same loss, however soon.
    """
    losses = 0
    last: reports.CrashedRun | None = None
    for run in sorted(runs, key=lambda run: run.crashed_s):
        if (
            last is None
            or run.crashed_s >= last.crashed_s + SIMULTANEOUS_S
            or run.may_follow(last)
        ):
            losses += 1
            last = run
    return losses
