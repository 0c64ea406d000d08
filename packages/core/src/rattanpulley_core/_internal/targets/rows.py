"""Rows of the target table."""

import dataclasses
import enum
import math

from rattanpulley_core._internal.tables import rows as table_rows
from rattanpulley_core._internal.targets import loads

# Weight of a new sample in the smoothed time to first token.
FIRST_TOKEN_WEIGHT = 0.125
# A healthy target whose streams pause, such as for a batch of prefills, would
# be probed at each pause. Each false alarm raises its stall thresholds by a
# margin, which halves every minute, so that stalls of a target that no longer
# pauses are detected early again.
STALL_MARGIN_STEP = 1.5
MAX_STALL_MARGIN = 2.5
STALL_MARGIN_HALF_LIFE_S = 60.0


class TargetState(enum.Enum):
    """Whether a target may receive new work."""

    LIVE = "live"
    LEAVING = "leaving"
    LOST = "lost"


@dataclasses.dataclass(slots=True)
class Target:
    """State of one target in this daemon.

    Attributes:
        name: Unique name.
        url: Base URL.
        failure_domain: Failure domain of its host.
        kind: Engine or service.
        pool: Name of its pool.
        version: Version that it runs.
        state: Whether it may receive new work.
        in_pool: Whether the pools table contains it. A removed target finishes
            its work and receives no new work.
        boot_id: Last known boot id of the target; empty when unknown.
        in_flight: Attempts of this daemon on the target.
        awaiting_first_token: Attempts in flight without a token.
        resumes_awaiting_first_token: Resumes in flight without a token.
        suspects_in_flight: Attempts of requests suspected of crashing targets.
        first_token_s: Smoothed time to first token; 0 without a sample.
        consecutive_failures: Failed attempts since the last token.
        awaiting_probe: Whether a probe after a failed connection is pending.
        leaving_since_s: Monotonic time since which it is leaving, or None.
        leaving_by_list: Whether the host list marks it as leaving.
        leaving_by_health: Whether its health response marks it as leaving.
        load: Reported load, concurrency limit and slow start.
        false_alarm_margin: Factor of the stall thresholds at the last false
            alarm.
        false_alarm_at_s: Monotonic time of the last false alarm.
    """

    name: str
    url: str
    failure_domain: str
    kind: table_rows.TargetKind
    pool: str
    version: str
    state: TargetState = TargetState.LIVE
    in_pool: bool = True
    boot_id: str = ""
    in_flight: int = 0
    awaiting_first_token: int = 0
    resumes_awaiting_first_token: int = 0
    suspects_in_flight: int = 0
    first_token_s: float = 0.0
    consecutive_failures: int = 0
    awaiting_probe: bool = False
    leaving_since_s: float | None = None
    leaving_by_list: bool = False
    leaving_by_health: bool = False
    load: loads.TargetLoad = dataclasses.field(default_factory=loads.TargetLoad)
    false_alarm_margin: float = 1.0
    false_alarm_at_s: float = 0.0

    def stall_margin(self, now_s: float) -> float:
        """Returns the factor of the stall thresholds of its streams."""
        if self.false_alarm_margin <= 1.0:
            return 1.0
        halvings = (now_s - self.false_alarm_at_s) / STALL_MARGIN_HALF_LIFE_S
        return max(1.0, self.false_alarm_margin * math.pow(0.5, halvings))

    def record_false_alarm(self, now_s: float) -> None:
        """Records that a probe of a stalled stream found the target healthy."""
        raised = self.stall_margin(now_s) * STALL_MARGIN_STEP
        self.false_alarm_margin = min(MAX_STALL_MARGIN, raised)
        self.false_alarm_at_s = now_s

    def record_first_token(self, elapsed_s: float) -> None:
        """Adds a sample of the time to first token, in seconds."""
        self.load.record_first_token(
            elapsed_s, self.first_token_s, self.in_flight
        )
        if self.first_token_s == 0.0:
            self.first_token_s = elapsed_s
            return
        self.first_token_s += FIRST_TOKEN_WEIGHT * (
            elapsed_s - self.first_token_s
        )

    def update_leaving(self, now_s: float) -> None:
        """Updates state and leaving time from host list and health."""
        if not (self.leaving_by_list or self.leaving_by_health):
            self.leaving_since_s = None
            if self.state is TargetState.LEAVING:
                self.state = TargetState.LIVE
            return
        if self.leaving_since_s is None:
            self.leaving_since_s = now_s
        if self.state is TargetState.LIVE:
            self.state = TargetState.LEAVING

    def mark_lost(self) -> None:
        """Records that a probe found the target dead or unreachable."""
        self.state = TargetState.LOST
        self.awaiting_probe = False

    def mark_alive(self, now_s: float) -> None:
        """Records that a probe succeeded."""
        self.awaiting_probe = False
        if self.state is TargetState.LOST:
            self.state = TargetState.LIVE
            self.load.live_since_s = now_s
        self.update_leaving(now_s)
