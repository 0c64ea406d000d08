"""Load and health of the targets, as known to one host."""

import dataclasses
import math

from rattanpulley_core._internal.serving import reported_load

# Time after which the score of a failure has halved.
FAULT_HALF_LIFE_S = 1.5
# A report stays useful for about the duration of a short request.
REPORT_AGE_LIMIT_S = 0.5


@dataclasses.dataclass(slots=True)
class TargetLoad:
    """Load and health of one target, as known to this host.

    Attributes:
        in_flight: Attempts of this host that are running.
        prefills: Attempts of this host whose prompt is in prefill.
        copies: Runs of this host that keep a copy of their memory there.
        reported_running: Running requests in the target's last report.
        reported_at_s: Time of the last report.
        slowness: Estimate from the reports that contain the slowness.
        sent_at_s: When the plain attempts of this host that are running were
            sent.
        fault_score: Number of recent failures, with exponential decay.
        fault_at_s: Time when `fault_score` was last changed.
        blocked_until_s: Time until which the target gets no new work after it
            was unreachable.
    """

    in_flight: int = 0
    prefills: int = 0
    copies: int = 0
    reported_running: int = 0
    reported_at_s: float = float("-inf")
    slowness: reported_load.Slowness = reported_load.UNKNOWN_SLOWNESS
    sent_at_s: list[float] = dataclasses.field(default_factory=list)
    fault_score: float = 0.0
    fault_at_s: float = 0.0
    blocked_until_s: float = float("-inf")

    def begin_attempt(self, now_s: float) -> None:
        """Counts a plain attempt of this host that is sent now."""
        self.in_flight += 1
        self.sent_at_s.append(now_s)

    def end_attempt(self, sent_at_s: float) -> None:
        """Stops counting a plain attempt that was sent at some time."""
        self.in_flight -= 1
        self.sent_at_s.remove(sent_at_s)

    def sent_since_report(self) -> int:
        """Returns the running plain attempts that no report can contain."""
        return sum(at_s >= self.reported_at_s for at_s in self.sent_at_s)


class LoadTable:
    """Load and health of each target, by target id."""

    def __init__(self) -> None:
        self._loads_by_id: dict[str, TargetLoad] = {}

    def load_of(self, target_id: str) -> TargetLoad:
        """Returns the load of a target; creates it if it is missing."""
        return self._loads_by_id.setdefault(target_id, TargetLoad())

    def forget(self, target_id: str) -> None:
        """Removes the load of a target that no longer exists."""
        self._loads_by_id.pop(target_id, None)

    def record_report(
        self,
        target_id: str,
        running: int,
        now_s: float,
        slowness: float | None = None,
    ) -> None:
        """Records the load that a target reports.

        Args:
            target_id: Id of the target.
            running: Requests that it runs or that wait there.
            now_s: Current time.
            slowness: How long work takes there, relative to normal; None if
                the report does not contain it.
        """
        load = self.load_of(target_id)
        load.reported_running = running
        load.reported_at_s = now_s
        if slowness is not None:
            load.slowness = load.slowness.updated(slowness, now_s)

    def known_slowness(self, target_id: str, now_s: float) -> float | None:
        """Returns the expected slowness of a target, or None if unknown."""
        load = self._loads_by_id.get(target_id)
        if load is None or not load.slowness.is_known(now_s):
            return None
        return load.slowness.estimate(now_s)

    def record_fault(
        self, target_id: str, now_s: float, blocked_s: float = 0.0
    ) -> None:
        """Records a failure.

        Args:
            target_id: Id of the target.
            now_s: Current time.
            blocked_s: Seconds for which the target gets no new work.
        """
        load = self.load_of(target_id)
        load.fault_score = self.faults(target_id, now_s) + 1.0
        load.fault_at_s = now_s
        self.block(target_id, now_s, blocked_s)

    def block(self, target_id: str, now_s: float, for_s: float) -> None:
        """Gives a target no new work for some seconds."""
        load = self.load_of(target_id)
        load.blocked_until_s = max(load.blocked_until_s, now_s + for_s)

    def record_success(self, target_id: str, now_s: float) -> None:
        """Records a valid response, which halves the failure score."""
        load = self.load_of(target_id)
        load.fault_score = self.faults(target_id, now_s) / 2.0
        load.fault_at_s = now_s
        load.blocked_until_s = float("-inf")

    def faults(self, target_id: str, now_s: float) -> float:
        """Returns the failure score after its decay until now."""
        load = self.load_of(target_id)
        age_s = max(0.0, now_s - load.fault_at_s)
        halvings = age_s / FAULT_HALF_LIFE_S
        return load.fault_score * math.pow(0.5, halvings)
