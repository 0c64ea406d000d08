"""One request to a target on a dedicated connection.

Each attempt uses a new connection. The target may have closed a reused one, or
it may hold a late response to another request; then it would be unknown whether
a non-idempotent request ran.
"""

from collections.abc import Callable
import dataclasses
import socket as socket_lib

import gevent
from gevent import socket
import h11

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import wire
from rattanpulleyd._internal.sockets import arrived_first
from rattanpulleyd._internal.sockets import bounded_send
from rattanpulleyd._internal.sockets import delivery
from rattanpulleyd._internal.sockets import final_status
from rattanpulleyd._internal.sockets import framing_limit
from rattanpulleyd._internal.sockets import joined_parts
from rattanpulleyd._internal.sockets import late_reads
from rattanpulleyd._internal.sockets import read_turn

# Reachable targets accept within a few milliseconds. A lost packet is
# retransmitted only after a second; another target responds sooner.
CONNECT_TIMEOUT_S = 0.12
# Bounds the work on one read, during which no other greenlet runs.
READ_BYTES = 16 * 1024
MAX_HEAD_BYTES = 64 * 1024
_FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})
# Responses to calls of the relay itself, such as reports.
MAX_CALL_RESPONSE_BYTES = 1024 * 1024
# The kernel closes a connection whose data stays unacknowledged this long.
USER_TIMEOUT_MS = 3000


class AttemptError(Exception):
    """An attempt ended without a response that can be forwarded.

    Attributes:
        kind: Kind of the failure.
        reported_id: Id that the target at the address reports, or an empty
            string.
    """

    def __init__(
        self, kind: serving.FailureKind, reason: str, reported_id: str = ""
    ) -> None:
        super().__init__(reason)
        self.kind = kind
        self.reported_id = reported_id


class ReadWaitExpired(Exception):  # noqa: N818 - an expired wait, not an error
    """No bytes arrived before the wait expired."""


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a target's response.

    Attributes:
        status: HTTP status.
        headers: All headers with their original spelling.
    """

    status: int
    headers: wire.Headers

    def value(self, name: bytes) -> str | None:
        """Returns the value of a header, or None unless it occurs once."""
        return wire.single_header_value(self.headers, name)

    @property
    def frames_body(self) -> bool:
        """Whether the body has a length or chunks.

        Another body ends with its connection, also if that is lost.
        """
        names = {name.lower() for name, _ in self.headers}
        return not names.isdisjoint(_FRAMING_HEADERS)


# Called with the head of each answer and the target that was asked.
HeadObserver = Callable[[serving.TargetEntry, ResponseHead], None]


class TargetConnection:
    """A connection that carries one request.

    Attributes:
        sent: Whether a part of the request may have been sent.
    """

    def __init__(
        self,
        entry: serving.TargetEntry,
        on_head: HeadObserver | None = None,
    ) -> None:
        self._entry = entry
        self._on_head = on_head
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._socket: socket.socket | None = None
        self._turn = read_turn.ReadTurn()
        self._framing = framing_limit.FramingLimit()
        self._ends_with_connection = False
        self.sent = False

    def connect(self, timeout_s: float) -> None:
        """Opens the connection.

        Raises:
            AttemptError: The target could not be reached; nothing was sent.
        """
        sock = _new_socket()
        self._socket = sock
        sock.settimeout(timeout_s)
        try:
            sock.setsockopt(socket_lib.IPPROTO_TCP, socket_lib.TCP_NODELAY, 1)
            sock.setsockopt(
                socket_lib.IPPROTO_TCP,
                socket_lib.TCP_USER_TIMEOUT,
                USER_TIMEOUT_MS,
            )
            sock.connect((self._entry.host, self._entry.port))
        except TimeoutError as error:
            if arrived_first.has_connected(sock):
                return
            self.close()
            raise AttemptError(
                serving.FailureKind.UNREACHABLE, "connect: no answer"
            ) from error
        except (OSError, OverflowError, ValueError) as error:
            # An address out of range raises no OSError.
            self.close()
            raise AttemptError(
                serving.FailureKind.NOT_CONNECTED, f"connect: {error}"
            ) from error

    def send(
        self,
        method: bytes,
        target: bytes,
        headers: wire.Headers,
        body: bytes,
        timeout_s: float,
    ) -> None:
        """Sends the complete request.

        Raises:
            AttemptError: The connection failed; the request may have arrived
                partially.
        """
        length = ((b"content-length", b"%d" % len(body)),) if body else ()
        request = h11.Request(
            method=method,
            target=target,
            headers=[*headers, *length, (b"connection", b"close")],
        )
        parts = [self._http.send(request)]
        if body:
            parts.append(self._http.send(h11.Data(data=body)))
        parts.append(self._http.send(h11.EndOfMessage()))
        self.sent = True
        until_s = clock.now_s() + timeout_s
        try:
            for data in joined_parts.join_small(parts):
                left_s = until_s - clock.now_s()
                bounded_send.send_all(self._open_socket, data, left_s)
        except OSError as error:
            raise AttemptError(
                serving.FailureKind.CONNECTION_LOST, f"send: {error}"
            ) from error

    def read_head(self, until_s: float) -> ResponseHead:
        """Returns the head of the final response.

        Raises:
            AttemptError: The connection ended or the response is malformed.
            ReadWaitExpired: No complete head arrived until `until_s`.
        """
        late = late_reads.LateReads()
        while True:
            event = self._next_event(until_s, late)
            if isinstance(event, h11.Response):
                if not final_status.is_final(event.status_code):
                    raise AttemptError(
                        serving.FailureKind.CORRUPT,
                        f"{event.status_code} is no status",
                    )
                raw = tuple(event.headers.raw_items())
                head = ResponseHead(event.status_code, raw)
                self._ends_with_connection = not head.frames_body
                if self._on_head is not None:
                    self._on_head(self._entry, head)
                return head
            if not isinstance(event, h11.InformationalResponse):
                raise AttemptError(
                    serving.FailureKind.CORRUPT, "no head in the answer"
                )
            if late.are_over(clock.now_s(), until_s):
                raise ReadWaitExpired

    def read_data(self, until_s: float) -> bytes | None:
        """Returns the next part of the body, or None after a complete body.

        Parts that have arrived are returned after `until_s` as well, so that
        the caller of a loop checks its own time limit.

        Raises:
            AttemptError: The connection ended early or the body is malformed.
            ReadWaitExpired: No part arrived until `until_s`.
        """
        event = self._next_event(until_s, late_reads.LateReads())
        if isinstance(event, h11.Data):
            self._framing.record_content(len(event.data))
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self._check_delivery()
            return None
        raise AttemptError(
            serving.FailureKind.CORRUPT, "the body is not framed"
        )

    def _check_delivery(self) -> None:
        """Checks the end of a body that ends with its connection.

        Raises:
            AttemptError: The target ended the connection before it had taken
                the whole request, so that the body may be cut.
        """
        if not self._ends_with_connection:
            return
        if not delivery.is_complete(self._open_socket):
            raise AttemptError(
                serving.FailureKind.CONNECTION_LOST,
                "ended before the target took the request",
            )

    def close(self) -> None:
        """Closes the connection, which cancels the request at the target."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    @property
    def _open_socket(self) -> socket.socket:
        if self._socket is None:
            raise AttemptError(serving.FailureKind.CONNECTION_LOST, "closed")
        return self._socket

    def _next_event(self, until_s: float, late: late_reads.LateReads) -> object:
        """Returns the next h11 event, reading from the socket as needed."""
        self._turn.yield_if_long()
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                raise self._protocol_error(error) from error
            if event is not h11.NEED_DATA:
                return event
            if late.are_over(clock.now_s(), until_s):
                raise ReadWaitExpired
            self._http.receive_data(self._receive(until_s))

    def _receive(self, until_s: float) -> bytes:
        """Returns received bytes; empty at the end of the connection."""
        sock = self._open_socket
        left_s = until_s - clock.now_s()
        try:
            data: bytes = arrived_first.read(
                sock, sock.recv, READ_BYTES, timeout_s=left_s
            )
        except TimeoutError as error:
            raise ReadWaitExpired from error
        except OSError as error:
            raise AttemptError(
                serving.FailureKind.CONNECTION_LOST, f"read: {error}"
            ) from error
        self._framing.record_received(len(data))
        if self._framing.is_exceeded():
            raise AttemptError(
                serving.FailureKind.CORRUPT, "too many bytes besides the body"
            )
        return data

    def _protocol_error(self, error: Exception) -> AttemptError:
        """Distinguishes a lost connection from a malformed response."""
        if self._http.trailing_data[1]:
            return AttemptError(serving.FailureKind.CONNECTION_LOST, str(error))
        return AttemptError(serving.FailureKind.CORRUPT, str(error))


