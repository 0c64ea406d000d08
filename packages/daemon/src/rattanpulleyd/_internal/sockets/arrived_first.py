"""Reads what has arrived before a timeout counts.

After a stall of this process, the event loop learns of a limited number of
ready sockets and then runs all timers that are due. The other waits time out,
although their bytes had arrived.
"""

from collections.abc import Callable
import contextlib
from typing import Any, TypeVar

_T = TypeVar("_T")


def read(
    sock: Any, receive: Callable[..., _T], *args: Any, timeout_s: float | None
) -> _T:
    """Reads from a socket; its own timeout is unchanged afterwards.

    Args:
        sock: A gevent socket.
        receive: Method of the socket that reads.
        *args: Arguments of the method.
        timeout_s: Maximum wait, or None. A wait of 0 or less reads only what
            has arrived.

    Raises:
        TimeoutError: Nothing has arrived.
    """
    before_s = sock.gettimeout()
    try:
        if timeout_s is None or timeout_s > 0:
            sock.settimeout(timeout_s)
            with contextlib.suppress(TimeoutError):
                return receive(*args)
        sock.settimeout(0.0)
        return receive(*args)
    except BlockingIOError:
        raise TimeoutError("timed out") from None
    finally:
        sock.settimeout(before_s)


def has_connected(sock: Any) -> bool:
    """Returns whether a connect whose wait timed out has succeeded."""
    try:
        sock.getpeername()
    except OSError:
        return False
    return True
