"""Tests of program errors during requests, and of the number of clients."""

import resource

import gevent
from gevent import socket
import pytest
import relay_builders

from rattanpulleyd._internal.relay import connection_handler
from rattanpulleyd._internal.relay import listener as listener_lib
from rattanpulleyd._internal.relay import request_fields
from rattanpulleyd._internal.relay import responses
from rattanpulleyd._internal.relay import settings

REQUEST = b"POST /a HTTP/1.1\r\nHost: h\r\nX-Request-Id: 1\r\n\r\n"


class Gateway:
    """Fails after it has sent a part of the response."""

    def __init__(self, sends_head: bool, error: BaseException) -> None:
        self.sends_head = sends_head
        self.error = error

    def serve(self, connection, request, closes, shutdown):
        if self.sends_head:
            connection.start_stream(200, ())
            connection.write(b"id: 1\n\n")
        raise self.error


@pytest.fixture
def context():
    return relay_builders.make_logged_context("h")


@pytest.fixture
def client(context):
    """A client of a listener; `listener` is an attribute of the context."""
    endpoint = settings.Endpoint("127.0.0.1", 0)
    context.listener = listener_lib.Listener(context, endpoint, None)
    context.listener.start()
    server = context.listener._server
    connected = socket.create_connection(("127.0.0.1", server.server_port))
    connected.settimeout(10)
    yield connected
    connected.close()
    server.stop()


def read_until(client: socket.socket, end: bytes) -> bytes:
    """Returns what arrives until `end`, or until the connection is closed."""
    received = b""
    while not received.endswith(end) and (data := client.recv(4096)):
        received += data
    return received


def test_request_is_answered_whatever_fails(context, client):
    # Guards against connections that are closed without an answer.
    context.listener._handler._gateway = Gateway(False, KeyError("k" * 5000))
    for _ in range(2):
        client.sendall(REQUEST)
        received = read_until(client, b"program error\n")
        assert received.startswith(b"HTTP/1.1 502 ")
        assert b"connection: close" not in received.lower()
    names = [name for name, _ in context.lines]
    assert names == ["request.failed"] * 2
    _, fields = context.lines[0]
    assert fields["request"] == "1"
    assert "KeyError" in fields["reason"]
    assert len(fields["reason"]) <= connection_handler.MAX_REASON_CHARACTERS
    assert "test_listener.py" in fields["where"]
    assert b"rattanpulley_request_failures_total 2.0" in context.metrics.text()


def test_started_stream_ends_as_incomplete_whatever_fails(context, client):
    # Guards against a cut stream that looks complete.
    context.listener._handler._gateway = Gateway(True, RecursionError())
    client.sendall(REQUEST)
    received = read_until(client, b"never")
    assert b"id: 1" in received
    assert not received.endswith(b"0\r\n\r\n")
    assert b" 502 " not in received
    assert [name for name, _ in context.lines] == ["request.failed"]


# Only its connection ends a stream to an HTTP/1.0 client, so that a cut stream
# looked complete.
def test_started_stream_to_an_old_client_ends_with_a_reset(context, client):
    context.listener._handler._gateway = Gateway(True, RecursionError())
    client.sendall(REQUEST.replace(b"HTTP/1.1", b"HTTP/1.0"))
    with pytest.raises(ConnectionResetError):
        read_until(client, b"never")


def test_request_that_cannot_be_read_is_answered(context, client, monkeypatch):
    # Guards against headers that close the connection without an answer.
    def decode(*_arguments):
        raise OverflowError

    monkeypatch.setattr(request_fields, "decode", decode)
    client.sendall(REQUEST)
    received = read_until(client, b"never")
    assert received.startswith(b"HTTP/1.1 502 ")
    assert [name for name, _ in context.lines] == ["request.failed"]


def test_killed_greenlet_answers_nothing(context, client):
    # Guards against a guard that keeps greenlets from ending.
    context.listener._handler._gateway = Gateway(False, gevent.GreenletExit())
    client.sendall(REQUEST)
    assert read_until(client, b"never") == b""
    assert context.lines == []


def test_head_request_is_answered_without_a_body(context, client):
    # Guards against error responses whose body h11 refuses to send.
    context.listener._handler._gateway = Gateway(False, KeyError())
    for _ in range(2):
        client.sendall(REQUEST.replace(b"POST", b"HEAD"))
        received = read_until(client, b"\r\n\r\n")
        assert received.startswith(b"HTTP/1.1 502 ")


# The process exited before the handlers of the connections that it had accepted
# last had started, which reset them.
def test_last_connections_are_known_before_the_process_exits(context, client):
    listener = context.listener
    # Accepts nothing by itself, so that the connections wait in the socket.
    listener._server.stop_accepting()
    address = ("127.0.0.1", listener._server.server_port)
    waiting = [socket.create_connection(address) for _ in range(3)]
    listener._stop_accepting()
    assert len(listener._connections) >= len(waiting)
    for connection in waiting:
        connection.close()


class Answering:
    """Answers each request at once."""

    def serve(self, connection, request, closes, shutdown):
        response = responses.error_response(503, "none")
        connection.send_response(response, closes=False)


@pytest.fixture
def few_descriptors(context, monkeypatch):
    """A listener of a process with few descriptors; returns its address."""
    monkeypatch.setattr(resource, "getrlimit", lambda _: (64, 64))
    context.log.change = lambda event, **fields: context.lines.append(
        (event, fields)
    )
    endpoint = settings.Endpoint("127.0.0.1", 0)
    context.listener = listener_lib.Listener(context, endpoint, None)
    context.listener._handler._gateway = Answering()
    context.listener.start()
    server = context.listener._server
    yield ("127.0.0.1", server.server_port)
    server.close()


# Idle connections held all descriptors, so that the requests of other clients
# waited in the accept queue until the idle timeout of a connection.
def test_number_of_kept_connections_is_limited(context, few_descriptors):
    clients = [socket.create_connection(few_descriptors) for _ in range(64)]
    kept = 0
    for client in clients:
        client.settimeout(10)
        client.sendall(REQUEST)
        head = read_until(client, b"none\n").lower()
        assert head.startswith(b"http/1.1 503 ")
        is_kept = b"connection: close" not in head
        kept += is_kept
        if not is_kept:
            client.close()
    assert 0 < kept <= 32
    for client in clients:
        client.close()


# Clients took the descriptors of the attempts of accepted requests.
def test_number_of_open_connections_is_limited(context, few_descriptors):
    clients = [socket.create_connection(few_descriptors) for _ in range(64)]
    # The last one waits in the socket until others leave.
    relay_builders.wait_for(lambda: len(context.listener._connections) >= 16)
    gevent.sleep(0)
    assert len(context.listener._connections) <= 32
    last = clients.pop()
    last.sendall(REQUEST)
    for client in clients:
        client.close()
    last.settimeout(10)
    assert read_until(last, b"none\n").startswith(b"HTTP/1.1 503 ")
    last.close()
    relay_builders.wait_for(lambda: not context.listener._connections)
    names = [name for name, _ in context.lines]
    assert names.count("clients.limit_reached") == 1
