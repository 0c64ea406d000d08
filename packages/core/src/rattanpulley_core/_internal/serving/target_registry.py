"""Registry of the targets that an entry host may use.

The platform keeps one entry per target. When an entry disappears, its target is
removed. The exception is the first listing after the store was unreachable:
entries may have expired during the outage and may return, so their targets stay
in use for a short time.
"""

import collections
from collections.abc import Iterable
import dataclasses

# Entries that expired while the store was unavailable return within about two
# seconds of its recovery.
MISSING_ENTRY_GRACE_S = 2.2
MAX_REMEMBERED_RESTARTS = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class TargetEntry:
    """Entry of the platform for one target.

    Attributes:
        target_id: Id of the target, usually a new one after a restart.
        pool: Name of the pool that it belongs to.
        host: IP address.
        port: Port.
        domain: Failure domain.
        version: Version of its software.
        slots: Number of requests that it runs concurrently.
        leaving: Whether it is draining and accepts no new work.
        warmup_left_s: Seconds for which it is still slow after its start.
        started_ms: Start in Unix milliseconds, or 0 if unknown.
    """

    target_id: str
    pool: str
    host: str
    port: int
    domain: str
    version: str
    slots: int
    leaving: bool
    warmup_left_s: float
    started_ms: int

    @property
    def address(self) -> str:
        """IP address and port."""
        return f"{self.host}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True)
class RegistryChange:
    """One change of a target in the registry.

    Attributes:
        target_id: Id of the target.
        kind: added, restarted, leaving, ready, removed or kept.
    """

    target_id: str
    kind: str


