"""Messages between daemons, and events and actions of the peer protocol."""

import dataclasses

from rattanpulley_core._internal.peers import facts
from rattanpulley_core._internal.peers import members


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """Base class of the messages on a peer stream."""


@dataclasses.dataclass(frozen=True, slots=True)
class Hello(Message):
    """First message of each end; the other end's proof covers the nonce."""

    member: members.Member
    nonce: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Welcome(Message):
    """HMAC with a shared key over the sender's name and both nonces."""

    proof: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat(Message):
    """Periodic message that shows that the sender is alive."""

    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Facts(Message):
    """Facts whose `expires_s` is the remaining time in seconds."""

    facts: tuple[facts.Fact, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class FactsRequest(Message):
    """Digests of the sender's facts; requests the facts that differ."""

    digests: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TableRequest(Message):
    """Requests the content of a table if its version exceeds `newer_than`."""

    table: str
    newer_than: int


@dataclasses.dataclass(frozen=True, slots=True)
class TableContent(Message):
    """Compressed content of a table at one version."""

    table: str
    version: int
    content: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """Base class of the events that `PeerCore` handles."""


@dataclasses.dataclass(frozen=True, slots=True)
class StreamOpened(Event):
    """A stream to or from another daemon is open.

    Attributes:
        stream_id: Identifies the stream within the daemon.
        address: Address that this daemon connected to; None if the stream was
            accepted.
    """

    stream_id: int
    address: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class StreamClosed(Event):
    """A stream is closed, by either end or by a network failure."""

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
    """This daemon publishes a fact.

    Attributes:
        kind: Kind of the fact.
        key: Subject within the kind.
        version: Order of the facts with the same key.
        value: Payload.
        time_to_live_s: Time until the fact expires; None if it does not.
    """

    kind: facts.FactKind
    key: str
    version: int
    value: bytes
    time_to_live_s: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class Leaving(Event):
    """This daemon shuts down gracefully, so peers need not suspect it."""


@dataclasses.dataclass(frozen=True, slots=True)
class TableWanted(Event):
    """This daemon needs a newer table that it did not get from the store."""

    table: str
    newer_than: int


@dataclasses.dataclass(frozen=True, slots=True)
class TableAvailable(Event):
    """A table is active on this daemon, which serves its content to peers."""

    table: str
    version: int
    content: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Action:
    """Base class of the actions that `PeerCore` returns."""


@dataclasses.dataclass(frozen=True, slots=True)
class OpenStream(Action):
    """Connect to the address of a peer."""

    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class CloseStream(Action):
    """Close a stream immediately."""

    stream_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class Send(Action):
    """Send a message on a stream."""

    stream_id: int
    message: Message


@dataclasses.dataclass(frozen=True, slots=True)
class FactLearned(Action):
    """A new fact arrived from another daemon."""

    fact: facts.Fact


@dataclasses.dataclass(frozen=True, slots=True)
class TableReceived(Action):
    """The compressed content of a table arrived from a peer."""

    table: str
    version: int
    content: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class MemberChanged(Action):
    """The known state of a member changed."""

    member: members.Member
