"""Lets other greenlets run while one reads bytes that keep arriving.

gevent switches greenlets only when a socket is empty. A peer that sends as fast
as this process reads would otherwise stop all other connections and timers.
"""

import time

import gevent

# Adds little to the latency of other requests, also with several such peers.
MAX_TURN_S = 0.002


class ReadTurn:
    """Time for which one reader has used the process without a break."""

    def __init__(self) -> None:
        self._loop = gevent.get_hub().loop
        self._begin()

    def _begin(self) -> None:
        # The loop caches its time, so it changes only when the loop has run.
        self._loop_s = self._loop.now()
        self._started_s = time.monotonic()

    def yield_if_long(self) -> None:
        """Lets other greenlets run if none could for `MAX_TURN_S`."""
        if time.monotonic() - self._started_s < MAX_TURN_S:
            return
        if self._loop.now() == self._loop_s:
            gevent.sleep(0)
        self._begin()
