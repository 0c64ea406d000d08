"""One request to a target on a connection of its own.

Each attempt uses a new connection: a kept one may have been closed by the
target or hold a late answer to another request, and then nobody can tell
whether an unrepeatable request ran.
"""

import dataclasses
import socket as socket_lib

import gevent
from gevent import socket
import h11

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import wire

# Targets in reach accept within a few milliseconds. A lost packet is sent again
# after a second only; another target answers sooner.
CONNECT_TIMEOUT_S = 0.12
READ_BYTES = 64 * 1024
MAX_HEAD_BYTES = 64 * 1024
# The kernel gives up a connection whose data stays unacknowledged this long.
USER_TIMEOUT_MS = 3000


class AttemptError(Exception):
    """An attempt ended without an answer that can be passed on.

    Attributes:
        ending: How it ended.
        found_id: Id of the target that has the address, or an empty string.
    """

    def __init__(
        self, ending: serving.FailureKind, reason: str, found_id: str = ""
    ) -> None:
        super().__init__(reason)
        self.ending = ending
        self.found_id = found_id


class NothingReceived(Exception):  # noqa: N818 - a wait that ended, not a fault
    """No bytes arrived within the wait."""


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of a target's answer.

    Attributes:
        status: HTTP status.
        headers: All headers with their original spelling.
    """

    status: int
    headers: wire.Headers

    def value(self, name: bytes) -> str | None:
        """Returns the value of a header that occurs once."""
        return wire.single_value(self.headers, name)


class TargetConnection:
    """A connection that carries one request."""

    def __init__(self, entry: serving.TargetEntry) -> None:
        self._entry = entry
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._socket: socket.socket | None = None
        self.sent = False

    def connect(self, timeout_s: float) -> None:
        """Opens the connection.

        Raises:
            AttemptError: The target could not be reached; nothing was sent.
        """
        sock = socket.socket(socket_lib.AF_INET, socket_lib.SOCK_STREAM)
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
            self.close()
            raise AttemptError(
                serving.FailureKind.UNREACHABLE, "connect: no answer"
            ) from error
        except OSError as error:
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
        """Sends the whole request.

        Raises:
            AttemptError: The request may have arrived in part.
        """
        length = ((b"content-length", b"%d" % len(body)),) if body else ()
        request = h11.Request(
            method=method,
            target=target,
            headers=[*headers, *length, (b"connection", b"close")],
        )
        data = self._http.send(request) or b""
        if body:
            data += self._http.send(h11.Data(data=body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        self.sent = True
        try:
            self._open_socket.settimeout(timeout_s)
            self._open_socket.sendall(data)
        except OSError as error:
            raise AttemptError(
                serving.FailureKind.CONNECTION_LOST, f"send: {error}"
            ) from error

    def read_head(self, until_s: float) -> AnswerHead:
        """Returns the head of the final answer.

        Raises:
            AttemptError: The connection ended or the bytes are no answer.
            NothingReceived: The time is over.
        """
        while True:
            event = self._next_event(until_s)
            if isinstance(event, h11.Response):
                raw = tuple(event.headers.raw_items())
                return AnswerHead(event.status_code, raw)
            if not isinstance(event, h11.InformationalResponse):
                raise AttemptError(
                    serving.FailureKind.CORRUPT, "no head in the answer"
                )

    def read_data(self, until_s: float) -> bytes | None:
        """Returns the next part of the body, or None at its proper end.

        Raises:
            AttemptError: The connection ended early.
            NothingReceived: The time is over.
        """
        event = self._next_event(until_s)
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise AttemptError(
            serving.FailureKind.CORRUPT, "the body is not framed"
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

    def _next_event(self, until_s: float) -> object:
        """Returns the next parsed event, reading as needed."""
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                raise self._protocol_fault(error) from error
            if event is not h11.NEED_DATA:
                return event
            self._http.receive_data(self._receive(until_s))

    def _receive(self, until_s: float) -> bytes:
        """Returns bytes, or none at the end of the connection."""
        sock = self._open_socket
        sock.settimeout(max(0.0, until_s - clock.now_s()) or 1e-6)
        try:
            return bytes(sock.recv(READ_BYTES))
        except (TimeoutError, BlockingIOError) as error:
            raise NothingReceived from error
        except OSError as error:
            raise AttemptError(
                serving.FailureKind.CONNECTION_LOST, f"read: {error}"
            ) from error

    def _protocol_fault(self, error: Exception) -> AttemptError:
        """Tells a connection that ended from bytes that are no answer."""
        if self._http.trailing_data[1]:
            return AttemptError(serving.FailureKind.CONNECTION_LOST, str(error))
        return AttemptError(serving.FailureKind.CORRUPT, str(error))


def call_target(
    entry: serving.TargetEntry,
    method: bytes,
    path: bytes,
    body: bytes,
    timeout_s: float,
) -> tuple[int, bytes]:
    """Sends a call of the relay's own and returns status and body.

    Raises:
        AttemptError: There was no complete answer in time.
    """
    connection = TargetConnection(entry)
    until_s = clock.now_s() + timeout_s
    headers: wire.Headers = ((b"Host", entry.address.encode()),)
    if body:
        headers = (*headers, (b"Content-Type", b"application/json"))
    try:
        connection.connect(timeout_s)
        connection.send(method, path, headers, body, timeout_s)
        head = connection.read_head(until_s)
        parts: list[bytes] = []
        while (part := connection.read_data(until_s)) is not None:
            parts.append(part)
        return head.status, b"".join(parts)
    except NothingReceived as error:
        raise AttemptError(
            serving.FailureKind.UNRESPONSIVE, "no answer"
        ) from error
    finally:
        connection.close()


def pause_s(seconds: float) -> None:
    """Lets other requests run for a time."""
    gevent.sleep(seconds)
