"""Timing of repeated calls to the store: backoff and jitter."""

# Backoff for an unreachable store: the first retry follows soon, later ones
# less often.
RETRY_S = 0.35
MAX_RETRY_S = 0.9
RETRY_GROWTH = 1.4
JITTER_FRACTION = 0.2


class RetryBackoff:
    """Exponential backoff between calls to an unreachable store."""

    def __init__(self) -> None:
        self._pause_s = RETRY_S

    def next_delay_s(self) -> float:
        """Returns the next delay; it grows up to `MAX_RETRY_S`."""
        pause_s = self._pause_s
        self._pause_s = min(pause_s * RETRY_GROWTH, MAX_RETRY_S)
        return pause_s

    def reset(self) -> None:
        """Resets the delay after a successful call."""
        self._pause_s = RETRY_S
