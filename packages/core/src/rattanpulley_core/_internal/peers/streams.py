"""Table of the open peer streams.

State: `StreamTable`, owned by one `PeerCore`.
"""

from collections.abc import Iterator
import dataclasses
import enum


class StreamState(enum.Enum):
    """How far a stream's handshake is."""

    GREETED = "greeted"  # Own hello sent, the peer's hello awaited.
    PROVING = "proving"  # Own proof sent, the peer's proof awaited.
    OPEN = "open"


@dataclasses.dataclass(slots=True)
class StreamRow:
    """Entity of the stream table.

    Attributes:
        stream_id: Identifies the stream within the daemon.
        address: The address connected to, or None for an accepted stream.
        nonce: Nonce that this daemon sent.
        opened_s: Monotonic time of opening.
        heard_s: Monotonic time of the last message.
        sent_s: Monotonic time of the last heartbeat sent.
        state: State of the handshake.
        peer_name: Name of the peer, once it said hello.
        peer_nonce: Nonce that the peer sent.
    """

    stream_id: int
    address: str | None
    nonce: bytes
    opened_s: float
    heard_s: float
    sent_s: float
    state: StreamState = StreamState.GREETED
    peer_name: str = ""
    peer_nonce: bytes = b""


class StreamTable:
    """Streams by id."""

    def __init__(self) -> None:
        self.rows_by_id: dict[int, StreamRow] = {}

    def __iter__(self) -> Iterator[StreamRow]:
        return iter(list(self.rows_by_id.values()))

    def open_rows(self) -> list[StreamRow]:
        """Returns the streams whose handshake is complete."""
        return [
            row
            for row in self.rows_by_id.values()
            if row.state is StreamState.OPEN
        ]

    def open_peer_names(self) -> set[str]:
        """Returns the names of the peers that a stream is open to."""
        return {row.peer_name for row in self.open_rows()}

    def addresses(self) -> set[str]:
        """Returns the addresses that streams were opened to."""
        return {
            row.address
            for row in self.rows_by_id.values()
            if row.address is not None
        }