class TargetRegistry:
    """Targets by id and by pool."""

    def __init__(self) -> None:
        self._entries_by_id: dict[str, TargetEntry] = {}
        # Ordered, unlike sets of strings: seeded drives repeat exactly.
        self._ids_by_pool: dict[str, dict[str, None]] = {}
        self._ids_by_address: dict[str, dict[str, None]] = {}
        self._missing_since_by_id: dict[str, float] = {}
        # Targets whose process was succeeded by another one at its address.
        self._succeeded_ids: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._listed = False

    @property
    def listed(self) -> bool:
        """Whether a complete listing has been applied."""
        return self._listed

    def entry(self, target_id: str) -> TargetEntry | None:
        """Returns the entry of a target, or None; includes leaving targets."""
        return self._entries_by_id.get(target_id)

    def has_restarted(self, entry: TargetEntry) -> bool:
        """Returns whether the process of a target has ended unannounced.

        Another one has its id or its address.
        """
        current = self.entry(entry.target_id)
        if current is not None:
            return current.started_ms != entry.started_ms
        return entry.target_id in self._succeeded_ids

    def in_pool(self, pool: str) -> list[TargetEntry]:
        """Returns the targets of a pool; includes leaving targets."""
        ids = self._ids_by_pool.get(pool, ())
        return [self._entries_by_id[target_id] for target_id in ids]

    def all_entries(self) -> list[TargetEntry]:
        """Returns the entries of all targets."""
        return list(self._entries_by_id.values())

    def replace_all(
        self, entries: Iterable[TargetEntry], now_s: float, interrupted: bool
    ) -> list[RegistryChange]:
        """Applies a complete listing.

        Args:
            entries: All entries with a usable target.
            now_s: Current time.
            interrupted: Whether the store was unreachable before the listing,
                so that missing entries may have expired.

        Returns:
            The changes of the registry.
        """
        self._listed = True
        listed_by_id = {entry.target_id: entry for entry in entries}
        changes: list[RegistryChange] = []
        for target_id in list(self._entries_by_id):
            if target_id in listed_by_id:
                continue
            if interrupted:
                self._missing_since_by_id.setdefault(target_id, now_s)
                changes.append(RegistryChange(target_id, "kept"))
            elif target_id not in self._missing_since_by_id:
                changes += self.remove(target_id)
        for entry in listed_by_id.values():
            changes += self.upsert(entry)
        return changes

    def upsert(self, entry: TargetEntry) -> list[RegistryChange]:
        """Adds or updates the entry of one target."""
        self._missing_since_by_id.pop(entry.target_id, None)
        known = self._entries_by_id.get(entry.target_id)
        if known is not None and _place(known) != _place(entry):
            self._delete(known)
        changes = self._remove_superseded(entry) if known is None else []
        self._entries_by_id[entry.target_id] = entry
        self._ids_by_pool.setdefault(entry.pool, {})[entry.target_id] = None
        same_address = self._ids_by_address.setdefault(entry.address, {})
        same_address[entry.target_id] = None
        kind = _change_kind(known, entry)
        if kind:
            changes.append(RegistryChange(entry.target_id, kind))
        return changes

    def _remove_superseded(self, entry: TargetEntry) -> list[RegistryChange]:
        """Removes older targets at the address of a newly started one.

        Their entries expire only seconds later.
        """
        at_address = [
            self._entries_by_id[target_id]
            for target_id in self._ids_by_address.get(entry.address, ())
        ]
        superseded = [
            known for known in at_address if known.started_ms < entry.started_ms
        ]
        for known in superseded:
            self._remember_succeeded(known)
        return [
            change
            for known in superseded
            for change in self.remove(known.target_id)
        ]

    def replace_restarted(
        self, target_id: str, successor_id: str, started_ms: int
    ) -> list[RegistryChange]:
        """Replaces a target by the restarted one at its address.

        The store may be unavailable and may not list the restarted target yet.
        The next listing treats it like any other target.

        Args:
            target_id: Id of the target at whose address another one answers.
            successor_id: Id of the target that has the address now.
            started_ms: Start of the successor in Unix milliseconds.

        Returns:
            The changes of the registry.
        """
        if successor_id == target_id:
            # The target refused for another reason, such as different weights.
            return []
        known = self._entries_by_id.get(target_id)
        if known is not None:
            self._remember_succeeded(known)
        if known is None or successor_id in self._entries_by_id:
            return self.remove(target_id)
        successor = dataclasses.replace(
            known, target_id=successor_id, started_ms=started_ms, leaving=False
        )
        return [*self.remove(target_id), *self.upsert(successor)]

    def remove(self, target_id: str) -> list[RegistryChange]:
        """Removes a target and returns the change, if it was registered."""
        self._missing_since_by_id.pop(target_id, None)
        known = self._entries_by_id.get(target_id)
        if known is None:
            return []
        self._delete(known)
        return [RegistryChange(target_id, "removed")]

    def has_missing_entries(self) -> bool:
        """Returns whether targets without an entry are still in use."""
        return bool(self._missing_since_by_id)

    def expire(self, now_s: float) -> list[RegistryChange]:
        """Removes targets whose entries did not return in time."""
        changes: list[RegistryChange] = []
        for target_id, since_s in list(self._missing_since_by_id.items()):
            if now_s - since_s >= MISSING_ENTRY_GRACE_S:
                changes += self.remove(target_id)
        return changes

    def _remember_succeeded(self, entry: TargetEntry) -> None:
        """Remembers a target that did not leave as planned."""
        if entry.leaving:
            return
        self._succeeded_ids[entry.target_id] = None
        if len(self._succeeded_ids) > MAX_REMEMBERED_RESTARTS:
            self._succeeded_ids.popitem(last=False)

    def _delete(self, entry: TargetEntry) -> None:
        del self._entries_by_id[entry.target_id]
        self._ids_by_pool[entry.pool].pop(entry.target_id, None)
        same_address = self._ids_by_address[entry.address]
        del same_address[entry.target_id]
        if not same_address:
            del self._ids_by_address[entry.address]


def _place(entry: TargetEntry) -> tuple[str, str]:
    return entry.pool, entry.address


def _change_kind(known: TargetEntry | None, entry: TargetEntry) -> str:
    """Returns the kind of change of an entry, or an empty string."""
    if known is None:
        return "added"
    if known.started_ms != entry.started_ms:
        return "restarted"
    if known.leaving != entry.leaving:
        return "leaving" if entry.leaving else "ready"
    return ""
