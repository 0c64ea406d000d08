"""Status of the versions of a pool's targets.

Targets of a new version may belong to a rollout order, which a host can only
read from the store. They receive no requests until the orders have been read
after the targets appeared.

A pool has one order. The next order, or its withdrawal, hides a version whose
order was open until then. Such a version does not become stable by that; only a
completed order makes it stable.

A version whose targets have all left, because another one took its place, can
be ordered again. Its new targets wait for the orders like those of a new
version.
"""

from collections.abc import Iterable
import enum

from rattanpulley_core._internal.serving import rollouts
from rattanpulley_core._internal.serving import target_registry
from rattanpulley_core._internal.serving import version_records


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
    # Was or may have been ordered, and no decision on that order is known. Used
    # only if no other version can serve the pool.
    UNDECIDED = "undecided"


_SETTLED = frozenset((VersionStatus.STABLE, VersionStatus.ACCEPTED))
_IN_TRIAL = frozenset((VersionStatus.CANARY, VersionStatus.ACCEPTED))
# A record may say more of these than the orders do.
_UNPROVEN = frozenset((None, VersionStatus.UNDECIDED)) | _IN_TRIAL
_STATUS_BY_DECISION = {
    rollouts.OrderState.COMPLETED: VersionStatus.STABLE,
    rollouts.OrderState.ROLLED_BACK: VersionStatus.REJECTED,
}
# Status of a version that no order or record names, by its status before.
_STATUS_WITHOUT_ORDER = {
    VersionStatus.STABLE: VersionStatus.STABLE,
    VersionStatus.REJECTED: VersionStatus.REJECTED,
    VersionStatus.CANARY: VersionStatus.UNDECIDED,
    VersionStatus.ACCEPTED: VersionStatus.UNDECIDED,
    VersionStatus.UNDECIDED: VersionStatus.UNDECIDED,
}

_PoolVersion = tuple[str, str]


class VersionGate:
    """Status of every version, by pool."""

    def __init__(self) -> None:
        self._status_by_version: dict[_PoolVersion, VersionStatus] = {}
        # Ids of the targets when they were last observed.
        self._ids_by_version: dict[_PoolVersion, set[str]] = {}

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

    def forget_departed(
        self, entries: Iterable[target_registry.TargetEntry]
    ) -> list[_PoolVersion]:
        """Forgets stable versions whose targets have all left.

        A version is kept while no other stable one can serve its pool: the
        orders cannot be read for its new targets while the store is away.

        Args:
            entries: All targets; called whenever they may have changed.

        Returns:
            The pools and versions that were forgotten.
        """
        ids_by_version: dict[_PoolVersion, set[str]] = {}
        serving: set[_PoolVersion] = set()
        for entry in entries:
            key = (entry.pool, entry.version)
            ids_by_version.setdefault(key, set()).add(entry.target_id)
            if not entry.leaving and self._is_stable(key):
                serving.add(key)
        departed = [
            key
            for key, ids in self._ids_by_version.items()
            if self._is_stable(key)
            and ids.isdisjoint(ids_by_version.get(key, ()))
            and any(row[0] == key[0] and row != key for row in serving)
        ]
        for key in departed:
            del self._status_by_version[key]
        # The old targets may leave before this host has read the completion
        # that makes the other version stable.
        absent = {
            key: ids
            for key, ids in self._ids_by_version.items()
            if key not in ids_by_version and self._is_stable(key)
        }
        self._ids_by_version = absent | ids_by_version
        return departed

    def _is_stable(self, key: _PoolVersion) -> bool:
        return self._status_by_version.get(key) is VersionStatus.STABLE

    def needs_records(
        self,
        orders: Iterable[rollouts.RolloutOrder],
        seen: Iterable[_PoolVersion],
    ) -> bool:
        """Returns whether the orders leave the status of a version open.

        That is so for new versions, and for those whose order is no longer
        there and whose decision this host has not read.

        Args:
            orders: All orders.
            seen: Pools and versions whose targets were known before the read
                was sent.
        """
        named = _state_by_version(orders, ())
        return any(
            self._status_by_version.get(key) in _UNPROVEN
            for key in {*seen, *self._status_by_version} - named.keys()
        )

    def apply_orders(
        self,
        orders: Iterable[rollouts.RolloutOrder],
        seen: Iterable[_PoolVersion],
        records: Iterable[version_records.VersionRecord] = (),
    ) -> list[tuple[str, str, VersionStatus]]:
        """Updates the status of the versions from a read of the orders.

        Args:
            orders: All orders.
            seen: Pools and versions whose targets were known before the read
                was sent.
            records: All records, read after the orders; may be left out if
                `needs_records` is false.

        Returns:
            Pool, version and new status of each version whose status changed.
        """
        orders = tuple(orders)
        current = {(row.pool, row.version) for row in orders}
        open_pools = {
            row.pool for row in orders if row.state is rollouts.OrderState.OPEN
        }
        states = _state_by_version(orders, records)
        examined_pools = {pool for pool, _ in self._status_by_version}
        changes = []
        for key in {*seen, *self._status_by_version, *current}:
            before = self._status_by_version.get(key)
            if key in states:
                after = _status_by_state(before, states[key], key in current)
            elif before is None:
                # Its order may have been replaced before this host read it.
                is_hidden = key[0] in open_pools & examined_pools
                after = (
                    VersionStatus.UNDECIDED
                    if is_hidden
                    else VersionStatus.STABLE
                )
            else:
                after = _STATUS_WITHOUT_ORDER[before]
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
        return [
            entry
            for entry in entries
            if self.status_of(entry.pool, entry.version) in _IN_TRIAL
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

    def last_resort(
        self,
        entries: list[target_registry.TargetEntry],
        listed: Iterable[target_registry.TargetEntry],
    ) -> list[target_registry.TargetEntry]:
        """Returns the targets of undecided versions of a pool without others.

        They are not used while the pool has targets of a stable or an accepted
        version, also if these cannot take a request now.

        Args:
            entries: Targets of the pool to choose from.
            listed: All targets of the pool.
        """
        if any(
            self.status_of(entry.pool, entry.version) in _SETTLED
            for entry in listed
            if not entry.leaving
        ):
            return []
        return [
            entry
            for entry in entries
            if self.status_of(entry.pool, entry.version)
            is VersionStatus.UNDECIDED
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


def _state_by_version(
    orders: Iterable[rollouts.RolloutOrder],
    records: Iterable[version_records.VersionRecord],
) -> dict[_PoolVersion, rollouts.OrderState]:
    """Returns the known state of the order of each version.

    An order goes before what it says of the one before it, which is newer than
    the records.
    """
    states = {record.key: record.state for record in records}
    orders = tuple(orders)
    for order in orders:
        if order.earlier is not None:
            states[order.pool, order.earlier.version] = order.earlier.state
    for order in orders:
        states[order.pool, order.version] = order.state
    return states


def _status_by_state(
    before: VersionStatus | None,
    state: rollouts.OrderState,
    is_current: bool,
) -> VersionStatus:
    """Returns the status of a version by the state of its order.

    Args:
        before: Status before, or None.
        state: State of the order.
        is_current: Whether the order is the one that the pool has now.
    """
    if state is not rollouts.OrderState.OPEN:
        return _STATUS_BY_DECISION[state]
    if not is_current:
        return VersionStatus.UNDECIDED
    return before if before is VersionStatus.ACCEPTED else VersionStatus.CANARY
