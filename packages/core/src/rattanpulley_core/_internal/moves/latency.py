"""Latency thresholds above which a request counts as slow."""

import collections

# Tolerated slowdown of a new version. Latencies of the new version are divided
# by it before the comparison, so that a smaller slowdown gives no evidence,
# however narrow the distribution of the latencies is.
ACCEPTED_SLOWDOWN = 1.25
# Quantile of the old version's latencies that is the threshold. A higher
# quantile detects large slowdowns in fewer requests.
_QUANTILE = 0.9
_MAX_SAMPLES = 64
_MIN_SAMPLES = 10


class SlowThreshold:
    """Threshold of one signal on one route, from latencies of the old version.

    The test is valid for any threshold that is fixed before a request is
    classified; a good threshold only reduces the requests that it needs.
    """

    def __init__(self) -> None:
        self._values: collections.deque[float] = collections.deque(
            maxlen=_MAX_SAMPLES
        )
        self._threshold_s: float | None = None

    def is_slow(self, value_s: float, is_new: bool) -> bool | None:
        """Returns whether a latency is slow, or None with too few samples."""
        if self._threshold_s is None:
            return None
        if is_new:
            return value_s / ACCEPTED_SLOWDOWN > self._threshold_s
        return value_s > self._threshold_s

    def add_sample(self, value_s: float) -> None:
        """Adds a latency of the old version, in seconds."""
        self._values.append(value_s)
        count = len(self._values)
        if count >= _MIN_SAMPLES:
            ordered = sorted(self._values)
            self._threshold_s = ordered[int(_QUANTILE * count)]
