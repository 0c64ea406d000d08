"""Stall threshold of one stream.

Mean and deviation of the interval between events are exponentially weighted
moving averages, as in TCP's round-trip time estimate (RFC 6298).
"""

MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
MEAN_FACTOR = 4.0
DEVIATION_FACTOR = 4.0
# Four intervals of 30 ms. Engines that occasionally pause for longer raise the
# margin of their target, so the floor need not cover such pauses.
MIN_THRESHOLD_S = 0.12
MAX_THRESHOLD_S = 5.0
# A first token is late after the usual time of the target plus this margin.
FIRST_TOKEN_MARGIN_S = 1.5


class IntervalEstimator:
    """Estimates the interval between the events of a stream.

    Attributes:
        mean_s: Smoothed interval in seconds.
        deviation_s: Smoothed absolute deviation of the interval in seconds.
        backoff: Factor of the threshold; doubles with each `back_off`.
        last_event_s: Monotonic time of the last event or restart.
    """

    __slots__ = ("backoff", "deviation_s", "last_event_s", "mean_s")

    def __init__(self, now_s: float) -> None:
        self.mean_s = 0.0
        self.deviation_s = 0.0
        self.backoff = 1.0
        self.last_event_s = now_s

    def record(self, now_s: float) -> None:
        """Records an event and resets the backoff."""
        error_s = now_s - self.last_event_s - self.mean_s
        self.last_event_s = now_s
        self.mean_s += error_s * MEAN_WEIGHT
        self.deviation_s += (abs(error_s) - self.deviation_s) * DEVIATION_WEIGHT
        self.backoff = 1.0

    def restart(self, now_s: float) -> None:
        """Restarts the wait without a sample."""
        self.last_event_s = now_s

    def back_off(self, now_s: float) -> None:
        """Doubles the threshold and restarts the wait."""
        self.backoff *= 2.0
        self.last_event_s = now_s

    def threshold_s(self, margin: float = 1.0) -> float:
        """Returns the seconds without an event after which a stream is probed.

        Args:
            margin: Stall margin of the target. The larger of it and the
                stream's backoff applies.
        """
        threshold_s = (
            MEAN_FACTOR * self.mean_s + DEVIATION_FACTOR * self.deviation_s
        )
        threshold_s = max(MIN_THRESHOLD_S, threshold_s)
        threshold_s *= max(margin, self.backoff)
        return min(MAX_THRESHOLD_S, threshold_s)

    def first_token_threshold_s(self, expected_s: float) -> float:
        """Returns the seconds after which a missing first token is late.

        A backoff increases the threshold up to the larger of
        `MAX_THRESHOLD_S` and twice `expected_s`.

        Args:
            expected_s: Usual time to first token of the target.
        """
        late_s = expected_s + FIRST_TOKEN_MARGIN_S * self.backoff
        return min(late_s, max(MAX_THRESHOLD_S, expected_s * 2))
