"""Tells whether a peer has taken all that was sent to it.

A response without a length ends with its connection. If the peer gives up while
it is still being sent the request, the system reports the reset to the write
that meets it, and the end of the connection to the next read, as after a
complete response.
"""

import fcntl
import socket
import struct
import termios
from typing import Any

# The first byte of `struct tcp_info` of Linux is the state of the connection.
_STATE_BYTES = 1
# The peer has ended its side in order; a reset leads to another state.
_TCP_CLOSE_WAIT = 8
_INT = struct.Struct("i")


def is_complete(sock: Any) -> bool:
    """Returns whether a connection that its peer has ended lost nothing.

    Args:
        sock: A TCP socket on which the end of the connection was read.

    Returns:
        False if the peer has reset the connection or has not acknowledged all
        that was sent; True also if the system does not tell.
    """
    try:
        state = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _STATE_BYTES
        )
        unsent = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_INT.size))
    except OSError:
        return True
    return state[0] == _TCP_CLOSE_WAIT and not _INT.unpack(unsent)[0]
