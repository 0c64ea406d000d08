"""Tests for the writer that several greenlets share."""

import types

import gevent
import gevent.socket
import pytest

from rattanpulleyd._internal.api import direct_writer

KEEP_ALIVE_S = 30.0


def _writer(is_chunked: bool) -> tuple[direct_writer.DirectWriter, object]:
    server_socket, client_socket = gevent.socket.socketpair()
    handler = types.SimpleNamespace(
        socket=server_socket, response_use_chunked=is_chunked
    )
    return direct_writer.DirectWriter(handler), (server_socket, client_socket)


def test_slow_reader_receives_all_bytes_in_order() -> None:
    """Guards against bytes lost or reordered when the send buffer is full."""
    writer, (server_socket, client_socket) = _writer(is_chunked=False)
    running = gevent.spawn(writer.run, KEEP_ALIVE_S)
    parts = [b"%06d" % number * 500 for number in range(2000)]
    for part in parts:
        writer.write(part)
    received = b""
    while len(received) < 3_000_000:
        received += client_socket.recv(65536)
        writer.write(b"%06d" % (len(received) % 1_000_000))
        parts.append(b"%06d" % (len(received) % 1_000_000))
    writer.finish()
    reader = gevent.spawn(
        lambda: b"".join(iter(lambda: client_socket.recv(65536), b""))
    )
    running.get(timeout=KEEP_ALIVE_S)
    server_socket.close()
    assert received + reader.get(timeout=KEEP_ALIVE_S) == b"".join(parts)
    client_socket.close()


def test_chunks_are_framed() -> None:
    """Guards against unframed bytes in a chunked response."""
    writer, (server_socket, client_socket) = _writer(is_chunked=True)
    writer.write(b"x" * 17)
    writer.finish()
    writer.run(KEEP_ALIVE_S)
    assert client_socket.recv(100) == b"11\r\n" + b"x" * 17 + b"\r\n"
    server_socket.close()
    client_socket.close()


def test_idle_stream_is_kept_alive() -> None:
    """Guards against proxies that close an idle connection."""
    writer, (server_socket, client_socket) = _writer(is_chunked=False)
    running = gevent.spawn(writer.run, 0.0)
    assert client_socket.recv(100).startswith(b": keep-alive\n\n")
    running.kill()
    server_socket.close()
    client_socket.close()


def test_lost_connection_fails_only_the_writer() -> None:
    """Guards against a socket error raised in the greenlet of an engine."""
    writer, (server_socket, client_socket) = _writer(is_chunked=False)
    client_socket.close()
    for _ in range(3):
        writer.write(b"x")
    with pytest.raises(OSError, match="Broken pipe"):
        writer.run(KEEP_ALIVE_S)
    server_socket.close()
    writer.write(b"x")
