"""Clocks that the relay uses."""

import time


def now_s() -> float:
    """Returns the monotonic clock in seconds, for durations in the process."""
    return time.monotonic()


def suspend_aware_now_s() -> float:
    """Returns the boot-time clock in seconds, which advances during suspension.

    The age of cached state is measured on it, because the state also ages while
    the host is suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
