"""Load of a target: what this daemon knows, and what the target reported."""

import dataclasses
import math

# A report says less the older it is; after this time it counts a third.
REPORT_DECAY_S = 3.0
# Older reports do not count, so that they decide no ties either.
MAX_REPORT_AGE_S = 15.0
# A target that came back starts with cold caches and lazy initialization.
SLOW_START_S = 10.0
MIN_SLOW_START_SHARE = 0.1

INITIAL_LIMIT = 64.0
MIN_LIMIT = 4.0
MAX_LIMIT = 512.0
# Answers that a target refuses say that its limit is too high.
REFUSAL_FACTOR = 0.7
LATE_FACTOR = 0.9
# Prefills differ by prompt and cache: a cold prompt takes many times as long as
# a cached one, so only a multiple of the usual time plus this is late.
LATE_AFTER_TIMES = 4.0
LATE_AFTER_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Answer of a target's load call; the values lag.

    Attributes:
        running: Generations that the target computes, of all daemons.
        waiting: Generations that wait there for their prefill.
        kv_used: Share of the cache in use, from 0 to 1.
    """

    running: int
    waiting: int
    kv_used: float


@dataclasses.dataclass(slots=True)
class TargetLoad:
    """Load of a target besides the counts of this daemon.

    Attributes:
        limit: Concurrent attempts of this daemon, by additive increase and
            multiplicative decrease.
        live_since_s: Time at which it came into use.
        others_running: Load of other daemons in the last report.
        others_waiting: Waiting requests of other daemons in the last report.
        reported_at_s: Time of the last report.
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
        """Adopts a report, less the requests of this daemon."""
        self.others_running = max(0.0, report.running - own_running)
        self.others_waiting = max(0.0, report.waiting - own_waiting)
        self.reported_at_s = now_s

    def report_weight(self, now_s: float) -> float:
        """Returns the weight of the last report, from 0 to 1."""
        age_s = now_s - self.reported_at_s
        if age_s > MAX_REPORT_AGE_S:
            return 0.0
        return math.exp(-max(0.0, age_s) / REPORT_DECAY_S)

    def slow_start_share(self, now_s: float) -> float:
        """Returns the share of its load that the target may take now."""
        share = (now_s - self.live_since_s) / SLOW_START_S
        return min(1.0, max(MIN_SLOW_START_SHARE, share))

    def record_first_token(
        self, elapsed_s: float, usual_s: float, in_flight: int
    ) -> None:
        """Adapts the limit to the time to a first token."""
        late_after_s = LATE_AFTER_TIMES * usual_s + LATE_AFTER_S
        if usual_s > 0.0 and elapsed_s > late_after_s:
            self.limit = max(MIN_LIMIT, self.limit * LATE_FACTOR)
        elif in_flight * 2 >= self.limit:
            # Unused limits do not grow, since nothing has tested them.
            self.limit = min(MAX_LIMIT, self.limit + 1.0 / self.limit)

    def record_refusal(self) -> None:
        """Lowers the limit after the target refused an attempt."""
        self.limit = max(MIN_LIMIT, self.limit * REFUSAL_FACTOR)
