"""Members: the daemons that a daemon knows, and the order of their states.

State: `PeerTable`, owned by one `PeerCore`. A member's state is ordered by its
incarnation first and by the rank of the state second, so that of two reports
about one incarnation the worse one wins and only the member itself, by a larger
incarnation, can refute it (SWIM, Das et al. 2002).
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
    """What is known of a daemon.

    Attributes:
        name: Name from its settings.
        failure_domain: Its failure domain.
        address: `HOST:PORT` of its peer stream.
        incarnation: Grows with each restart and with each refutation.
        state: Last known state.
    """

    name: str
    failure_domain: str
    address: str
    incarnation: int
    state: MemberState = MemberState.ALIVE

    @property
    def version(self) -> int:
        """Returns the order of this knowledge among reports on the member."""
        return self.incarnation * RANKS_PER_INCARNATION + self.state

    def encode(self) -> bytes:
        """Returns the member as the value of a fact."""
        return json.dumps([self.failure_domain, self.address]).encode()


class MemberFormatError(Exception):
    """A member fact cannot be read."""


def decode_member(name: str, version: int, value: bytes) -> Member:
    """Reads the value of a member fact.

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
    """Entity of the peer table.

    Attributes:
        member: Last known report.
        since_s: Monotonic time at which the report was learned.
    """

    member: Member
    since_s: float


class PeerTable:
    """Members by name, without the daemon itself."""

    def __init__(self) -> None:
        self.rows_by_name: dict[str, MemberRow] = {}
        self.changes = 0

    def __len__(self) -> int:
        return len(self.rows_by_name)

    def __iter__(self) -> Iterator[MemberRow]:
        return iter(list(self.rows_by_name.values()))

    def update(self, member: Member, now_s: float) -> MemberRow:
        """Stores a report that the caller knows to be newer."""
        row = MemberRow(member, now_s)
        self.rows_by_name[member.name] = row
        self.changes += 1
        return row

    def remove(self, name: str) -> None:
        """Forgets a member."""
        if self.rows_by_name.pop(name, None) is not None:
            self.changes += 1

    def in_state(self, *states: MemberState) -> list[Member]:
        """Returns the members in one of the states."""
        return [
            row.member
            for row in self.rows_by_name.values()
            if row.member.state in states
        ]
