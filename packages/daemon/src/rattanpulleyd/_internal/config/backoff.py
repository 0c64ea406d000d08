"""Delays between repeated attempts of a failing call."""

import random

FIRST_DELAY_S = 0.25
# Together with the longest silent watch this stays below the 17 s within which
# an accepted table must be in force.
LONGEST_DELAY_S = 4.0


class Backoff:
    """Doubles the delay with each failure and adds jitter.

    Without jitter all daemons would call a platform that comes back at once.
    """

    def __init__(self, rng: random.Random) -> None:
        """Starts with the first delay.

        Args:
            rng: Source of the jitter.
        """
        self._rng = rng
        self._delay_s = FIRST_DELAY_S

    def reset(self) -> None:
        """Notes a success."""
        self._delay_s = FIRST_DELAY_S

    def next_delay_s(self) -> float:
        """Notes a failure and returns the time to wait in seconds."""
        delay_s = self._delay_s
        self._delay_s = min(2 * delay_s, LONGEST_DELAY_S)
        return delay_s * self._rng.uniform(0.5, 1.0)
