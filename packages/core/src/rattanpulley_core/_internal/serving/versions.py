"""Status of the versions of a pool's targets.

Targets of a new version may belong to a rollout order, which a host can only
read from the store. They receive no requests until the orders have been read
after the targets appeared.
"""

from collections.abc import Iterable
import enum

from rattanpulley_core._internal.serving import rollouts
from rattanpulley_core._internal.serving import target_registry


class VersionStatus(enum.Enum):
    """What a version may be used for."""

    UNEXAMINED = "unexamined"
    STABLE = "usual"
    # Receives a small share of the requests.
    CANARY = "canary"
    # Judged acceptable; becomes stable when the order is completed.
    # Stores the copies of runs, because the targets of the old version stop
    # immediately at that point.
    ACCEPTED = "accepted"
    REJECTED = "rejected"


_PoolVersion = tuple[str, str]


class VersionGate:
    """Status of every version, by pool."""

    def __init__(self) -> None:
        self._status_by_version: dict[_PoolVersion, VersionStatus] = {}

    def status_of(self, pool: str, version: str) -> VersionStatus:
        """Returns the status of a version."""
        return self._status_by_version.get(
            (pool, version), VersionStatus.UNEXAMINED
        )

    def status_by_version(self) -> dict[_PoolVersion, VersionStatus]:
        """Returns the status of each known version, by pool and version."""
        return dict(self._status_by_version)

    def unexamined(
        self, entries: Iterable[target_registry.TargetEntry]
    ) -> set[_PoolVersion]:
        """Returns the versions that need a read of the orders."""
        seen = {(entry.pool, entry.version) for entry in entries}
        return {key for key in seen if key not in self._status_by_version}

    def apply_orders(
        self,
        orders: Iterable[rollouts.RolloutOrder],
        seen: Iterable[_PoolVersion],
    ) -> list[tuple[str, str, VersionStatus]]:
        """Updates the status of the versions from a read of the orders.

        Args:
            orders: All orders.
            seen: Pools and versions whose targets were known before the read
                was sent.

        Returns:
            Pool, version and new status of each version whose status changed.
        """
        orders_by_key = {(row.pool, row.version): row for row in orders}
        changes = []
        for key in {*seen, *self._status_by_version, *orders_by_key}:
            before = self._status_by_version.get(key)
            after = _next_status(before, orders_by_key.get(key))
            if after is not before:
                self._status_by_version[key] = after
                changes.append((*key, after))
        return changes

    def accept(self, pool: str, version: str) -> None:
        """Marks a canary version as accepted."""
        if self.status_of(pool, version) is VersionStatus.CANARY:
            self._status_by_version[pool, version] = VersionStatus.ACCEPTED

    def revoke_acceptance(self, pool: str, version: str) -> None:
        """Returns an accepted version to the canary status."""
        if self.status_of(pool, version) is VersionStatus.ACCEPTED:
            self._status_by_version[pool, version] = VersionStatus.CANARY

    def canaries(
        self, entries: list[target_registry.TargetEntry]
    ) -> list[target_registry.TargetEntry]:
        """Returns the targets of canary and accepted versions."""
        trial = (VersionStatus.CANARY, VersionStatus.ACCEPTED)
        return [
            entry
            for entry in entries
            if self.status_of(entry.pool, entry.version) in trial
        ]

    def stable(
        self, entries: list[target_registry.TargetEntry]
    ) -> list[target_registry.TargetEntry]:
        """Returns the targets of stable versions.

        Before the first read of the orders, a single version is treated as
        stable. If there are several, one of them may be a canary, and none is
        used.
        """
        required = VersionStatus.STABLE
        if len({entry.version for entry in entries}) == 1:
            first = self.status_of(entries[0].pool, entries[0].version)
            if (
                first is VersionStatus.UNEXAMINED
                and not self._has_known_version(entries[0])
            ):
                required = VersionStatus.UNEXAMINED
        return [
            entry
            for entry in entries
            if self.status_of(entry.pool, entry.version) is required
        ]

    def _has_known_version(self, entry: target_registry.TargetEntry) -> bool:
        """Returns whether any version of a target's pool has a status."""
        return any(pool == entry.pool for pool, _ in self._status_by_version)

    def accepted(
        self, entries: list[target_registry.TargetEntry]
    ) -> list[target_registry.TargetEntry]:
        """Returns the targets of accepted versions.

        They are used if no target of a stable version is available.
        """
        return [
            entry
            for entry in entries
            if self.status_of(entry.pool, entry.version)
            is VersionStatus.ACCEPTED
        ]


def _next_status(
    before: VersionStatus | None, order: rollouts.RolloutOrder | None
) -> VersionStatus:
    """Returns the status of a version after a read of the orders."""
    if order is None:
        # The targets of a rolled-back version are being removed. A later order
        # for another version must not make them stable.
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
