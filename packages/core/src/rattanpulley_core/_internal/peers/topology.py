"""Which peers a daemon opens a stream to.

Every daemon computes its choice from the members that it knows, so that no
daemon has a role of its own. Within a failure domain the daemons form a ring
ordered by the hash of their names, with a chord of about the square root of the
ring's size; one link goes to another failure domain. A daemon opens at most
four streams and accepts about as many, whatever the size of the fleet.
"""

from collections.abc import Iterable
import hashlib
import math

from rattanpulley_core._internal.peers import members

CROSS_DOMAIN_LINKS = 2


class NeighbourChoice:
    """Neighbours of a daemon, computed anew when a member changes.

    Sorting the members on each tick would cost more than all other work of the
    peer part at 380 members.
    """

    def __init__(self, peer_table: members.PeerTable) -> None:
        self._peer_table = peer_table
        self._seen_changes = -1
        self._names: set[str] = set()

    def names(self, own: members.Member) -> set[str]:
        """Returns the names of the members to keep a stream to."""
        if self._seen_changes != self._peer_table.changes:
            self._seen_changes = self._peer_table.changes
            living = self._peer_table.in_state(
                members.MemberState.ALIVE, members.MemberState.SUSPECT
            )
            self._names = choose_neighbours(own, living)
        return self._names


def choose_neighbours(
    own: members.Member, others: Iterable[members.Member]
) -> set[str]:
    """Returns the names of the members to keep a stream to.

    Args:
        own: The daemon itself.
        others: Members that are not known to be dead.
    """
    members_by_domain: dict[str, list[members.Member]] = {}
    for member in others:
        members_by_domain.setdefault(member.failure_domain, []).append(member)
    local = members_by_domain.pop(own.failure_domain, [])
    chosen = _ring_neighbours(own, local)
    for link in range(CROSS_DOMAIN_LINKS):
        chosen |= _cross_neighbour(own, members_by_domain, link)
    return chosen


def _ring_neighbours(
    own: members.Member, local: list[members.Member]
) -> set[str]:
    if not local:
        return set()
    ring = sorted([own.name, *(member.name for member in local)], key=_hash)
    position = ring.index(own.name)
    chord = max(1, math.isqrt(len(ring)))
    return {ring[(position + step) % len(ring)] for step in (1, chord)} - {
        own.name
    }


def _cross_neighbour(
    own: members.Member,
    members_by_domain: dict[str, list[members.Member]],
    link: int,
) -> set[str]:
    """Returns the member of largest weight in one other failure domain.

    Rendezvous hashing moves only the links of a member that comes or goes.
    """
    if not members_by_domain:
        return set()
    domain = max(
        members_by_domain, key=lambda name: _hash(f"{own.name}/{link}/{name}")
    )
    best = max(
        members_by_domain[domain],
        key=lambda member: _hash(f"{own.name}/{link}/{member.name}"),
    )
    return {best.name}


def _hash(text: str) -> bytes:
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
