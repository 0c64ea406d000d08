"""System implementation of the clock interface."""

import time

from rattanpulley_core import interfaces


class SystemClock(interfaces.Clock):
    """Reads the operating system's clocks."""

    def monotonic_s(self) -> float:
        """Returns monotonic seconds."""
        return time.monotonic()

    def wall_s(self) -> float:
        """Returns seconds since the Unix epoch."""
        return time.time()
