"""Exchange of state between entry hosts, so that few of them read the store.

The store remains the source of all state. A host that queries another one
learns which targets have changed, or that nothing has changed since a given
time. Each report states its age, and the ages add up along a chain of hosts.
"""

from collections import deque
import dataclasses

from rattanpulley_core._internal.serving import fleet
from rattanpulley_core._internal.serving import sources
from rattanpulley_core._internal.serving import target_registry

# Number of changes that are kept for hosts that query rarely. A crash of a
# failure domain causes a few tens of changes.
MAX_KEPT_CHANGES = 400
# Number of hosts that are queried before the store.
MAX_PEERS = 2
# In a fleet of at most this size, all hosts query the same ones. In a larger
# one, they query hosts of their own failure domain, which stay reachable when
# the domains are partitioned.
SMALL_FLEET_HOSTS = 16
# A host that did not respond is not queried again for this long.
UNRESPONSIVE_PEER_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigReport:
    """Report of a host about its cached configuration.

    Attributes:
        version: Active version on that host.
        digest: Digest of the content.
        age_s: Seconds since the confirming read was sent.
    """

    version: int
    digest: str
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class TargetsReport:
    """Report of a host about changes of targets.

    Attributes:
        changes: Changes after the requested position, or None if the host has
            not reached it. A watch of the store returns at the first change,
            so the host has not seen any in the meantime.
        age_s: Seconds since the call that confirmed the newest change was sent.
    """

    changes: sources.TargetChanges | None
    age_s: float


class ChangeLog:
    """Newest changes of targets, by store position."""

    def __init__(self) -> None:
        self._changes: deque[tuple[int, sources.TargetChanges]] = deque()
        self._position: int | None = None

    @property
    def position(self) -> int | None:
        """Store position up to which changes are known, or None."""
        return self._position

    def restart(self, position: int) -> None:
        """Removes all changes after a listing at the given position."""
        self._changes.clear()
        self._position = position

    def append(self, changes: sources.TargetChanges) -> None:
        """Appends changes that follow the known position."""
        if self._position is None:
            return
        if changes.changed or changes.removed_ids:
            self._changes.append((self._position, changes))
            if len(self._changes) > MAX_KEPT_CHANGES:
                self._changes.popleft()
        self._position = changes.position

    def since(self, position: int) -> sources.TargetChanges | None:
        """Returns all changes after a position, or None if not all are known.

        Positions are assigned by the store and are therefore the same on every
        host. Applying a change twice is harmless.
        """
        newest = self._position
        if newest is None or position > newest:
            return None
        oldest = self._changes[0][0] if self._changes else newest
        if position < oldest:
            return None
        changed: dict[str, target_registry.TargetEntry] = {}
        removed: dict[str, None] = {}
        for _, row in self._changes:
            if row.position <= position:
                continue
            for target_id in row.removed_ids:
                changed.pop(target_id, None)
                removed[target_id] = None
            for entry in row.changed:
                removed.pop(entry.target_id, None)
                changed[entry.target_id] = entry
        return sources.TargetChanges(
            tuple(changed.values()), tuple(removed), newest
        )


class PeerSelector:
    """Selects the hosts that this one queries before the store."""

    def __init__(self, known: fleet.Fleet, own: fleet.HostEntry) -> None:
        """Creates a selector without unresponsive hosts.

        Args:
            known: All hosts.
            own: Entry of this host.
        """
        self._fleet = known
        self._own = own
        self._unresponsive_until_s: dict[str, float] = {}

    def peers(self, now_s: float) -> list[fleet.HostEntry]:
        """Returns the hosts to query in order, or none if this one is first.

        Hosts are ordered by name. Each host queries the first responsive ones
        that precede it, so that there are no cycles and hosts that are
        permanently lost are skipped.
        """
        entries = self._fleet.entries
        if len(entries) > SMALL_FLEET_HOSTS:
            entries = tuple(e for e in entries if e.domain == self._own.domain)
        preceding = [
            entry
            for entry in entries
            if entry.name < self._own.name
            and entry.address
            and now_s >= self._unresponsive_until_s.get(entry.name, now_s)
        ]
        return preceding[:MAX_PEERS]

    def mark_unresponsive(self, name: str, now_s: float) -> None:
        """Records that a host did not respond."""
        self._unresponsive_until_s[name] = now_s + UNRESPONSIVE_PEER_S
