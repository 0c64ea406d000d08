"""Tests of the ends of connections to the servers of pages."""

from collections.abc import Iterator
import socket as socket_lib
import types

import bottle
import gevent
from gevent import pool
from gevent import pywsgi
from gevent import socket
import pytest
import relay_builders

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import pages
from rattanpulleyd._internal.relay import settings
from rattanpulleyd._internal.relay import state_exchange
from rattanpulleyd._internal.sockets import fair_socket

REQUEST = b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n"
UPLOAD = (
    b"POST /beliefs/crashes HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n"
)
# Far below the time limit of a test, far above 0.
SHORT_S = 0.02
TEST_LIMIT_S = 20


@pytest.fixture(autouse=True)
def limit_of_the_test() -> Iterator[None]:
    """Ends a test whose connection is never closed."""
    with gevent.Timeout(TEST_LIMIT_S):
        yield


@pytest.fixture
def host() -> types.SimpleNamespace:
    """The state of a host that other hosts read."""
    return relay_builders.make_context("a")


@pytest.fixture
def server(host) -> Iterator[pywsgi.WSGIServer]:
    """A server with a page of many bytes and the exchange of hosts."""
    app = bottle.Bottle()
    app.merge(state_exchange.StateEndpoints(host).app())
    app.route("/ready", callback=lambda: "ready")
    app.route("/long", callback=lambda: b"x" * 32_000_000)
    built = pages.server(settings.Endpoint("127.0.0.1", 0), app)
    built.set_spawn(pool.Pool())
    built.start()
    yield built
    built.stop(timeout=0)


def _send(server: pywsgi.WSGIServer, data: bytes) -> socket.socket:
    """Returns a connection on which data arrives before it is accepted."""
    plain = socket_lib.create_connection(("127.0.0.1", server.server_port))
    plain.sendall(data)
    return socket.socket(fileno=plain.detach())


def _read_response(connection: socket.socket) -> bytes:
    """Returns a response whose body is `ready`."""
    data = b""
    while not data.endswith(b"\r\n\r\nready"):
        part = connection.recv(65536)
        assert part, "the connection was closed"
        data += part
    return data


def _read_to_end(connection: socket.socket) -> bytes:
    """Returns what arrives until the server closes the connection."""
    data = b""
    while part := connection.recv(65536):
        data += part
    return data


# Silent peers kept their connections for ever, so that many of them used up the
# descriptors of the host.
def test_connection_of_a_silent_peer_is_closed(server, monkeypatch):
    monkeypatch.setattr(fair_socket, "IDLE_TIMEOUT_S", SHORT_S)
    assert _read_to_end(_send(server, b"")) == b""


# The same after a request that was answered.
def test_idle_connection_is_closed_after_a_request(server, monkeypatch):
    monkeypatch.setattr(fair_socket, "IDLE_TIMEOUT_S", SHORT_S)
    connection = _send(server, REQUEST)
    assert _read_to_end(connection).endswith(b"ready")


# The same with a request that is never completed.
@pytest.mark.parametrize("part", [REQUEST[:-4], UPLOAD])
def test_request_without_its_end_is_closed(server, monkeypatch, part):
    monkeypatch.setattr(fair_socket, "EXCHANGE_TIMEOUT_S", SHORT_S)
    connection = _send(server, part)
    assert _read_to_end(connection).startswith(b"HTTP/1.1 400 ")


# The same with a response that the peer does not read: the greenlet of its
# connection waited for ever.
def test_response_that_is_not_read_is_closed(server, monkeypatch):
    monkeypatch.setattr(fair_socket, "EXCHANGE_TIMEOUT_S", SHORT_S)
    connection = _send(server, REQUEST.replace(b"/ready", b"/long"))
    relay_builders.wait_for(lambda: server.pool.greenlets)
    relay_builders.wait_for(lambda: not server.pool.greenlets)
    connection.close()


# Guards against a time limit that counts from the start of a connection, which
# would cut kept connections of the balancer and of other hosts.
def test_kept_connection_outlasts_the_idle_timeout(server, monkeypatch):
    now = [100.0]
    monkeypatch.setattr(
        fair_socket, "time", types.SimpleNamespace(monotonic=lambda: now[0])
    )
    connection = _send(server, b"")
    for _ in range(4):
        connection.sendall(REQUEST)
        assert _read_response(connection)
        now[0] += 0.75 * fair_socket.IDLE_TIMEOUT_S


# Guards against a host that is passed over because it has closed an idle
# connection.
def test_host_that_closed_an_idle_connection_answers(server, host, monkeypatch):
    monkeypatch.setattr(fair_socket, "IDLE_TIMEOUT_S", SHORT_S)
    monkeypatch.setattr(state_exchange, "REQUEST_TIMEOUT_S", TEST_LIMIT_S)
    now_s = clock.suspend_aware_now_s()
    host.cached_config.accept(relay_builders.config(7), now_s)
    address = f"127.0.0.1:{server.server_port}"
    entry = serving.HostEntry("a", "north", address)
    client = state_exchange.PeerClient()
    for _ in range(3):
        assert client.fetch_config(entry).version == 7
        relay_builders.wait_for(lambda: not server.pool.greenlets)
