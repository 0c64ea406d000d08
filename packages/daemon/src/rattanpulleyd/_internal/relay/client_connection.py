"""One client connection: reads requests and writes responses."""

import contextlib
import socket as socket_lib
import struct

import gevent
from gevent import socket
import h11

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import byte_moves
from rattanpulleyd._internal.relay import chunk_joiner
from rattanpulleyd._internal.relay import client_limits
from rattanpulleyd._internal.relay import client_writes
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import connection_ends
from rattanpulleyd._internal.relay import connection_memory
from rattanpulleyd._internal.relay import disconnect_watch
from rattanpulleyd._internal.relay import lingering_close
from rattanpulleyd._internal.relay import request_body
from rattanpulleyd._internal.relay import request_fields
from rattanpulleyd._internal.relay import request_head
from rattanpulleyd._internal.relay import responses
from rattanpulleyd._internal.relay import wire
from rattanpulleyd._internal.sockets import arrived_first
from rattanpulleyd._internal.sockets import joined_parts
from rattanpulleyd._internal.sockets import read_turn

# A shorter idle timeout holds for waiting connections within this time.
MAX_IDLE_CHECK_S = 30.0
USER_TIMEOUT_MS = 5000
# Value of SO_LINGER with which a close resets the connection.
_RESET = struct.pack("ii", 1, 0)


ConnectionEndedError = connection_ends.ConnectionEndedError


