"""Ends reads whose time is over although bytes keep arriving."""

# What has arrived in time is still read, also after a stall of this process.
LATE_READ_S = 0.2


class LateReads:
    """Allows a reader to read what is there when its time has expired."""

    def __init__(self) -> None:
        self._late_since_s: float | None = None

    def are_over(self, now_s: float, until_s: float) -> bool:
        """Returns whether reads have gone on for too long after a time limit.

        Args:
            now_s: Current time.
            until_s: Time limit on the same clock; it may move.
        """
        if now_s < until_s:
            self._late_since_s = None
            return False
        if self._late_since_s is None:
            self._late_since_s = now_s
        return now_s - self._late_since_s >= LATE_READ_S
