"""Tests of reading requests from one connection."""

import contextlib
import dataclasses
import types

import connection_doubles
import gevent
from gevent import socket
import pytest
import relay_builders

from rattanpulleyd._internal.relay import client_connection
from rattanpulleyd._internal.relay import client_writes
from rattanpulleyd._internal.relay import context as context_lib
from rattanpulleyd._internal.relay import lingering_close
from rattanpulleyd._internal.relay import responses
from rattanpulleyd._internal.relay import wire

REQUEST = (
    b"POST /a HTTP/1.1\r\nHost: h\r\nX-Request-Id: 1\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n1\r\nb\r\n0\r\n\r\n"
)


# A stop closes idle connections; one that lets others run while its parser
# holds a request would be closed without an answer.
def test_connection_is_busy_whenever_it_lets_others_run():
    ours, theirs = socket.socketpair()
    with contextlib.closing(ours), contextlib.closing(theirs):
        connection = client_connection.ClientConnection(
            connection_doubles.TcpLike(ours),
            connection_doubles.Limits(),
            relay_builders.HEADER_NAMES,
        )
        seen = []
        connection._turn = types.SimpleNamespace(
            yield_if_long=lambda: seen.append(connection.is_idle(0.0))
        )
        # The second request waits in the parser when the first one is read.
        theirs.sendall(REQUEST * 2)
        for _ in range(2):
            request = connection.read_request()
            assert request.body == b"ab"
            connection._http.send(
                client_connection.responses.make_response_head(200, (), False)
            )
            connection._http.send(client_connection.h11.EndOfMessage())
            connection.next_cycle()
        assert seen
        assert not any(seen)


# A wait ended by its timer although the request had arrived during a stall of
# the process, and the connection was closed with the request in its socket.
def test_request_that_arrived_with_the_timeout_is_read():
    ours, theirs = socket.socketpair()
    with contextlib.closing(ours), contextlib.closing(theirs):
        connection = client_connection.ClientConnection(
            _LateSocket(ours),
            connection_doubles.Limits(),
            relay_builders.HEADER_NAMES,
        )
        theirs.sendall(REQUEST)
        assert connection.read_request().body == b"ab"


# The timeout was taken at the start of a wait, so that a connection ended by
# one that was no longer in force.
def test_timeout_that_grows_during_a_wait_keeps_the_connection():
    ours, theirs = socket.socketpair()
    with contextlib.closing(ours), contextlib.closing(theirs):
        limits = connection_doubles.Limits()
        limits.timeouts_s = [0.0, 15.0]
        connection = client_connection.ClientConnection(
            connection_doubles.TcpLike(ours),
            limits,
            relay_builders.HEADER_NAMES,
        )
        reader = gevent.spawn(connection.read_request)
        gevent.sleep(0)
        theirs.sendall(REQUEST)
        assert reader.get(timeout=10).body == b"ab"


def test_stop_does_not_close_a_connection_with_a_request():
    # Guards against a request that arrives between the check and the close.
    ours, theirs = socket.socketpair()
    with contextlib.closing(ours), contextlib.closing(theirs):
        connection = client_connection.ClientConnection(
            connection_doubles.TcpLike(ours),
            connection_doubles.Limits(),
            relay_builders.HEADER_NAMES,
        )
        reader = gevent.spawn(connection.read_request)
        gevent.sleep(0)
        assert connection.is_idle(0.0)
        theirs.sendall(REQUEST)
        connection.stop_waiting()
        assert reader.get(timeout=10).body == b"ab"


# Responses that took longer in all than the timeout of a write were cut,
# although their clients accepted bytes all the time.
def test_write_timeout_counts_from_the_last_accepted_bytes():
    ours, theirs = socket.socketpair()
    with contextlib.closing(ours), contextlib.closing(theirs):
        slow = _SlowSocket(ours)
        connection = client_connection.ClientConnection(
            slow, connection_doubles.Limits(), relay_builders.HEADER_NAMES
        )
        theirs.sendall(REQUEST)
        connection.read_request()
        body = b"x" * (3 * _SlowSocket.PIECE_BYTES)
        connection.send_response(_response(body), closes=False)
        assert slow.sent.endswith(body + b"\n")
        assert len(slow.sent) > len(body)


def test_client_that_accepts_nothing_is_disconnected():
    # Guards against writes that wait without end.
    ours, theirs = socket.socketpair()
    with contextlib.closing(ours), contextlib.closing(theirs):
        slow = _SlowSocket(ours)
        slow.pieces = 2
        connection = client_connection.ClientConnection(
            slow, connection_doubles.Limits(), relay_builders.HEADER_NAMES
        )
        theirs.sendall(REQUEST)
        connection.read_request()
        body = b"x" * (3 * _SlowSocket.PIECE_BYTES)
        with pytest.raises(context_lib.ClientDisconnectedError):
            connection.send_response(_response(body), closes=False)


