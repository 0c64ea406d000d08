"""Messages between daemons, and events and actions of the peer part."""

import dataclasses

from rattanpulley_core._internal.peers import facts
from rattanpulley_core._internal.peers import members


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """Base of the messages on a peer stream."""


@dataclasses.dataclass(frozen=True, slots=True)
class Hello(Message):
    """First message of both ends; the nonce is to be proved by the other."""

    member: members.Member
    nonce: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Welcome(Message):
    """Proof of a shared key over both nonces and the sender's name."""

    proof: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat(Message):
    """Shows that the sender lives."""

    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Facts(Message):
    """Facts; `expires_s` of each is the time left in seconds."""

    facts: tuple[facts.Fact, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class FactsRequest(Message):
    """Digests of the sender's facts; asks for those that differ."""

    digests: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TableRequest(Message):
    """Asks for the content of a table newer than `newer_than`."""

    table: str
    newer_than: int


@dataclasses.dataclass(frozen=True, slots=True)
class TableContent(Message):
    """Content of a table at a version, compressed."""

    table: str
    version: int
    content: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """Base of the events."""


@dataclasses.dataclass(frozen=True, slots=True)
class StreamOpened(Event):
    """A stream to or from another daemon is open.

    Attributes:
        stream_id: Identifies the stream within the daemon.
        address: The address connected to, or None for an accepted stream.
    """

    stream_id: int
    address: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class StreamClosed(Event):
    """A stream ended, for whatever reason."""

    stream_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectFailed(Event):
    """A stream could not be opened."""

    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class MessageReceived(Event):
    """A message arrived on a stream."""

    stream_id: int
    message: Message


@dataclasses.dataclass(frozen=True, slots=True)
class FactPublished(Event):
    """This daemon states a fact; `time_to_live_s` is None for kept kinds."""

    kind: facts.FactKind
    key: str
    version: int
    value: bytes
    time_to_live_s: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class Leaving(Event):
    """This daemon stops in order; its peers need not suspect it."""


@dataclasses.dataclass(frozen=True, slots=True)
class TableWanted(Event):
    """This daemon lacks a table's content and cannot get it elsewhere."""

    table: str
    newer_than: int


@dataclasses.dataclass(frozen=True, slots=True)
class TableAvailable(Event):
    """This daemon has a table in force; it serves the content to peers."""

    table: str
    version: int
    content: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Action:
    """Base of the actions."""


@dataclasses.dataclass(frozen=True, slots=True)
class OpenStream(Action):
    """Connect to a peer's address."""

    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class CloseStream(Action):
    """Close a stream at once."""

    stream_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class Send(Action):
    """Send a message on a stream."""

    stream_id: int
    message: Message


@dataclasses.dataclass(frozen=True, slots=True)
class FactLearned(Action):
    """A fact of another daemon is new here."""

    fact: facts.Fact


@dataclasses.dataclass(frozen=True, slots=True)
class TableReceived(Action):
    """Content of a table arrived from a peer."""

    table: str
    version: int
    content: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class MemberChanged(Action):
    """A member's state changed."""

    member: members.Member
