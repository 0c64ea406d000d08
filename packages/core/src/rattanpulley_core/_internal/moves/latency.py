"""Thresholds above which a request counts as slow."""

import collections

# Slowdown that is accepted from a new version. Its times are divided by it
# before they are compared, so that a version which is slower by less does not
# give evidence, however narrow the distribution of the times is.
ACCEPTED_SLOWDOWN = 1.25
# Part of the old version's requests that are not slow. A larger part finds
# large slowdowns in fewer requests.
_QUANTILE = 0.9
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

    def is_slow(self, value_s: float, is_new: bool) -> bool | None:
        """Returns whether a time is slow, or None before enough is known."""
        if self._threshold_s is None:
            return None
        if is_new:
            return value_s / ACCEPTED_SLOWDOWN > self._threshold_s
        return value_s > self._threshold_s

    def add_sample(self, value_s: float) -> None:
        """Adds a time of the old version."""
        self._values.append(value_s)
        count = len(self._values)
        if count >= _MIN_VALUES:
            ordered = sorted(self._values)
            self._threshold_s = ordered[int(_QUANTILE * count)]