class ClientConnection:
    """Reads requests sequentially; also implements `StreamChannel`.

    Attributes:
        busy: Whether a request has started to arrive and is not completed.
        closes: Whether the next response announces that the connection closes.
        closing: Whether no further request is read, while the client receives
            the last response.
        responses: Number of responses sent.
        opened_at_s: When the connection was accepted.
        waiting_since_s: When it began to wait for the current request.
        memory: Memory reserved for the connection.
    """

    def __init__(
        self,
        sock: socket.socket,
        limits_in_force: client_limits.ClientLimitsInForce,
        names: wire.HeaderNames,
        memory: connection_memory.ConnectionMemory | None = None,
    ) -> None:
        """Creates a connection on which no request has arrived.

        Args:
            sock: The socket.
            limits_in_force: Limits on clients.
            names: Header names of the deployment.
            memory: Memory of the connection; None for an unlimited one.
        """
        self.memory = memory or connection_memory.unlimited()
        self._moves = byte_moves.ByteMoves(sock, self.memory.reservation)
        self._socket = sock
        self._limits_in_force = limits_in_force
        self._limits = limits_in_force.for_request()
        self._names = names
        self._http = request_head.new_parser(self._limits.max_header_bytes)
        self._turn = read_turn.ReadTurn()
        self._joiner: chunk_joiner.ChunkJoiner | None = None
        self._waiter: gevent.Greenlet | None = None
        self.busy = False
        self.closes = False
        self._close_announced = False
        self.closing = False
        self.responses = 0
        self._is_head = False
        self._head_bytes = 0
        self.opened_at_s = clock.now_s()
        self.waiting_since_s = self.opened_at_s
        sock.setsockopt(socket_lib.IPPROTO_TCP, socket_lib.TCP_NODELAY, 1)
        sock.setsockopt(
            socket_lib.IPPROTO_TCP,
            socket_lib.TCP_USER_TIMEOUT,
            USER_TIMEOUT_MS,
        )

    def read_request(self) -> wire.ClientRequest:
        """Waits for the next request and reads it completely.

        Raises:
            ConnectionEndedError: No further request arrives.
            wire.MalformedRequestError: The request is invalid or exceeds a
                limit.
            connection_memory.EndedForMemoryError: It is not read any further.
        """
        self._is_head = False
        self._wait_for_request()
        self.memory.begin_request()
        self._apply_limits(self._limits_in_force.for_request())
        head = self._read_head()
        received_at_s = clock.now_s()
        if wire.header_values(head.headers.raw_items(), b"transfer-encoding"):
            parsed = self._http.trailing_data[0]
            self._joiner = chunk_joiner.ChunkJoiner(parsed)
        body = self._read_body(head)
        self._joiner = None
        self.memory.set_phase(serving.ConnectionPhase.RUNNING)
        return request_fields.decode(head, body, received_at_s, self._names)

    def _wait_for_request(self) -> None:
        """Waits until a request begins to arrive.

        The configuration may change while a connection waits, so the timeout
        is asked for again when it seems to have expired.

        Raises:
            ConnectionEndedError: None arrives.
        """
        while not self._http.trailing_data[0]:
            until_s = self._idle_until_s()
            check_at_s = min(until_s, clock.now_s() + MAX_IDLE_CHECK_S)
            self._waiter = gevent.getcurrent()
            try:
                size = self._receive(check_at_s)
            except TimeoutError as error:
                if clock.now_s() >= self._idle_until_s():
                    raise ConnectionEndedError(
                        connection_ends.EndReason.IDLE
                    ) from error
                continue
            finally:
                self._waiter = None
            if not size:
                raise ConnectionEndedError
        self.busy = True

    def stop_waiting(self) -> None:
        """Ends the connection unless a request has begun to arrive by then.

        It ends in a callback of the event loop, before which other events may
        come; a kill would also cut a request that has been read meanwhile.
        """
        gevent.get_hub().loop.run_callback(self._end_wait)

    def _end_wait(self) -> None:
        if self._waiter is not None and not lingering_close.peek(
            self._socket, 1
        ):
            stopped = ConnectionEndedError(connection_ends.EndReason.STOP)
            self._waiter.throw(stopped)

    def _idle_until_s(self) -> float:
        return self.waiting_since_s + self._limits_in_force.close_idle_after_s()

    def _apply_limits(self, limits: serving.ClientLimits) -> None:
        """Sets the limits of the request that begins to arrive."""
        is_changed = limits.max_header_bytes != self._limits.max_header_bytes
        self._limits = limits
        if is_changed:
            arrived, has_ended = self._http.trailing_data
            self._http = request_head.new_parser(self._limits.max_header_bytes)
            self._http.receive_data(arrived)
            if has_ended:
                self._http.receive_data(b"")

    def _read_head(self) -> h11.Request:
        until_s = clock.now_s() + self._limits.header_timeout_s
        while True:
            self._head_bytes = request_head.cost_bytes(self.read_ahead)
            until_s += self.memory.hold_request(self._head_bytes)
            event = request_head.parse(self._http)
            if isinstance(event, h11.Request):
                self._is_head = event.method == b"HEAD"
                request_head.check_size(event, self._limits.max_header_bytes)
                return event
            if event is not h11.NEED_DATA:
                raise ConnectionEndedError
            until_s += self.memory.hold_request(
                self._head_bytes + lingering_close.READ_BYTES
            )
            self._receive_rest(until_s)

    def _read_body(self, head: h11.Request) -> bytes:
        body = request_body.RequestBody(
            self._limits.max_body_bytes, clock.now_s()
        )
        body.check_declared(request_head.declared_length(head))
        self.memory.set_phase(serving.ConnectionPhase.BODY)
        if self._http.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            self._send(self._http.send(interim))
        try:
            while not self._parse_body(body):
                body.check_time(clock.now_s())
                needed_bytes = self._head_bytes + body.next_size(
                    lingering_close.READ_BYTES
                )
                body.extend_time(self.memory.hold_request(needed_bytes))
                body.record_received(self._receive_rest(body.until_s))
            return body.content()
        except BaseException:
            # The traceback of the error would keep it during a refusal.
            body.clear()
            raise

    def _parse_body(self, body: request_body.RequestBody) -> bool:
        """Adds what has arrived to a body; returns whether it is complete."""
        while True:
            self._turn.yield_if_long()
            event = request_head.parse(self._http)
            if isinstance(event, h11.Data):
                body.add(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return True
            elif event is h11.NEED_DATA:
                return False
            else:
                raise ConnectionEndedError

    def _receive_rest(self, until_s: float) -> int:
        """Receives more bytes of a request; returns their number.

        Raises:
            wire.MalformedRequestError: None have arrived until `until_s`.
        """
        try:
            return self._receive(until_s)
        except TimeoutError as error:
            raise request_body.late_request() from error

    def _receive(self, until_s: float) -> int:
        """Feeds bytes to the parser; returns their number.

        Raises:
            ConnectionEndedError: The connection was lost.
            TimeoutError: No bytes have arrived until `until_s`.
        """
        try:
            with self.memory.waiting():
                data: bytes = arrived_first.read(
                    self._socket,
                    self._socket.recv,
                    lingering_close.READ_BYTES,
                    timeout_s=until_s - clock.now_s(),
                )
        except TimeoutError:
            raise
        except OSError as error:
            raise ConnectionEndedError from error
        self.memory.record_progress()
        passed = data
        if self._joiner is not None:
            passed = self._joiner.feed(data)
        # Empty bytes would tell the parser that the connection has ended.
        if passed or not data:
            self._http.receive_data(passed)
        return len(data)

    def cancelling_on_disconnect(
        self,
    ) -> contextlib.AbstractContextManager[None]:
        """Raises `ClientDisconnectedError` in the block on a disconnect."""
        return disconnect_watch.cancelling(self._socket)

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
        parts = [self._make_head(response.status, headers)]
        # h11 refuses to send a body in response to HEAD.
        if response.body and not self._is_head:
            parts.append(self._http.send(h11.Data(data=response.body)))
        parts.append(self._http.send(h11.EndOfMessage()))
        for data in joined_parts.join_small(parts):
            self._send(data)

    def start_stream(self, status: int, headers: wire.Headers) -> None:
        """Sends the response head of a stream."""
        self._send(self._make_head(status, headers))

    def _make_head(self, status: int, headers: wire.Headers) -> bytes | None:
        # A request that has been read is answered before the close.
        has_next = self._http.their_state is h11.DONE and self.read_ahead
        self._close_announced = self.closes and not has_next
        head = responses.make_response_head(
            status, headers, self._close_announced
        )
        return self._http.send(head)

    def write(self, data: bytes) -> None:
        """Sends a part of the stream's body."""
        self._send(self._http.send(h11.Data(data=data)))

    def finish(self) -> None:
        """Ends the stream's body as complete."""
        self._send(self._http.send(h11.EndOfMessage()))

    def _send(self, data: bytes | None) -> None:
        if data:
            client_writes.send_all(self._socket, data, self.memory)

    def next_cycle(self) -> bool:
        """Prepares for the next request; returns False if there can be none."""
        self.busy = False
        self.responses += 1
        self.waiting_since_s = clock.now_s()
        states = {self._http.our_state, self._http.their_state}
        if self._close_announced or states != {h11.DONE}:
            self.memory.begin_close()
            return False
        self.memory.begin_wait()
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
        return not lingering_close.peek(self._socket, 1)

    def has_moved(self) -> bool:
        """Returns whether bytes that it waits for have moved meanwhile."""
        return self._moves.has_moved()

    @property
    def read_ahead(self) -> bytes:
        """Bytes that were read and belong to no request yet."""
        return bytes(self._http.trailing_data[0])

    def can_respond(self) -> bool:
        """Returns whether a response can still be sent."""
        return self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE)

    def end_sending(self) -> None:
        """Shuts down the sending side of the connection."""
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket_lib.SHUT_WR)

    def linger(self) -> lingering_close.LingeringClose:
        """Returns the close that follows `end_sending`."""
        return lingering_close.LingeringClose(self._socket, self._turn)

    def close(self) -> None:
        """Closes the connection; an incomplete response looks incomplete."""
        if self._close_ends_response():
            with contextlib.suppress(OSError):
                self._socket.setsockopt(
                    socket_lib.SOL_SOCKET, socket_lib.SO_LINGER, _RESET
                )
        self._socket.close()

    def _close_ends_response(self) -> bool:
        """Returns whether a response would end as complete by the close.

        HTTP/1.0 has no chunks.
        """
        is_unfinished = self._http.our_state in (h11.SEND_BODY, h11.ERROR)
        return is_unfinished and self._http.their_http_version == b"1.0"
