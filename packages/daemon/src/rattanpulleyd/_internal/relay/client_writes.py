"""Writes to clients, which may read slowly."""

import contextlib

from gevent import socket

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import connection_memory
from rattanpulleyd._internal.relay import context as context_lib
from rattanpulleyd._internal.relay import lingering_close

# A client that accepts no bytes for this long counts as disconnected.
WRITE_TIMEOUT_S = 5.0


def send_all(
    sock: socket.socket,
    data: bytes,
    memory: connection_memory.ConnectionMemory,
) -> None:
    """Sends data for as long as the client accepts some of it.

    Args:
        sock: The connection.
        data: The data.
        memory: Memory of the connection; the client may be disconnected for it.

    Raises:
        ClientDisconnectedError: The client disconnected, or has accepted
            nothing for too long.
    """
    left = memoryview(data)
    try:
        with memory.in_phase(serving.ConnectionPhase.SENDING):
            while left:
                with memory.waiting():
                    size = _send_part(sock, left)
                left = left[size:]
                memory.record_progress()
    except (OSError, connection_memory.EndedForMemoryError) as error:
        raise context_lib.ClientDisconnectedError from error


def _send_part(sock: socket.socket, data: memoryview) -> int:
    """Sends a part of the data; returns its size.

    The buffer of a socket has room again only when much of it has been sent,
    so that a client on a weak link may read all the time until then.

    Raises:
        TimeoutError: The client has accepted nothing for too long.
    """
    sock.settimeout(0.0)
    with contextlib.suppress(BlockingIOError):
        return int(sock.send(data))
    sock.settimeout(WRITE_TIMEOUT_S)
    while True:
        queued_bytes = lingering_close.unacknowledged_bytes(sock)
        try:
            return int(sock.send(data))
        except TimeoutError:
            if lingering_close.unacknowledged_bytes(sock) >= queued_bytes:
                raise
