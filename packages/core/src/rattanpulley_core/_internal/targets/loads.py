"""Load of a target, from reports of the target, and its concurrency limit."""

import dataclasses
import math

# Time constant of the decay of a report's weight, to about a third.
REPORT_DECAY_S = 3.0
# Older reports have no weight, so that they do not decide ties either.
MAX_REPORT_AGE_S = 15.0
# A restored target starts with cold caches and lazy initialization.
SLOW_START_S = 10.0
MIN_SLOW_START_SHARE = 0.1

INITIAL_LIMIT = 64.0
MIN_LIMIT = 4.0
MAX_LIMIT = 512.0
# Factor of the limit after a refusal, which shows that the limit is too high.
REFUSAL_DECREASE_FACTOR = 0.7
LATE_DECREASE_FACTOR = 0.9
# A first token is late after the usual time multiplied by the factor, plus the
# offset. Prefill times differ by prompt and cache: an uncached prompt takes
# many times as long as a cached one.
LATE_THRESHOLD_FACTOR = 4.0
LATE_THRESHOLD_OFFSET_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that a target reports; the values lag.

    Attributes:
        running: Generations in progress on the target, of all daemons.
        waiting: Generations queued on the target for their prefill.
        kv_used: Share of the KV cache in use, 0 to 1.
    """

    running: int
    waiting: int
    kv_used: float


@dataclasses.dataclass(slots=True)
class TargetLoad:
    """Load of a target by other daemons, and this daemon's limit.

    Attributes:
        limit: Limit of this daemon's concurrent attempts, by additive increase
            and multiplicative decrease (AIMD).
        live_since_s: Monotonic time since which the target is in use.
        others_running: Running generations of other daemons in the last
            report.
        others_waiting: Waiting generations of other daemons in the last report.
        reported_at_s: Monotonic time of the last report.
    """

    limit: float = INITIAL_LIMIT
    live_since_s: float = -math.inf
    others_running: float = 0.0
    others_waiting: float = 0.0
    reported_at_s: float = -math.inf

    def apply_report(
        self,
        report: LoadReport,
        own_running: int,
        own_waiting: int,
        now_s: float,
    ) -> None:
        """Stores a report, less the requests of this daemon."""
        self.others_running = max(0.0, report.running - own_running)
        self.others_waiting = max(0.0, report.waiting - own_waiting)
        self.reported_at_s = now_s

    def report_weight(self, now_s: float) -> float:
        """Returns the weight of the last report, 0 to 1."""
        age_s = now_s - self.reported_at_s
        if age_s > MAX_REPORT_AGE_S:
            return 0.0
        return math.exp(-max(0.0, age_s) / REPORT_DECAY_S)

    def slow_start_share(self, now_s: float) -> float:
        """Returns the share of normal load allowed in slow start, 0.1 to 1."""
        share = (now_s - self.live_since_s) / SLOW_START_S
        return min(1.0, max(MIN_SLOW_START_SHARE, share))

    def record_first_token(
        self, elapsed_s: float, usual_s: float, in_flight: int
    ) -> None:
        """Adapts the limit to a time to first token."""
        late_after_s = LATE_THRESHOLD_FACTOR * usual_s + LATE_THRESHOLD_OFFSET_S
        if usual_s > 0.0 and elapsed_s > late_after_s:
            self.limit = max(MIN_LIMIT, self.limit * LATE_DECREASE_FACTOR)
        elif in_flight * 2 >= self.limit:
            # A limit that is less than half used does not grow, because the
            # load does not test it.
            self.limit = min(MAX_LIMIT, self.limit + 1.0 / self.limit)

    def record_refusal(self) -> None:
        """Lowers the limit after the target refused an attempt."""
        self.limit = max(MIN_LIMIT, self.limit * REFUSAL_DECREASE_FACTOR)