def _new_socket() -> socket.socket:
    """Returns a socket.

    Raises:
        AttemptError: The process has no descriptor left. This is no fault of
            the target, which `NOT_CONNECTED` would count against it.
    """
    try:
        return socket.socket(socket_lib.AF_INET, socket_lib.SOCK_STREAM)
    except OSError as error:
        raise AttemptError(
            serving.FailureKind.UNAVAILABLE, f"no socket: {error}"
        ) from error


def call_target(
    entry: serving.TargetEntry,
    method: bytes,
    path: bytes,
    body: bytes,
    timeout_s: float,
    on_head: HeadObserver | None = None,
) -> tuple[int, bytes]:
    """Sends a request that the relay itself makes; returns status and body.

    The connect and the answer may take `timeout_s` each. An answer that has
    arrived by then is read also after a stall of this process.

    Raises:
        AttemptError: No complete response arrived in time, or it is too
            long.
    """
    connection = TargetConnection(entry, on_head)
    headers: wire.Headers = ((b"Host", entry.address.encode()),)
    if body:
        headers = (*headers, (b"Content-Type", b"application/json"))
    try:
        connection.connect(timeout_s)
        connection.send(method, path, headers, body, timeout_s)
        # The target has the whole time, also if this process was stalled
        # while it connected.
        until_s = clock.now_s() + timeout_s
        head = connection.read_head(until_s)
        return head.status, _read_call_body(connection, until_s)
    except ReadWaitExpired as error:
        raise AttemptError(
            serving.FailureKind.UNRESPONSIVE, "no answer"
        ) from error
    except h11.LocalProtocolError as error:
        raise AttemptError(
            serving.FailureKind.NOT_CONNECTED, f"not sent: {error}"
        ) from error
    finally:
        connection.close()


def _read_call_body(connection: TargetConnection, until_s: float) -> bytes:
    """Returns the body of a response to a call of the relay itself."""
    body = bytearray()
    late = late_reads.LateReads()
    while (part := connection.read_data(until_s)) is not None:
        body += part
        if len(body) > MAX_CALL_RESPONSE_BYTES:
            raise AttemptError(
                serving.FailureKind.CORRUPT, "the response is too long"
            )
        if late.are_over(clock.now_s(), until_s):
            raise ReadWaitExpired
    return bytes(body)


def pause(seconds: float) -> None:
    """Sleeps so that other greenlets can run."""
    gevent.sleep(seconds)
