"""Tests of the bounds of responses, against a peer in trouble."""

from collections.abc import Callable, Iterator
import contextlib
import os
import socket
import subprocess
import sys
import threading
import time

import pytest
import relay_builders
import urllib3

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import bounded_http
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import state_exchange
from rattanpulleyd._internal.relay import target_connection

MAX_BYTES = 100_000
HEAD = b"HTTP/1.1 200 OK\r\n"
# More than any buffer of the client and the kernel together.
MANY_BYTES = 64 * 1024 * 1024


class EndlessPeer:
    """A peer that sends the same bytes until the caller closes.

    Attributes:
        address: IP address and port.
        sent: Number of bytes that the last caller let it send.
    """

    def __init__(self, first: bytes, rest: bytes, gap_s: float = 0.0) -> None:
        self._first = first
        self._rest = rest
        self._gap = threading.Event()
        self._gap_s = gap_s
        self._listening = socket.create_server(("127.0.0.1", 0))
        host, port = self._listening.getsockname()
        self.address = f"{host}:{port}"
        self.sent = 0
        self.ended = threading.Event()
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        with contextlib.suppress(OSError):
            connection, _ = self._listening.accept()
            with connection:
                connection.recv(65536)
                connection.sendall(self._first)
                while self.sent < MANY_BYTES:
                    connection.sendall(self._rest)
                    self.sent += len(self._rest)
                    self._gap.wait(self._gap_s)
        self.ended.set()

    def close(self) -> None:
        """Stops to accept."""
        self._gap.set()
        self._listening.close()


@pytest.fixture
def start_peer() -> Iterator[Callable[..., EndlessPeer]]:
    """Starts peers and closes them after the test."""
    with contextlib.ExitStack() as stack:

        def start(*arguments: object, **options: float) -> EndlessPeer:
            peer = EndlessPeer(*arguments, **options)  # type: ignore[arg-type]
            stack.callback(peer.close)
            return peer

        yield start


def read(peer: EndlessPeer, limit_s: float) -> bytes:
    """Reads a response of the peer as the clients of the relay do."""
    host, _, port = peer.address.rpartition(":")
    pool = urllib3.HTTPConnectionPool(host, int(port), retries=False)
    response = pool.request("GET", "/", preload_content=False, timeout=5.0)
    return bounded_http.read_body(response, MAX_BYTES, clock.now_s() + limit_s)


def test_endless_body_ends_at_its_size(start_peer):
    # Guards against a host that grows until it is killed, and a greenlet that
    # never ends, because the store or another host sends bytes without end.
    peer = start_peer(HEAD + b"\r\n", b"x" * 65536)
    with pytest.raises(bounded_http.ResponseBoundsError):
        read(peer, limit_s=60.0)
    assert peer.ended.wait(10.0)
    assert peer.sent < MANY_BYTES


def test_trickling_body_ends_at_its_time(start_peer, monkeypatch):
    # Guards against a call that a byte now and then keeps alive for ever, since
    # each read succeeds within its timeout.
    now = [0.0]

    def step() -> float:
        now[0] += 1.0
        return now[0]

    monkeypatch.setattr(clock, "now_s", step)
    peer = start_peer(HEAD + b"\r\n", b"x", gap_s=0.01)
    with pytest.raises(bounded_http.ResponseBoundsError):
        read(peer, limit_s=5.0)
    assert peer.ended.wait(10.0)


def test_endless_head_is_an_error(start_peer):
    # Guards against a head that grows in memory without a bound.
    peer = start_peer(HEAD, b"a: " + b"x" * 65536)
    with pytest.raises((urllib3.exceptions.HTTPError, OSError)):
        read(peer, limit_s=60.0)
    assert peer.ended.wait(10.0)
    assert peer.sent < MANY_BYTES


endless_answers = pytest.mark.parametrize(
    ("first", "rest"),
    [
        (HEAD + b"\r\n", b"x" * 65536),
        (HEAD, b"a: " + b"x" * 65536),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"1" * 65536),
    ],
    ids=["body", "head", "chunk size"],
)


@endless_answers
def test_endless_report_of_another_host_is_an_error(start_peer, first, rest):
    # Guards against a host that fills the memory of all hosts that query it.
    peer = start_peer(first, rest)
    client = state_exchange.PeerClient()
    entry = serving.HostEntry("a", "north", peer.address)
    with pytest.raises(state_exchange.PeerReportError):
        client.fetch_config(entry)
    assert peer.ended.wait(10.0)
    assert peer.sent < MANY_BYTES


@endless_answers
def test_endless_report_of_a_target_is_an_error(start_peer, first, rest):
    # Guards against an engine in trouble whose report fills the memory.
    peer = start_peer(first, rest)
    host, _, port = peer.address.rpartition(":")
    entry = relay_builders.target("t", host, int(port))
    with pytest.raises(target_connection.AttemptError):
        target_connection.call_target(entry, b"GET", b"/", b"", 30.0)
    assert peer.ended.wait(10.0)
    assert peer.sent < MANY_BYTES


# Runs in a process of its own, since only a patched one can interrupt a read.
FETCH_CONFIG = """
from gevent import monkey
monkey.patch_all()
import sys
import gevent
from rattanpulley_core import serving
from rattanpulleyd._internal.relay import state_exchange
others = gevent.spawn(lambda: gevent.sleep(0.05) or print("others ran"))
entry = serving.HostEntry("a", "north", sys.argv[1])
try:
    state_exchange.PeerClient().fetch_config(entry)
except state_exchange.PeerReportError as error:
    print(error)
"""


def fetch_config(peer: EndlessPeer) -> str:
    """Returns what a patched process that queries a peer prints."""
    completed = subprocess.run(
        [sys.executable, "-c", FETCH_CONFIG, peer.address],
        capture_output=True,
        text=True,
        check=True,
        env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
    )
    return completed.stdout


TRAILERS = HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n"


def test_endless_trailers_end_at_their_time(start_peer):
    # Guards against a call that never returns, because the parser reads
    # trailers until the first empty line.
    peer = start_peer(TRAILERS, b"a: b\r\n", gap_s=0.01)
    assert "not complete in time" in fetch_config(peer)
    assert peer.ended.wait(10.0)


@pytest.mark.parametrize(
    ("first", "rest"),
    [
        (TRAILERS, b"a: b\r\n" * 9999),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 999),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n" * 9999),
    ],
    ids=["trailers", "interim responses", "small chunks"],
)
def test_bytes_without_a_pause_end_at_their_time(start_peer, first, rest):
    # Guards against a host that stops while the store or another host sends
    # faster than it reads: no timer ran, and no other greenlet.
    peer = start_peer(first, rest)
    assert fetch_config(peer).splitlines()[0] == "others ran"
    assert peer.ended.wait(10.0)
    assert peer.sent < MANY_BYTES


def test_complete_body_leaves_the_connection_usable():
    # Guards against a new connection to the store for each call.
    listening = socket.create_server(("127.0.0.1", 0))
    accepted = []

    def serve() -> None:
        connection, _ = listening.accept()
        accepted.append(connection)
        for _ in range(2):
            connection.recv(65536)
            connection.sendall(HEAD + b"Content-Length: 2\r\n\r\nok")

    threading.Thread(target=serve, daemon=True).start()
    host, port = listening.getsockname()
    pool = urllib3.HTTPConnectionPool(host, port, retries=False)
    for _ in range(2):
        response = pool.request("GET", "/", preload_content=False, timeout=5.0)
        until_s = time.monotonic() + 60.0
        assert bounded_http.read_body(response, MAX_BYTES, until_s) == b"ok"
    assert len(accepted) == 1
    listening.close()
