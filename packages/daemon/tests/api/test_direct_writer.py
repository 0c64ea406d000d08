"""Tests of the writer that shares a connection between greenlets."""

import types

import gevent
import gevent.socket
import pytest

from rattanpulleyd._internal.api import direct_writer

KEEP_ALIVE_S = 30.0


def _writer(is_chunked: bool) -> tuple[direct_writer.DirectWriter, object]:
    near, far = gevent.socket.socketpair()
    handler = types.SimpleNamespace(
        socket=near, response_use_chunked=is_chunked
    )
    return direct_writer.DirectWriter(handler), (near, far)


def test_slow_reader_gets_all_bytes_in_order() -> None:
    """Guards against bytes lost or reordered when the socket is full."""
    writer, (near, far) = _writer(is_chunked=False)
    running = gevent.spawn(writer.run, KEEP_ALIVE_S)
    parts = [b"%06d" % number * 500 for number in range(2000)]
    for part in parts:
        writer.write(part)
    received = b""
    while len(received) < 3_000_000:
        received += far.recv(65536)
        writer.write(b"%06d" % (len(received) % 1_000_000))
        parts.append(b"%06d" % (len(received) % 1_000_000))
    writer.finish()
    reader = gevent.spawn(lambda: b"".join(iter(lambda: far.recv(65536), b"")))
    running.get(timeout=KEEP_ALIVE_S)
    near.close()
    assert received + reader.get(timeout=KEEP_ALIVE_S) == b"".join(parts)
    far.close()


def test_chunks_are_framed() -> None:
    """Guards against bytes between the chunks of a response."""
    writer, (near, far) = _writer(is_chunked=True)
    writer.write(b"x" * 17)
    writer.finish()
    writer.run(KEEP_ALIVE_S)
    assert far.recv(100) == b"11\r\n" + b"x" * 17 + b"\r\n"
    near.close()
    far.close()


def test_silent_stream_is_kept_alive() -> None:
    """Guards against proxies that close a silent connection."""
    writer, (near, far) = _writer(is_chunked=False)
    running = gevent.spawn(writer.run, 0.0)
    assert far.recv(100).startswith(b": keep-alive\n\n")
    running.kill()
    near.close()
    far.close()


def test_lost_connection_ends_the_writer_only() -> None:
    """Guards against an error that reaches the greenlet of an engine."""
    writer, (near, far) = _writer(is_chunked=False)
    far.close()
    for _ in range(3):
        writer.write(b"x")
    with pytest.raises(OSError, match="Broken pipe"):
        writer.run(KEEP_ALIVE_S)
    near.close()
    writer.write(b"x")
