"""Sends within a time limit that steps of the wall clock do not change.

gevent's own `sendall` measures its timeout by `time.time()`.
"""

import time
from typing import Any

from rattanpulleyd._internal.sockets import arrived_first
from rattanpulleyd._internal.sockets import late_reads


def send_all(sock: Any, data: bytes, timeout_s: float) -> None:
    """Sends all bytes.

    Args:
        sock: A gevent socket; its own timeout does not count.
        data: The bytes.
        timeout_s: Maximum time for all of them.

    Raises:
        TimeoutError: The peer has not read enough in time.
        OSError: The connection has ended.
    """
    until_s = time.monotonic() + timeout_s
    late = late_reads.LateReads()
    left = memoryview(data)
    while left:
        now_s = time.monotonic()
        # After a stall of this process, the peer may have read meanwhile.
        if late.are_over(now_s, until_s):
            raise TimeoutError("timed out")
        sent = arrived_first.read(
            sock, sock.send, left, timeout_s=until_s - now_s
        )
        left = left[sent:]
