"""Clocks of the relay."""

import time


def now_s() -> float:
    """Returns seconds of a steady clock, for durations of the process."""
    return time.monotonic()


def suspend_aware_now_s() -> float:
    """Returns seconds of a steady clock that counts suspension of the host.

    Ages of what the host believes are measured on it: a belief grows old while
    the host is suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
