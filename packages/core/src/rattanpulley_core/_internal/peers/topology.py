"""Selection of the peers that a daemon opens streams to.

Every daemon selects its neighbours from the members that it knows, so no daemon
has a special role. Within a failure domain the daemons form a ring ordered by
the hash of their names, with a chord of about the square root of the ring size.
`CROSS_DOMAIN_LINKS` links lead to other failure domains. A daemon opens at most
four streams and accepts about as many, independent of the fleet size.
"""

from collections.abc import Iterable
import hashlib
import math

from rattanpulley_core._internal.peers import members

CROSS_DOMAIN_LINKS = 2


class NeighbourSelector:
    """Caches the neighbours of a daemon until a member changes.

    Sorting 380 members on each tick would cost more than all other work of the
    peer protocol.
    """

    def __init__(self, peer_table: members.PeerTable) -> None:
        self._peer_table = peer_table
        self._computed_at_change = -1
        self._cached_names: set[str] = set()

    def neighbour_names(self, own: members.Member) -> set[str]:
        """Returns the names of the members to keep a stream to."""
        if self._computed_at_change != self._peer_table.change_count:
            self._computed_at_change = self._peer_table.change_count
            candidates = self._peer_table.in_state(
                members.MemberState.ALIVE, members.MemberState.SUSPECT
            )
            self._cached_names = choose_neighbours(own, candidates)
        return self._cached_names


def choose_neighbours(
    own: members.Member, others: Iterable[members.Member]
) -> set[str]:
    """Returns the names of the members to keep a stream to.

    Args:
        own: This daemon.
        others: The other members that are alive or suspect.
    """
    members_by_domain: dict[str, list[members.Member]] = {}
    for member in others:
        members_by_domain.setdefault(member.failure_domain, []).append(member)
    local = members_by_domain.pop(own.failure_domain, [])
    neighbours = _ring_neighbours(own, local)
    for link in range(CROSS_DOMAIN_LINKS):
        neighbours |= _cross_domain_neighbour(own, members_by_domain, link)
    return neighbours


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


def _cross_domain_neighbour(
    own: members.Member,
    members_by_domain: dict[str, list[members.Member]],
    link: int,
) -> set[str]:
    """Returns the name of one member of another failure domain, if any.

    Domain and member are selected by rendezvous hashing, so that a member that
    joins or leaves affects only its own links.
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