@pytest.fixture
def full_buffer(monkeypatch):
    """A connection whose send buffer has no room; yields its queue sizes."""
    ours, theirs = socket.socketpair()
    sizes = [9000]
    monkeypatch.setattr(
        lingering_close, "unacknowledged_bytes", lambda _: sizes[0]
    )
    monkeypatch.setattr(client_writes, "WRITE_TIMEOUT_S", 0.01)
    with contextlib.closing(ours), contextlib.closing(theirs):
        connection = client_connection.ClientConnection(
            connection_doubles.TcpLike(ours),
            connection_doubles.Limits(),
            relay_builders.HEADER_NAMES,
        )
        theirs.sendall(REQUEST)
        connection.read_request()
        yield types.SimpleNamespace(
            connection=connection, client=theirs, sizes=sizes
        )


# A buffer has room again only when much of it has been sent. Clients on weak
# links that read all the time, but less than that in the timeout, were cut.
def test_client_that_acknowledges_bytes_is_not_cut(full_buffer, monkeypatch):
    body = b"x" * 8_000_000
    waits = []

    def shrink(_socket) -> int:
        waits.append(len(waits))
        if len(waits) == 10:
            full_buffer.reader = gevent.spawn(_read_all, full_buffer.client)
        return 9000 - 100 * len(waits)

    monkeypatch.setattr(lingering_close, "unacknowledged_bytes", shrink)
    full_buffer.connection.send_response(_response(body), closes=True)
    full_buffer.connection.end_sending()
    assert full_buffer.reader.get(timeout=10).endswith(body + b"\n")


def test_client_that_acknowledges_nothing_is_cut(full_buffer):
    # Guards against a client that keeps its connection without reading.
    with pytest.raises(context_lib.ClientDisconnectedError):
        full_buffer.connection.send_response(
            _response(b"x" * 8_000_000), closes=True
        )


def _read_all(client: socket.socket) -> bytes:
    pieces = []
    while piece := client.recv(1 << 20):
        pieces.append(piece)
    return b"".join(pieces)


# Refusals of requests after a HEAD request, and of HEAD requests, raised an
# error in the parser, which closed the connection without an answer.
@pytest.mark.parametrize(
    ("first", "refused"), [(b"HEAD", b"GET"), (b"POST", b"HEAD")]
)
def test_refusal_has_a_body_unless_the_refused_request_is_head(first, refused):
    ours, theirs = socket.socketpair()
    with contextlib.closing(ours), contextlib.closing(theirs):
        connection = client_connection.ClientConnection(
            connection_doubles.TcpLike(ours),
            connection_doubles.Limits(),
            relay_builders.HEADER_NAMES,
        )
        theirs.sendall(REQUEST.replace(b"POST", first))
        connection.read_request()
        connection.send_response(_response(b"first"), closes=False)
        assert connection.next_cycle()
        theirs.recv(4096)
        theirs.sendall(
            refused + b" /a HTTP/1.1\r\nHost: h\r\nX-Long: " + b"x" * 17_000
        )
        theirs.sendall(b"\r\n\r\n")
        with pytest.raises(wire.MalformedRequestError):
            connection.read_request()
        connection.send_response(_response(b"second"), closes=True)
        received = theirs.recv(4096)
        assert received.startswith(b"HTTP/1.1 504 ")
        assert received.endswith(b"second\n") == (refused != b"HEAD")


def _response(body: bytes) -> responses.Response:
    template = responses.error_response(504, "")
    return dataclasses.replace(template, body=body + b"\n")


class _LateSocket(connection_doubles.TcpLike):
    """Its timer fires before the bytes that have arrived are seen."""

    def recv(self, size: int) -> bytes:
        if self.gettimeout():
            raise TimeoutError
        return self._wrapped.recv(size)


class _SlowSocket(connection_doubles.TcpLike):
    """Accepts one piece of data within each timeout, and `pieces` in all."""

    PIECE_BYTES = 1000

    def __init__(self, wrapped: socket.socket) -> None:
        super().__init__(wrapped)
        self.sent = b""
        self.pieces = 10

    def send(self, data: bytes) -> int:
        if not self.pieces:
            raise TimeoutError
        self.pieces -= 1
        accepted = bytes(data[: self.PIECE_BYTES])
        self.sent += accepted
        return len(accepted)

    def sendall(self, data: bytes) -> None:
        """Has one timeout for all data."""
        if self.send(data) < len(data):
            raise TimeoutError


# The end of a client that had sent a byte of its next request was not seen, so
# that its stream waited for a retry and took one long after it had left (GONE).
def test_client_that_leaves_behind_pipelined_bytes_ends_its_request():
    ours, theirs = socket.socketpair()
    with contextlib.closing(ours), contextlib.closing(theirs):
        connection = client_connection.ClientConnection(
            connection_doubles.TcpLike(ours),
            connection_doubles.Limits(),
            relay_builders.HEADER_NAMES,
        )

        def _wait() -> str:
            try:
                with connection.cancelling_on_disconnect():
                    gevent.sleep(1.0)
            except context_lib.ClientDisconnectedError:
                return "ended"
            return "ran on"

        worker = gevent.spawn(_wait)
        gevent.sleep(0.05)
        theirs.sendall(b"P")
        gevent.sleep(0.05)
        theirs.close()
        assert worker.get() == "ended"
