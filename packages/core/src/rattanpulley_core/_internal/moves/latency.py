"""Thresholds above which a request counts as slow."""

import collections

# A request is slow above this multiple of the time that 80 % of the old
# version's requests stay below. The margin is the slowdown that is accepted
# from a new version.
SLOW_FACTOR = 1.3
_QUANTILE = 0.8
_MEMORY = 64
_MIN_VALUES = 10


class SlowThreshold:
    """Threshold of one signal on one route, learned from the old version.

    Any threshold that is fixed before a request is judged keeps the test
    valid; a good one only makes it faster.
    """

    def __init__(self) -> None:
        self._values: collections.deque[float] = collections.deque(
            maxlen=_MEMORY
        )
        self._threshold_s: float | None = None

    def is_slow(self, value_s: float) -> bool | None:
        """Returns whether a time is slow, or None before enough is known."""
        if self._threshold_s is None:
            return None
        return value_s > self._threshold_s

    def learn(self, value_s: float) -> None:
        """Adds a time of the old version."""
        self._values.append(value_s)
        count = len(self._values)
        if count >= _MIN_VALUES:
            ordered = sorted(self._values)
            self._threshold_s = SLOW_FACTOR * ordered[int(_QUANTILE * count)]
