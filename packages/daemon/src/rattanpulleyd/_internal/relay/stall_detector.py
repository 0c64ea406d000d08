"""When the silence of a stream is examined, and when it is long enough."""

import dataclasses

from rattanpulley_core import serving

# Engines send an event every few tens of milliseconds; reading the prompts of
# others delays one to about 0.2 s.
CHECK_BETWEEN_EVENTS_S = 0.11
# Reading the prompt takes about a second, in which nothing is sent.
CHECK_BEFORE_FIRST_EVENT_S = 0.4
RECHECK_INTERVAL_S = 0.15
# A stream that can go on cheaply elsewhere does so while the pause is still
# within the limit of its route.
PAUSE_LIMIT_FACTOR_WITH_COPY = 0.6
PAUSE_LIMIT_FACTOR_WITHOUT_COPY = 3.0
FIRST_EVENT_LIMIT_FRACTION = 0.9
DEFAULT_PAUSE_S = 2.0
# A wait that took this much longer than asked means that the host itself stood
# still, so that the silence says nothing of the target.
HOST_STALL_S = 0.1


@dataclasses.dataclass(slots=True)
class StallDetector:
    """Silence of one attempt.

    Attributes:
        longest_pause_s: Longest pause that is on time, or 0.
        objective_s: Time to the first event that is on time.
        has_copy: Whether a copy of the run's memory is kept elsewhere.
        since_s: When bytes last arrived.
        examine_at_s: When the silence is examined next.
        started: Whether an event has arrived.
        events: Events that arrived.
        made_before: Events that the target had made when it was last asked
            in this silence, or None.
        missing_before: Whether the target did not know the run when it was
            last asked in this silence.
    """

    longest_pause_s: float
    objective_s: float
    has_copy: bool
    idle_since_s: float
    check_at_s: float = 0.0
    started: bool = False
    events: int = 0
    previous_count: int | None = None
    was_missing: bool = False

    def __post_init__(self) -> None:
        """Plans the first examination."""
        self.reset(self.idle_since_s)

    def reset(self, now_s: float) -> None:
        """Notes that bytes arrived or that the host itself stood still."""
        self.idle_since_s = now_s
        wait_s = (
            CHECK_BETWEEN_EVENTS_S
            if self.started
            else CHECK_BEFORE_FIRST_EVENT_S
        )
        self.check_at_s = now_s + wait_s

    def record_events(self, count: int, now_s: float) -> None:
        """Notes that events arrived."""
        self.started = True
        self.events += count
        self.previous_count = None
        self.was_missing = False
        self.reset(now_s)

    def run_is_missing(self, report: serving.TargetReport, run_id: str) -> bool:
        """Returns whether the target neither runs nor queues a request.

        Reports lag, so that two of one silence must agree.
        """
        missing = run_id not in report.events_by_run and report.prompts == 0
        before, self.was_missing = self.was_missing, missing
        return missing and before

    def events_were_lost(self, made: int) -> bool:
        """Returns whether the target goes on while nothing arrives.

        Reports lag, so that after an event has arrived their growth may be of
        events that arrived as well. The number may count events of earlier
        runs, so that only its growth tells.

        Args:
            made: Events that the target says it has made.
        """
        before, self.previous_count = self.previous_count, made
        return not self.started and before is not None and made > before

    def schedule_next_check(self, now_s: float) -> None:
        """Plans the next examination of a target that answers probes."""
        wait_s = RECHECK_INTERVAL_S
        if not self.started:
            wait_s = CHECK_BEFORE_FIRST_EVENT_S
        self.check_at_s = now_s + wait_s

    def exceeds_limit(self, now_s: float) -> bool:
        """Returns whether to leave the target although it is alive."""
        return now_s - self.idle_since_s >= self._limit_s()

    def _limit_s(self) -> float:
        if not self.started:
            return self.objective_s * FIRST_EVENT_LIMIT_FRACTION
        pause_s = self.longest_pause_s or DEFAULT_PAUSE_S
        if self.has_copy:
            return pause_s * PAUSE_LIMIT_FACTOR_WITH_COPY
        return pause_s * PAUSE_LIMIT_FACTOR_WITHOUT_COPY
