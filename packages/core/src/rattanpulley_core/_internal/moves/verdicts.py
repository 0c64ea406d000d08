"""Grow-only set (CRDT) of verdicts."""

from collections.abc import Iterable, Iterator

from rattanpulley_core._internal.moves import messages


class VerdictSet:
    """Verdicts by pool, version and move id; none is ever removed.

    Two sets with the same verdicts added in any order are equal: of several
    verdicts on the same move the earliest one is kept.
    """

    def __init__(self, verdicts: Iterable[messages.Verdict] = ()) -> None:
        self._verdicts_by_key: dict[tuple[str, str, str], messages.Verdict] = {}
        for verdict in verdicts:
            self.add(verdict)

    def add(self, verdict: messages.Verdict) -> bool:
        """Adds a verdict; returns whether the move had none before."""
        present = self._verdicts_by_key.get(verdict.key)
        if present is None or _order(verdict) < _order(present):
            self._verdicts_by_key[verdict.key] = verdict
        return present is None

    def merge(self, other: "VerdictSet") -> bool:
        """Adds all verdicts of another set; returns whether any is new."""
        before = len(self)
        for verdict in other:
            self.add(verdict)
        return len(self) > before

    def find(
        self, pool: str, version: str, move_id: str
    ) -> messages.Verdict | None:
        """Returns the verdict on a version in a move, or None."""
        return self._verdicts_by_key.get((pool, version, move_id))

    def __iter__(self) -> Iterator[messages.Verdict]:
        return iter(self._verdicts_by_key.values())

    def __len__(self) -> int:
        return len(self._verdicts_by_key)

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, VerdictSet):
            return NotImplemented
        return self._verdicts_by_key == other._verdicts_by_key

    # The set is mutable and therefore not hashable.
    __hash__ = None  # type: ignore[assignment]


def _order(verdict: messages.Verdict) -> tuple[float, str, str]:
    return verdict.wall_s, verdict.daemon, verdict.evidence
