"""Keeps a closing connection until the client has received its last response.

Closing a socket with unread bytes resets the connection, and the reset can
reach the client before the last response.
"""

import contextlib
import fcntl
import socket as socket_lib
import struct
import termios

import gevent
from gevent import socket

from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.sockets import read_turn

# Bounds the work on one read, during which no other greenlet runs.
READ_BYTES = 16 * 1024
# A client that has sent nothing for this long has noticed the close.
QUIET_S = 0.2
# A body of 4 MB takes 7 s on a link of 5 Mbit/s.
MAX_LINGER_S = 10.0
# Several times the longest body that a configuration allows, with its framing.
MAX_DISCARDED_BYTES = 16 * 1024 * 1024
# The acknowledgement of a response is looked for at this interval.
ACK_POLL_S = 0.01
# Enough for the headers in front of the id of a request.
PEEK_BYTES = 4096
_COUNTER = struct.Struct("i")


class LingeringClose:
    """The receiving side of a connection whose sending side is shut down."""

    def __init__(self, sock: socket.socket, turn: read_turn.ReadTurn) -> None:
        """Creates a lingering close.

        Args:
            sock: The connection.
            turn: Time that the reader of the connection has used.
        """
        self._socket = sock
        self._turn = turn

    def discard(self) -> None:
        """Reads and discards data until the client has noticed the close.

        It ends when the client closes or is quiet, and within `MAX_LINGER_S`
        and `MAX_DISCARDED_BYTES` for clients that send without end.
        """
        until_s = clock.now_s() + MAX_LINGER_S
        left_bytes = MAX_DISCARDED_BYTES
        while left_bytes > 0 and clock.now_s() < until_s:
            piece = self._next_piece(min(QUIET_S, until_s - clock.now_s()))
            if not piece:
                return
            left_bytes -= len(piece)
            self._turn.yield_if_long()

    def _next_piece(self, wait_s: float) -> bytes:
        """Returns the next piece, or empty bytes if none arrives."""
        self._socket.settimeout(max(1e-6, wait_s))
        try:
            return bytes(self._socket.recv(READ_BYTES))
        except OSError:
            return b""

    def leave_unread(self, until_s: float) -> bytes:
        """Waits until bytes arrive, and returns them without reading them.

        Then it waits until the client has the last response, which a reset by
        unread bytes would cut, but no longer than `MAX_LINGER_S`.

        Returns:
            The first bytes, or none if the client closes or sends nothing until
            `until_s`.
        """
        started_s = clock.now_s()
        with contextlib.suppress(OSError):
            wait_s = max(1e-6, until_s - started_s)
            socket.wait_read(self._socket.fileno(), timeout=wait_s)
        arrived = peek(self._socket, PEEK_BYTES)
        if arrived:
            self._wait_for_acknowledgement(started_s + MAX_LINGER_S)
        return arrived

    def _wait_for_acknowledgement(self, until_s: float) -> None:
        while unacknowledged_bytes(self._socket) and clock.now_s() < until_s:
            gevent.sleep(ACK_POLL_S)


def peek(sock: socket.socket, max_bytes: int) -> bytes:
    """Returns bytes that have arrived, and leaves them in the socket."""
    flags = socket_lib.MSG_PEEK | socket_lib.MSG_DONTWAIT
    try:
        return bytes(sock._sock.recv(max_bytes, flags))
    except OSError:
        return b""


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Returns the number of sent bytes that have not reached the client."""
    try:
        count = fcntl.ioctl(
            sock.fileno(), termios.TIOCOUTQ, bytes(_COUNTER.size)
        )
    except OSError:
        return 0
    size: int = _COUNTER.unpack(count)[0]
    return size
