"""One client connection: reads requests and writes responses."""

from collections.abc import Iterator
import contextlib
import re
import socket as socket_lib

import gevent
from gevent import socket
import h11

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import context as context_lib
from rattanpulleyd._internal.relay import responses
from rattanpulleyd._internal.relay import wire

READ_BYTES = 64 * 1024
# h11 applies the limit of the head to its buffer, which also holds bytes that
# follow the head in the same read.
HEAD_SLACK_BYTES = 1024
# What a request line and a header line have at least besides their parts:
# spaces and version, or a colon, and the line end.
HEAD_LINE_BYTES = 12
HEADER_LINE_BYTES = 3
BODY_TIMEOUT_S = 10.0
# A client that accepts no bytes for this long counts as disconnected.
WRITE_TIMEOUT_S = 5.0
USER_TIMEOUT_MS = 5000
DEFAULT_TIME_LEFT_S = 30.0
# Bounds the log lines of a request; prompts have a few parts.
MAX_SHARED_PARTS = 16
_PART_ID = re.compile(r"[0-9a-f]{1,64}")


class ConnectionEndedError(Exception):
    """The client closed the connection or the idle timeout expired."""


class ClientConnection:
    """Reads requests sequentially; also implements `StreamChannel`.

    Attributes:
        busy: Whether a request has started to arrive and is not completed.
        closes: Whether the connection closes after the next response.
        closing: Whether no further request is read, while the client receives
            the last response.
        responses: Number of responses sent.
        opened_at_s: When the connection was accepted.
    """

    def __init__(
        self,
        sock: socket.socket,
        limits: serving.ClientLimits,
        names: wire.HeaderNames,
    ) -> None:
        self._socket = sock
        self._limits = limits
        self._names = names
        self._http = self._new_parser()
        self.busy = False
        self.closes = False
        self.closing = False
        self.responses = 0
        self._is_head = False
        self.opened_at_s = clock.now_s()
        sock.setsockopt(socket_lib.IPPROTO_TCP, socket_lib.TCP_NODELAY, 1)
        sock.setsockopt(
            socket_lib.IPPROTO_TCP,
            socket_lib.TCP_USER_TIMEOUT,
            USER_TIMEOUT_MS,
        )

    def _new_parser(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=(
                self._limits.max_header_bytes + HEAD_SLACK_BYTES
            ),
        )

    def read_request(self, limits: serving.ClientLimits) -> wire.ClientRequest:
        """Waits for the next request and reads it completely.

        Args:
            limits: Limits of the active configuration.

        Raises:
            ConnectionEndedError: No further request arrives.
            wire.MalformedRequestError: The request is invalid or exceeds a
                limit.
        """
        self._limits = limits
        head = self._read_head()
        received_at_s = clock.now_s()
        body = self._read_body()
        return self._decode(head, body, received_at_s)

    def _read_head(self) -> h11.Request:
        timeout_s = self._limits.idle_timeout_s
        until_s = clock.now_s() + timeout_s
        while True:
            event = self._parse()
            if isinstance(event, h11.Request):
                self._check_head_size(event)
                self._is_head = event.method == b"HEAD"
                return event
            if event is not h11.NEED_DATA:
                raise ConnectionEndedError
            if not self.busy and self._http.trailing_data[0]:
                self.busy = True
                until_s = clock.now_s() + self._limits.header_timeout_s
            self._receive(until_s, mid_request=self.busy)

    def _check_head_size(self, head: h11.Request) -> None:
        """Checks a head that arrived at once; h11 limits incomplete ones.

        Raises:
            wire.MalformedRequestError: The head exceeds the limit.
        """
        size = len(head.method) + len(head.target) + HEAD_LINE_BYTES
        for name, value in head.headers:
            size += len(name) + len(value) + HEADER_LINE_BYTES
        if size > self._limits.max_header_bytes:
            raise wire.MalformedRequestError(431, "head too long")

    def _read_body(self) -> bytes:
        self.busy = True
        parts: list[bytes] = []
        size = 0
        until_s = clock.now_s() + BODY_TIMEOUT_S
        if self._http.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            self._send(self._http.send(interim))
        while True:
            event = self._parse()
            if isinstance(event, h11.Data):
                size += len(event.data)
                if size > self._limits.max_body_bytes:
                    raise wire.MalformedRequestError(413, "body too long")
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            elif event is h11.NEED_DATA:
                self._receive(until_s, mid_request=True)
            else:
                raise ConnectionEndedError

    def _parse(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        try:
            return self._http.next_event()
        except h11.RemoteProtocolError as error:
            if self._http.trailing_data[1]:
                raise ConnectionEndedError from error
            raise wire.MalformedRequestError(
                error.error_status_hint, str(error)
            ) from error

    def _receive(self, until_s: float, mid_request: bool) -> None:
        self._socket.settimeout(max(1e-6, until_s - clock.now_s()))
        try:
            self._http.receive_data(self._socket.recv(READ_BYTES))
        except (TimeoutError, BlockingIOError) as error:
            if mid_request:
                raise wire.MalformedRequestError(
                    408, "the request did not arrive in time"
                ) from error
            raise ConnectionEndedError from error
        except OSError as error:
            raise ConnectionEndedError from error

    def _decode(
        self, head: h11.Request, body: bytes, received_at_s: float
    ) -> wire.ClientRequest:
        """Validates a request and decodes its headers.

        Raises:
            wire.MalformedRequestError: The request is invalid.
        """
        headers = tuple(head.headers.raw_items())
        names = self._names
        if wire.header_values(
            headers, b"transfer-encoding"
        ) and wire.header_values(headers, b"content-length"):
            raise wire.MalformedRequestError(400, "two lengths of the body")
        if not head.target.startswith(b"/"):
            raise wire.MalformedRequestError(400, "the path has no slash")
        request_id = wire.single_header_value(headers, names.request_id)
        if not request_id:
            raise wire.MalformedRequestError(400, "no single request id")
        host = wire.single_header_value(headers, b"host") or ""
        left_ms = wire.parse_unsigned_int(
            wire.single_header_value(headers, names.time_left_ms)
        )
        return wire.ClientRequest(
            method=head.method,
            target=head.target,
            host=host.partition(":")[0].lower(),
            request_id=request_id,
            key=wire.single_header_value(headers, names.key) or "",
            time_left_s=(
                DEFAULT_TIME_LEFT_S if left_ms is None else left_ms / 1000
            ),
            last_event_id=wire.parse_unsigned_int(
                wire.single_header_value(headers, wire.LAST_EVENT_ID)
            ),
            prompt_tokens=_prompt_tokens(
                wire.single_header_value(headers, names.token_counts)
            ),
            shared_parts=_shared_parts(
                wire.single_header_value(headers, names.prompt_parts)
            ),
            headers=wire.forwarded_headers(headers, names.set_by_relay),
            body=body,
            received_at_s=received_at_s,
        )

    @contextlib.contextmanager
    def cancelling_on_disconnect(self) -> Iterator[None]:
        """Raises `ClientDisconnectedError` in the block on a disconnect.

        The relay must then promptly cancel the work at the target, also while
        it waits for the target and writes nothing to the client.
        """
        worker = gevent.getcurrent()
        watcher = gevent.spawn(self._watch_disconnect, worker)
        try:
            yield
        finally:
            watcher.kill(block=False)

    def _watch_disconnect(self, worker: gevent.Greenlet) -> None:
        """Waits for the end of the connection and interrupts the worker."""
        try:
            socket.wait_read(self._socket.fileno())
            data = self._socket._sock.recv(1, socket_lib.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return
        except (OSError, ValueError):
            data = b""
        if not data:
            worker.kill(context_lib.ClientDisconnectedError(), block=False)

    def send_response(self, response: responses.Response, closes: bool) -> None:
        """Sends a complete response.

        Args:
            response: The response.
            closes: Whether the connection closes after it.

        Raises:
            ClientDisconnectedError: The client disconnected.
        """
        self.closes = self.closes or closes
        headers = (
            *response.headers,
            (b"Content-Length", b"%d" % len(response.body)),
        )
        data = self._http.send(
            responses.make_response_head(response.status, headers, self.closes)
        )
        # h11 refuses to send a body in response to HEAD.
        if response.body and not self._is_head:
            data = (data or b"") + (
                self._http.send(h11.Data(data=response.body)) or b""
            )
        data = (data or b"") + (self._http.send(h11.EndOfMessage()) or b"")
        self._send(data)

    def start_stream(self, status: int, headers: wire.Headers) -> None:
        """Sends the response head of a stream."""
        head = responses.make_response_head(status, headers, self.closes)
        self._send(self._http.send(head))

    def write(self, data: bytes) -> None:
        """Sends a part of the stream's body."""
        self._send(self._http.send(h11.Data(data=data)))

    def finish(self) -> None:
        """Ends the stream's body as complete."""
        self._send(self._http.send(h11.EndOfMessage()))

    def _send(self, data: bytes | None) -> None:
        if not data:
            return
        self._socket.settimeout(WRITE_TIMEOUT_S)
        try:
            self._socket.sendall(data)
        except OSError as error:
            raise context_lib.ClientDisconnectedError from error

    def next_cycle(self) -> bool:
        """Prepares for the next request; returns False if there can be none."""
        self.busy = False
        self.responses += 1
        if self.closes or self._http.our_state is not h11.DONE:
            return False
        if self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        return True

    def is_idle(self, first_request_wait_s: float) -> bool:
        """Returns whether no request is on its way, as far as is known.

        A client that has just connected is about to send a request, and one
        may have arrived that is not read yet.

        Args:
            first_request_wait_s: Seconds in which the first request of a new
                connection is expected.
        """
        if self.busy or self.closing:
            return False
        is_new = self.responses == 0
        if is_new and clock.now_s() - self.opened_at_s < first_request_wait_s:
            return False
        return not self._has_unread_bytes()

    def _has_unread_bytes(self) -> bool:
        flags = socket_lib.MSG_PEEK | socket_lib.MSG_DONTWAIT
        try:
            return bool(self._socket._sock.recv(1, flags))
        except OSError:
            return False

    def can_respond(self) -> bool:
        """Returns whether a response can still be sent."""
        return self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE)

    def end_sending(self) -> None:
        """Shuts down the sending side of the connection."""
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket_lib.SHUT_WR)

    def discard_until_closed(self, until_s: float) -> None:
        """Reads and discards data until the client closes or `until_s`."""
        with contextlib.suppress(OSError):
            while clock.now_s() < until_s:
                self._socket.settimeout(max(1e-6, until_s - clock.now_s()))
                if not self._socket.recv(READ_BYTES):
                    return

    def close(self) -> None:
        """Closes the connection."""
        self._socket.close()


def _prompt_tokens(text: str | None) -> int:
    """Returns the first of two comma-separated counts, or 0."""
    first = (text or "").partition(",")[0].strip()
    return wire.parse_unsigned_int(first) or 0


def _shared_parts(text: str | None) -> tuple[str, ...]:
    """Returns the ids of a list of ID:TOKENS entries, but for the last one.

    Ids that are not hexadecimal, repeated ones and those beyond
    `MAX_SHARED_PARTS` are left out.
    """
    entries = (text or "").split(",")[:-1]
    ids = (entry.partition(":")[0].strip().lower() for entry in entries)
    by_id = dict.fromkeys(part for part in ids if _PART_ID.fullmatch(part))
    return tuple(by_id)[:MAX_SHARED_PARTS]
