"""Interrupts the work on a request whose client disconnects."""

from collections.abc import Iterator
import contextlib
import socket as socket_lib

import gevent
from gevent import socket

from rattanpulleyd._internal.relay import context as context_lib


@contextlib.contextmanager
def cancelling(sock: socket.socket) -> Iterator[None]:
    """Raises `ClientDisconnectedError` in the block on a disconnect.

    The relay must then promptly cancel the work at the target, also while it
    waits for the target and writes nothing to the client.
    """
    worker = gevent.getcurrent()
    watcher = gevent.spawn(_watch, sock, worker)
    try:
        yield
    finally:
        watcher.kill(block=False)


def _watch(sock: socket.socket, worker: gevent.Greenlet) -> None:
    """Waits for the end of the connection and interrupts the worker."""
    try:
        socket.wait_read(sock.fileno())
        data = sock._sock.recv(1, socket_lib.MSG_PEEK)
    except (BlockingIOError, InterruptedError):
        return
    except (OSError, ValueError):
        data = b""
    if not data:
        worker.kill(context_lib.ClientDisconnectedError(), block=False)
