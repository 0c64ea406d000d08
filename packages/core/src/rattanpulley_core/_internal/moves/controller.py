"""State of one version move in one daemon, and its share of new requests."""

from collections.abc import Mapping
import dataclasses

from rattanpulley_core._internal.moves import evidence
from rattanpulley_core._internal.moves import messages
from rattanpulley_core._internal.moves import move_status
from rattanpulley_core._internal.moves import pacing
from rattanpulley_core._internal.moves import suspicion
from rattanpulley_core._internal.moves import verdicts
from rattanpulley_core._internal.tables import rows

# Observed requests of the new version after which the share may double once.
REQUESTS_PER_DOUBLING = 50
# Value of `Verdict.daemon` when an operator takes a move back in the pool row.
OPERATOR = "operator"
# Without traffic the share reaches 1 before any request is compared. After
# `_UNCOMPARED_ERRORS` errors of the new version at that share, requests go to
# both versions until `_COMPARED_REQUESTS` of the new version are compared.
_UNCOMPARED_ERRORS = 2
_COMPARED_REQUESTS = 10
# Expected requests after which a new version without any ended request puts the
# move at risk.
_EXPECTED_BEFORE_RISK = 20.0

_State = move_status.MoveState


@dataclasses.dataclass(frozen=True, slots=True)
class MoveParameters:
    """Inputs of a `MoveController`.

    Attributes:
        daemon: Name of this daemon.
        pool: Row of the pool; its `move` is not None.
        move: Move of the row.
        route_count: Number of routes that use the pool.
        daemon_count: Number of daemons.
        drain_s: Maximum duration of a request of the pool, in seconds.
    """

    daemon: str
    pool: rows.Pool
    move: rows.Move
    route_count: int
    daemon_count: int
    drain_s: float


