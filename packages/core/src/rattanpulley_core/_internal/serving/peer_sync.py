"""Exchange of state between entry hosts, so that few of them read the store.

The store remains the source of all state. A host that queries another one
learns which targets have changed, or that nothing has changed since a given
time. Each report states its age, and the ages add up along a chain of hosts.
"""

from collections import deque
import dataclasses
import random

from rattanpulley_core._internal.serving import fleet
from rattanpulley_core._internal.serving import sources
from rattanpulley_core._internal.serving import target_registry
from rattanpulley_core._internal.suspects import shared_reports

# Number of changes that are kept for hosts that query rarely. A crash of a
# failure domain causes a few tens of changes.
MAX_KEPT_CHANGES = 400
# Number of hosts that are queried before the store.
MAX_PEERS = 2
# In a fleet of at most this size, all hosts query the same ones. In a larger
# one, they query hosts of their own failure domain, which stay reachable when
# the domains are partitioned; only the leaders of the domains query each other.
SMALL_FLEET_HOSTS = 16
# A host that did not respond is not queried again for this long.
UNRESPONSIVE_PEER_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class SharingPeriods:
    """Times of a host's refreshes, as fractions of the refresh period.

    The longest time that a change takes to reach a host is the sum of the
    periods of the hosts on its way from the store.

    Attributes:
        store: Time between two reads of the store.
        query: Time between two queries of other hosts.
        max_age: Greatest age of a report that is accepted.
    """

    store: float
    query: float
    max_age: float


# All hosts query the one that reads the store.
SMALL_FLEET_PERIODS = SharingPeriods(store=0.6, query=0.6, max_age=0.6)
# Reports pass through the leader of the domain, so each step is shorter.
DOMAIN_LEADER_PERIODS = SharingPeriods(store=0.5, query=0.3, max_age=0.8)
DOMAIN_MEMBER_PERIODS = SharingPeriods(store=0.5, query=0.4, max_age=0.8)


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
        crashes: Crash reports that the host has and this one may lack, a batch
            for each kind that it sent.
    """

    changes: sources.TargetChanges | None
    age_s: float
    crashes: tuple[shared_reports.ReportBatch, ...] = ()


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
        permanently lost are skipped. In a large fleet these are hosts of its
        own failure domain. The first one of a domain is its leader and queries
        the leaders of other domains, so that the number of hosts that read the
        store does not depend on the number of domains.
        """
        responsive = self._responsive(now_s)
        if not self._is_large:
            return self._preceding(responsive)
        domain = self._own.domain
        own_domain = [entry for entry in responsive if entry.domain == domain]
        return self._preceding(own_domain) or self._preceding(
            _first_by_domain(responsive)
        )

    def other_hosts(
        self, now_s: float, rng: random.Random
    ) -> list[fleet.HostEntry]:
        """Returns random hosts to query when the store turns this host away.

        They may include hosts that query this one. Reports carry their age, so
        that a cycle does not make old state look recent.
        """
        others = [
            entry
            for entry in self._responsive(now_s)
            if entry.name != self._own.name
        ]
        return rng.sample(others, min(MAX_PEERS, len(others)))

    def periods(self, now_s: float) -> SharingPeriods:
        """Returns the times of this host's refreshes."""
        if not self._is_large:
            return SMALL_FLEET_PERIODS
        is_member = any(
            entry.domain == self._own.domain for entry in self.peers(now_s)
        )
        return DOMAIN_MEMBER_PERIODS if is_member else DOMAIN_LEADER_PERIODS

    @property
    def _is_large(self) -> bool:
        return len(self._fleet.entries) > SMALL_FLEET_HOSTS

    def _responsive(self, now_s: float) -> list[fleet.HostEntry]:
        return [
            entry
            for entry in self._fleet.entries
            if entry.address
            and now_s >= self._unresponsive_until_s.get(entry.name, now_s)
        ]

    def _preceding(
        self, entries: list[fleet.HostEntry]
    ) -> list[fleet.HostEntry]:
        preceding = [e for e in entries if e.name < self._own.name]
        return preceding[:MAX_PEERS]

    def mark_unresponsive(self, name: str, now_s: float) -> None:
        """Records that a host did not respond."""
        self._unresponsive_until_s[name] = now_s + UNRESPONSIVE_PEER_S


def _first_by_domain(entries: list[fleet.HostEntry]) -> list[fleet.HostEntry]:
    """Returns the first host of each failure domain, in the given order."""
    first_by_domain: dict[str, fleet.HostEntry] = {}
    for entry in entries:
        first_by_domain.setdefault(entry.domain, entry)
    return list(first_by_domain.values())
