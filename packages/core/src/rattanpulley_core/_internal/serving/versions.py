"""Which versions of a pool's targets may take requests.

Targets of a version that was never seen before may belong to an order of the
operator, of which a host learns from the store only. They take no request until
the orders were read after they appeared.
"""

from collections.abc import Iterable
import enum

from rattanpulley_core._internal.serving import rollouts
from rattanpulley_core._internal.serving import target_registry


class VersionStatus(enum.Enum):
    """What a version may be used for."""

    UNEXAMINED = "unexamined"
    STABLE = "usual"
    # Takes a small share of the requests.
    CANARY = "canary"
    # Good by all evidence; takes over when the order is completed. Keeps copies
    # of memory, since the targets of the old version stop at once then.
    ACCEPTED = "accepted"
    REJECTED = "rejected"


_PoolVersion = tuple[str, str]


class VersionGate:
    """Standing of every version by pool."""

    def __init__(self) -> None:
        self._standings: dict[_PoolVersion, VersionStatus] = {}

    def status_of(self, pool: str, version: str) -> VersionStatus:
        """Returns what a version may be used for."""
        return self._standings.get((pool, version), VersionStatus.UNEXAMINED)

    def unexamined(
        self, entries: Iterable[target_registry.TargetEntry]
    ) -> set[_PoolVersion]:
        """Returns the versions for which the orders must be read."""
        seen = {(entry.pool, entry.version) for entry in entries}
        return {key for key in seen if key not in self._standings}

    def apply_orders(
        self,
        orders: Iterable[rollouts.RolloutOrder],
        seen: Iterable[_PoolVersion],
    ) -> list[tuple[str, str, VersionStatus]]:
        """Takes all orders as they were read from the store.

        Args:
            orders: All orders.
            seen: Versions whose targets were known before the read was sent.

        Returns:
            The versions whose standing changed.
        """
        orders_by_key = {(row.pool, row.version): row for row in orders}
        changes = []
        for key in {*seen, *self._standings, *orders_by_key}:
            before = self._standings.get(key)
            after = _next_standing(before, orders_by_key.get(key))
            if after is not before:
                self._standings[key] = after
                changes.append((*key, after))
        return changes

    def accept(self, pool: str, version: str) -> None:
        """Notes that a version is good by all evidence."""
        if self.status_of(pool, version) is VersionStatus.CANARY:
            self._standings[pool, version] = VersionStatus.ACCEPTED

    def revoke_acceptance(self, pool: str, version: str) -> None:
        """Takes an acceptance back."""
        if self.status_of(pool, version) is VersionStatus.ACCEPTED:
            self._standings[pool, version] = VersionStatus.CANARY

    def canaries(
        self, entries: list[target_registry.TargetEntry]
    ) -> list[target_registry.TargetEntry]:
        """Returns the targets that are on trial."""
        trial = (VersionStatus.CANARY, VersionStatus.ACCEPTED)
        return [
            entry
            for entry in entries
            if self.status_of(entry.pool, entry.version) in trial
        ]

    def stable(
        self, entries: list[target_registry.TargetEntry]
    ) -> list[target_registry.TargetEntry]:
        """Returns the targets for usual requests.

        Before any order was read, a version that is the only one is usual. Of
        several, one may be on trial, and none is used.
        """
        wanted = VersionStatus.STABLE
        if len({entry.version for entry in entries}) == 1:
            first = self.status_of(entries[0].pool, entries[0].version)
            if first is VersionStatus.UNEXAMINED and not self._knows(
                entries[0]
            ):
                wanted = VersionStatus.UNEXAMINED
        return [
            entry
            for entry in entries
            if self.status_of(entry.pool, entry.version) is wanted
        ]

    def _knows(self, entry: target_registry.TargetEntry) -> bool:
        """Returns whether a version of a target's pool was examined."""
        return any(pool == entry.pool for pool, _ in self._standings)

    def accepted(
        self, entries: list[target_registry.TargetEntry]
    ) -> list[target_registry.TargetEntry]:
        """Returns the targets that stand in when no usual one is in reach."""
        return [
            entry
            for entry in entries
            if self.status_of(entry.pool, entry.version)
            is VersionStatus.ACCEPTED
        ]


def _next_standing(
    before: VersionStatus | None, order: rollouts.RolloutOrder | None
) -> VersionStatus:
    """Returns the standing of a version after the orders were read."""
    if order is None:
        # A version that was taken back leaves; a later order for another
        # version does not bring it back.
        return (
            VersionStatus.REJECTED
            if before is VersionStatus.REJECTED
            else (VersionStatus.STABLE)
        )
    if order.state is rollouts.OrderState.COMPLETED:
        return VersionStatus.STABLE
    if order.state is rollouts.OrderState.ROLLED_BACK:
        return VersionStatus.REJECTED
    return before if before is VersionStatus.ACCEPTED else VersionStatus.CANARY