class MoveController:
    """Computes the share of one move from its plan, evidence and verdicts."""

    def __init__(
        self, parameters: MoveParameters, verdict_set: verdicts.VerdictSet
    ) -> None:
        self.parameters = parameters
        self._share = 0.0
        self.evidence = evidence.MoveEvidence(
            parameters.pool,
            parameters.move,
            parameters.route_count,
            parameters.daemon_count,
        )
        self._verdicts = verdict_set
        self._suspicion = suspicion.Suspicion()
        self._last_now_s: float | None = None
        self._wall_s = 0.0
        self._allowed_share = pacing.INITIAL_SHARE
        self._counted_requests = 0
        self._reports_by_daemon: dict[str, messages.DaemonReport] = {}

    @property
    def share(self) -> float:
        """Share of new requests for the new version; 0 after a verdict."""
        return 0.0 if self.verdict is not None else self._share

    @property
    def move(self) -> rows.Move:
        """Active row of the move."""
        return self.parameters.move

    @property
    def retry_version(self) -> str | None:
        """Old version while the new one is unproven, else None.

        The new version is unproven until the deadline, and after it until one
        of its requests has succeeded. A verdict ends this in any case.
        """
        if self.verdict is not None:
            return None
        is_due = self._wall_s >= self.move.finish_by_s
        if is_due and self.evidence.new_version_succeeded:
            return None
        return self.move.from_version

    @property
    def window(self) -> pacing.Window:
        """Time window in which the share grows."""
        return pacing.Window.of(
            self.move.start_at_s, self.move.finish_by_s, self.parameters.drain_s
        )

    @property
    def verdict(self) -> messages.Verdict | None:
        """The verdict on this move, or None."""
        return self._verdicts.find(
            self.parameters.pool.name, self.move.to_version, self.move.move_id
        )

    def update_plan(self, parameters: MoveParameters) -> None:
        """Applies a changed row of the same move and keeps the evidence."""
        self.parameters = parameters
        self.evidence.update_plan(
            parameters.pool,
            parameters.move,
            parameters.route_count,
            parameters.daemon_count,
        )

    def record_report(self, report: messages.DaemonReport) -> None:
        """Stores a daemon's report and replaces its previous one."""
        self._reports_by_daemon[report.daemon] = report

    def tick(self, now_s: float, wall_s: float) -> messages.Verdict | None:
        """Applies the evidence and computes the share.

        Args:
            now_s: Monotonic seconds.
            wall_s: Unix seconds.

        Returns:
            A verdict reached in this step, or None.
        """
        self._wall_s = wall_s
        elapsed_s = 0.0
        if self._last_now_s is not None:
            elapsed_s = now_s - self._last_now_s
        is_first = self._last_now_s is None
        self._last_now_s = now_s
        self.evidence.apply_pending(self.window.progress(wall_s))
        found = self._find_verdict(wall_s)
        if found is not None:
            self._verdicts.add(found)
        if is_first:
            self._share = self._initial_share(wall_s)
        elif not self.move.paused:
            self._share = self._next_share(elapsed_s, wall_s)
        return found

    def status(
        self, daemons: frozenset[str], old_running: int
    ) -> move_status.MoveStatus:
        """Returns the status for operators.

        Args:
            daemons: Names of all daemons, including unresponsive ones.
            old_running: Requests of this daemon in flight on the old version.
        """
        waiting = self._daemons_waited_for(daemons, old_running)
        state, reason = self._state(waiting)
        return move_status.MoveStatus(
            pool=self.parameters.pool.name,
            move_id=self.move.move_id,
            from_version=self.move.from_version,
            to_version=self.move.to_version,
            state=state,
            share=self.share,
            finish_by_s=self.move.finish_by_s,
            reason=reason,
            waiting_for=waiting,
        )

    def report(self, old_running: int) -> messages.DaemonReport:
        """Returns the report of this daemon for its peers."""
        return messages.DaemonReport(
            self.parameters.daemon,
            self.parameters.pool.name,
            self.move.move_id,
            self.share,
            old_running,
        )

    def _find_verdict(self, wall_s: float) -> messages.Verdict | None:
        if self.verdict is not None:
            return None
        finding = self.evidence.strongest_finding()
        if self.move.taken_back:
            return self._new_verdict(OPERATOR, wall_s, "taken back by operator")
        if finding is not None and finding.is_conclusive:
            return self._new_verdict(
                self.parameters.daemon, wall_s, finding.describe()
            )
        return None

    def _new_verdict(
        self, source: str, wall_s: float, text: str
    ) -> messages.Verdict:
        return messages.Verdict(
            self.parameters.pool.name,
            self.move.to_version,
            self.move.move_id,
            source,
            wall_s,
            text,
        )

    def _initial_share(self, wall_s: float) -> float:
        """Returns the share of a daemon at its first tick."""
        at_s = wall_s
        if self.move.paused and self.move.paused_at_s is not None:
            at_s = min(wall_s, self.move.paused_at_s)
        if at_s < self.move.start_at_s:
            return 0.0
        return pacing.minimum_share(self.window.progress(at_s))

    def _next_share(self, elapsed_s: float, wall_s: float) -> float:
        if wall_s < self.move.start_at_s:
            return 0.0
        window = self.window
        progress = window.progress(wall_s)
        span_s = window.full_s - window.start_s
        self._suspicion.update(
            self.evidence.strongest_finding(), wall_s, span_s
        )
        if self._suspicion.is_active or self._needs_comparison():
            return min(self.share, suspicion.MAX_SUSPICION_SHARE)
        self._update_growth_limit()
        with_evidence = min(pacing.planned_share(progress), self._allowed_share)
        target = max(with_evidence, pacing.minimum_share(progress), self.share)
        remaining_s = window.full_s - wall_s
        return pacing.grow_share(self.share, target, elapsed_s, remaining_s)

    def _needs_comparison(self) -> bool:
        return (
            self.retry_version is not None
            and self.evidence.uncompared_errors >= _UNCOMPARED_ERRORS
            and self.evidence.new_requests < _COMPARED_REQUESTS
        )

    def _update_growth_limit(self) -> None:
        """Doubles the share limit after enough new observed requests."""
        since = self.evidence.new_requests - self._counted_requests
        if since >= REQUESTS_PER_DOUBLING:
            self._counted_requests = self.evidence.new_requests
            self._allowed_share = min(
                1.0, 2.0 * max(self._allowed_share, self.share)
            )

    def _daemons_waited_for(
        self, daemons: frozenset[str], old_running: int
    ) -> tuple[str, ...]:
        reports: Mapping[str, messages.DaemonReport] = {
            **self._reports_by_daemon,
            self.parameters.daemon: self.report(old_running),
        }
        return tuple(
            sorted(
                name
                for name in daemons | {self.parameters.daemon}
                if name not in reports
                or reports[name].share < 1.0
                or reports[name].old_running > 0
            )
        )

    def _state(
        self, waiting: tuple[str, ...]
    ) -> tuple[move_status.MoveState, str]:
        """Returns the state and its reason."""
        verdict = self.verdict
        if verdict is not None:
            return _State.TAKEN_BACK, f"{verdict.daemon}: {verdict.evidence}"
        if not waiting:
            return _State.DONE, "the old version is empty on every daemon"
        if self._wall_s < self.move.start_at_s:
            return _State.PLANNED, "the move has not started"
        risk = self._risk_reason(waiting)
        if risk:
            return _State.AT_RISK, risk
        return _State.MOVING, "paused" if self.move.paused else "on plan"

    def _risk_reason(self, waiting: tuple[str, ...]) -> str:
        """Returns why the deadline may be missed, or an empty string."""
        window = self.window
        if self._wall_s >= self.move.finish_by_s:
            return f"the date has passed; waiting for {', '.join(waiting)}"
        if self._suspicion.is_active:
            return f"suspicion: {self._suspicion.text}"
        progress = window.progress(self._wall_s)
        soon = min(1.0, progress + pacing.RISK_LOOKAHEAD_FRACTION)
        if self.move.paused and self.share < pacing.minimum_share(soon):
            return "paused, and behind the latest plan that meets the date"
        if self.share < 0.5 * pacing.minimum_share(progress):
            return "the share is behind the latest plan that meets the date"
        no_answers = self.evidence.new_requests == 0
        if no_answers and self.evidence.expected_requests > (
            _EXPECTED_BEFORE_RISK
        ):
            return "no request has ended on the new version"
        return ""
