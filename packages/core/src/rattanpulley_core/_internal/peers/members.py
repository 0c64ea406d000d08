"""Membership: the daemons known to a daemon, and the order of their states.

State: `PeerTable`, owned by one `PeerCore`. Reports on a member are ordered by
its incarnation first and by the rank of the state second. Of two reports on one
incarnation the worse state therefore wins, and only the member itself can
refute it, by a larger incarnation (SWIM, Das et al. 2002).
"""

from collections.abc import Iterator
import dataclasses
import enum
import json

RANKS_PER_INCARNATION = 4


class MemberState(enum.IntEnum):
    """State of a member; the number is its rank within an incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """Last known report on a daemon.

    Attributes:
        name: Name from its settings.
        failure_domain: Its failure domain.
        address: `HOST:PORT` of its peer stream.
        incarnation: Number that increases on each restart and refutation.
        state: Last known state.
    """

    name: str
    failure_domain: str
    address: str
    incarnation: int
    state: MemberState = MemberState.ALIVE

    @property
    def version(self) -> int:
        """Order of this report among the reports on the member."""
        return self.incarnation * RANKS_PER_INCARNATION + self.state

    def encode(self) -> bytes:
        """Returns the member encoded as the value of a fact."""
        return json.dumps([self.failure_domain, self.address]).encode()


class MemberFormatError(Exception):
    """The value of a member fact is malformed."""


def decode_member(name: str, version: int, value: bytes) -> Member:
    """Decodes a member fact.

    Args:
        name: Name of the member, the key of the fact.
        version: Version of the fact; encodes the incarnation and the state.
        value: Value of the fact.

    Raises:
        MemberFormatError: The value is malformed.
    """
    try:
        failure_domain, address = json.loads(value)
    except (ValueError, TypeError) as error:
        raise MemberFormatError(f"member {name}: malformed value") from error
    if not isinstance(failure_domain, str) or not isinstance(address, str):
        raise MemberFormatError(f"member {name}: fields must be strings")
    incarnation, rank = divmod(version, RANKS_PER_INCARNATION)
    return Member(name, failure_domain, address, incarnation, MemberState(rank))


@dataclasses.dataclass(slots=True)
class MemberRow:
    """Row of the peer table.

    Attributes:
        member: Last known report.
        since_s: Monotonic time at which the report was received, in seconds.
    """

    member: Member
    since_s: float


class PeerTable:
    """Members by name, without the daemon itself.

    Attributes:
        rows_by_name: Rows by the name of the member.
        change_count: Number of updates and removals.
    """

    def __init__(self) -> None:
        self.rows_by_name: dict[str, MemberRow] = {}
        self.change_count = 0

    def __len__(self) -> int:
        return len(self.rows_by_name)

    def __iter__(self) -> Iterator[MemberRow]:
        return iter(list(self.rows_by_name.values()))

    def update(self, member: Member, now_s: float) -> MemberRow:
        """Stores a report; the caller ensures that it is newer."""
        row = MemberRow(member, now_s)
        self.rows_by_name[member.name] = row
        self.change_count += 1
        return row

    def remove(self, name: str) -> None:
        """Removes a member; no effect if it is unknown."""
        if self.rows_by_name.pop(name, None) is not None:
            self.change_count += 1

    def in_state(self, *states: MemberState) -> list[Member]:
        """Returns the members that are in any of the given states."""
        return [
            row.member
            for row in self.rows_by_name.values()
            if row.member.state in states
        ]
