"""Table of the peer streams.

State: `StreamTable`, owned by one `PeerCore`.
"""

from collections.abc import Iterator
import dataclasses
import enum


class StreamState(enum.Enum):
    """Progress of the handshake of a stream."""

    AWAITING_HELLO = "greeted"  # Own hello is sent.
    AWAITING_PROOF = "proving"  # Own proof is sent.
    OPEN = "open"


@dataclasses.dataclass(slots=True)
class StreamRow:
    """Row of the stream table.

    Attributes:
        stream_id: Identifies the stream within the daemon.
        address: Address that this daemon connected to; None if the stream was
            accepted.
        nonce: Nonce that this daemon sent.
        opened_s: Monotonic time of opening.
        heard_s: Monotonic time of the last received message.
        sent_s: Monotonic time of the last heartbeat sent.
        state: State of the handshake.
        peer_name: Name from the hello of the peer; empty before it.
        peer_nonce: Nonce from the hello of the peer; empty before it.
    """

    stream_id: int
    address: str | None
    nonce: bytes
    opened_s: float
    last_received_s: float
    last_heartbeat_s: float
    state: StreamState = StreamState.AWAITING_HELLO
    peer_name: str = ""
    peer_nonce: bytes = b""


class StreamTable:
    """Streams by id, in any handshake state."""

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
        """Returns the names of the peers with an open stream."""
        return {row.peer_name for row in self.open_rows()}

    def addresses(self) -> set[str]:
        """Returns the addresses that this daemon connected to."""
        return {
            row.address
            for row in self.rows_by_id.values()
            if row.address is not None
        }
