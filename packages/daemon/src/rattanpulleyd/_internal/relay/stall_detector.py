"""Decides when to check the target of a stalled stream and when to leave it."""

import dataclasses

from rattanpulley_core import serving

# Engines send an event every few tens of milliseconds; prefill of other prompts
# delays one by up to about 0.2 s.
CHECK_BETWEEN_EVENTS_S = 0.11
# Prefill takes about a second, during which nothing is sent.
CHECK_BEFORE_FIRST_EVENT_S = 0.4
RECHECK_INTERVAL_S = 0.15
# Limits as multiples of the route's longest pause. With a copy, resuming is
# cheap, so the stream moves while the pause is still within the limit.
PAUSE_LIMIT_FACTOR_WITH_COPY = 0.6
PAUSE_LIMIT_FACTOR_WITHOUT_COPY = 3.0
FIRST_EVENT_LIMIT_FRACTION = 0.9
DEFAULT_PAUSE_S = 2.0
# A wait that exceeds its timeout by this much means that this host itself was
# stalled, so that the missing events say nothing about the target.
HOST_STALL_S = 0.1


class HostStalls:
    """The stalls of this host during one attempt.

    Attributes:
        total_s: Sum of the stalls, in seconds.
    """

    def __init__(self) -> None:
        self.total_s = 0.0

    def record_wait(self, expires_at_s: float, now_s: float) -> None:
        """Counts a wait that ended too late as a stall.

        Args:
            expires_at_s: When the wait should have ended at the latest.
            now_s: When it ended.
        """
        late_s = now_s - expires_at_s
        if late_s > HOST_STALL_S:
            self.total_s += late_s


@dataclasses.dataclass(slots=True)
class StallDetector:
    """Tracks the time without events of one attempt.

    Attributes:
        longest_pause_s: Longest pause that the route allows between events,
            or 0 if it sets none.
        objective_s: Objective for the time to the first event.
        has_copy: Whether another target stores a copy of the run's memory.
        idle_since_s: When events last arrived or this host last stalled.
        check_at_s: When the target is checked next.
        started: Whether an event has arrived.
        events: Number of events that arrived.
        previous_count: Events that the target reported in the previous check
            of this stall, or None.
        was_missing: Whether the run was missing from the report in the
            previous check of this stall.
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
        """Schedules the first check."""
        self.reset(self.idle_since_s)

    def reset(self, now_s: float) -> None:
        """Restarts the stall timer after events or a stall of this host."""
        self.idle_since_s = now_s
        wait_s = (
            CHECK_BETWEEN_EVENTS_S
            if self.started
            else CHECK_BEFORE_FIRST_EVENT_S
        )
        self.check_at_s = now_s + wait_s

    def record_events(self, count: int, now_s: float) -> None:
        """Records that events arrived."""
        self.started = True
        self.events += count
        self.previous_count = None
        self.was_missing = False
        self.reset(now_s)

    def run_is_missing(self, report: serving.TargetReport, run_id: str) -> bool:
        """Returns whether the target neither runs nor queues the request.

        Reports lag, so two consecutive ones of the same stall must agree.
        """
        missing = run_id not in report.events_by_run and report.prompts == 0
        before, self.was_missing = self.was_missing, missing
        return missing and before

    def events_were_lost(self, reported_count: int) -> bool:
        """Returns whether the target produces events that do not arrive.

        Reports lag: once an event has arrived, an increase may be due to events
        that arrived as well, so only the time before the first event counts.
        The number may include events of earlier runs, so only an increase is
        evidence.

        Args:
            reported_count: Events that the target reports for the run.
        """
        before, self.previous_count = self.previous_count, reported_count
        return (
            not self.started and before is not None and reported_count > before
        )

    def schedule_next_check(self, now_s: float) -> None:
        """Schedules the next check of a target that responds to probes."""
        wait_s = RECHECK_INTERVAL_S
        if not self.started:
            wait_s = CHECK_BEFORE_FIRST_EVENT_S
        self.check_at_s = now_s + wait_s

    def exceeds_limit(self, now_s: float) -> bool:
        """Returns whether to leave the target even if it is alive."""
        return now_s - self.idle_since_s >= self._limit_s()

    def _limit_s(self) -> float:
        if not self.started:
            return self.objective_s * FIRST_EVENT_LIMIT_FRACTION
        pause_s = self.longest_pause_s or DEFAULT_PAUSE_S
        if self.has_copy:
            return pause_s * PAUSE_LIMIT_FACTOR_WITH_COPY
        return pause_s * PAUSE_LIMIT_FACTOR_WITHOUT_COPY
