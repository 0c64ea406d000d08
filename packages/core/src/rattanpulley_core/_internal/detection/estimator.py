"""Stall threshold of one stream.

Mean and deviation of the interval between events are weighted exponentially,
as in TCP's round-trip estimate (RFC 6298).
"""

MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
MEAN_FACTOR = 4.0
DEVIATION_FACTOR = 4.0
# Four intervals of 30 ms. Engines that pause for longer now and then raise
# their own margin, so the floor need not cover them.
MIN_THRESHOLD_S = 0.12
MAX_THRESHOLD_S = 5.0
# A first token is late after the usual time of the target plus this.
FIRST_TOKEN_LATE_S = 1.5


class IntervalEstimator:
    """Smoothed interval between the events of a stream."""

    __slots__ = ("backoff", "deviation_s", "last_event_s", "mean_s")

    def __init__(self, now_s: float) -> None:
        self.mean_s = 0.0
        self.deviation_s = 0.0
        self.backoff = 1.0
        self.last_event_s = now_s

    def record(self, now_s: float) -> None:
        """Records that tokens arrived; ends a backoff."""
        error_s = now_s - self.last_event_s - self.mean_s
        self.last_event_s = now_s
        self.mean_s += error_s * MEAN_WEIGHT
        self.deviation_s += (abs(error_s) - self.deviation_s) * DEVIATION_WEIGHT
        self.backoff = 1.0

    def restart(self, now_s: float) -> None:
        """Starts waiting anew without a sample."""
        self.last_event_s = now_s

    def back_off(self, now_s: float) -> None:
        """Doubles the threshold, and starts waiting anew."""
        self.backoff *= 2.0
        self.last_event_s = now_s

    def threshold_s(self, margin: float = 1.0) -> float:
        """Returns the silence after which the stream is examined.

        Args:
            margin: Factor of the target; a larger backoff of the stream itself
                takes its place.
        """
        threshold_s = (
            MEAN_FACTOR * self.mean_s + DEVIATION_FACTOR * self.deviation_s
        )
        threshold_s = max(MIN_THRESHOLD_S, threshold_s)
        threshold_s *= max(margin, self.backoff)
        return min(MAX_THRESHOLD_S, threshold_s)

    def first_token_threshold_s(self, expected_s: float) -> float:
        """Returns the wait for a first token that is usual after `expected_s`.

        A backoff lengthens it within the limit of the threshold, or of the
        usual time where that is longer.
        """
        late_s = expected_s + FIRST_TOKEN_LATE_S * self.backoff
        return min(late_s, max(MAX_THRESHOLD_S, expected_s * 2))
