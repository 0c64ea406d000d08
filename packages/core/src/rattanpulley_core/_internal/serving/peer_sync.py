"""What entry hosts tell each other so that few of them ask the store.

The store stays the source of every belief. A host that asks another one learns
that nothing has changed since a moment, or which targets have; ages are stated
with each report and add up along a chain of hosts.
"""

from collections import deque
import dataclasses

from rattanpulley_core._internal.serving import fleet
from rattanpulley_core._internal.serving import sources
from rattanpulley_core._internal.serving import target_registry

# Changes that are kept for hosts that ask seldom; a crash of a failure domain
# is some tens of them.
MAX_KEPT_CHANGES = 400
# Hosts that are asked before the store is.
MAX_PEERS = 2
# In small fleets all hosts ask the same ones; in others those of their domain,
# which stay in reach when domains lose each other.
SMALL_FLEET_HOSTS = 16
# A host that did not answer is not asked again for this long.
SILENT_PEER_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigReport:
    """What a host believes of the configuration.

    Attributes:
        version: Version in force there.
        digest: Digest of its content.
        age_s: Time since the read that confirmed it was sent.
    """

    version: int
    digest: str
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class TargetsReport:
    """What a host knows of the changes of targets.

    Attributes:
        changes: Changes after the position that was asked about, or None when
            the host has not come that far. A watch of the store returns at the
            first change, so that it has seen none meanwhile.
        age_s: Time since the call that confirmed the newest of them was sent.
    """

    changes: sources.TargetChanges | None
    age_s: float


class ChangeLog:
    """The newest changes of targets by position of the store."""

    def __init__(self) -> None:
        self._changes: deque[tuple[int, sources.TargetChanges]] = deque()
        self._position: int | None = None

    @property
    def position(self) -> int | None:
        """Position of the store up to which changes are known."""
        return self._position

    def restart(self, position: int) -> None:
        """Forgets all changes, after a listing."""
        self._changes.clear()
        self._position = position

    def append(self, changes: sources.TargetChanges) -> None:
        """Keeps changes that follow the known position."""
        if self._position is None:
            return
        if changes.changed or changes.removed_ids:
            self._changes.append((self._position, changes))
            if len(self._changes) > MAX_KEPT_CHANGES:
                self._changes.popleft()
        self._position = changes.position

    def since(self, position: int) -> sources.TargetChanges | None:
        """Returns all changes after a position, or None if not all are known.

        Positions are the store's, so that they mean the same to every host. A
        change that is told twice is harmless.
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
    """Which hosts this one asks before the store."""

    def __init__(self, known: fleet.Fleet, own: fleet.HostEntry) -> None:
        """Creates an order in which no host was found silent.

        Args:
            known: All hosts.
            own: This host.
        """
        self._fleet = known
        self._own = own
        self._silent_until_s: dict[str, float] = {}

    def peers(self, now_s: float) -> list[fleet.HostEntry]:
        """Returns the hosts to ask, in this order; none if this one leads.

        All hosts have the same order by name. Each asks the first ones before
        itself that were not found silent, so that nobody asks in a circle and
        hosts that are lost for good are passed over.
        """
        entries = self._fleet.entries
        if len(entries) > SMALL_FLEET_HOSTS:
            entries = tuple(e for e in entries if e.domain == self._own.domain)
        before = [
            entry
            for entry in entries
            if entry.name < self._own.name
            and entry.address
            and now_s >= self._silent_until_s.get(entry.name, now_s)
        ]
        return before[:MAX_PEERS]

    def mark_unresponsive(self, name: str, now_s: float) -> None:
        """Notes that a host did not answer."""
        self._silent_until_s[name] = now_s + SILENT_PEER_S
