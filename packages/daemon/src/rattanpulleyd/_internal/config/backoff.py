"""Exponential backoff for failing calls."""

import random

INITIAL_DELAY_S = 0.25
# The sum of this delay and the longest unresponsive watch must stay below 17 s,
# the time within which an accepted table must become active.
MAX_DELAY_S = 4.0


class Backoff:
    """Doubles the delay with each failure and adds jitter.

    Without jitter, all daemons would call a recovering platform at the same
    moment.
    """

    def __init__(self, rng: random.Random) -> None:
        """Initializes the delay to `INITIAL_DELAY_S`.

        Args:
            rng: Source of the jitter.
        """
        self._rng = rng
        self._delay_s = INITIAL_DELAY_S

    def reset(self) -> None:
        """Resets the delay after a success."""
        self._delay_s = INITIAL_DELAY_S

    def next_delay_s(self) -> float:
        """Returns the delay in seconds after a failure and doubles the next."""
        delay_s = self._delay_s
        self._delay_s = min(2 * delay_s, MAX_DELAY_S)
        return delay_s * self._rng.uniform(0.5, 1.0)
