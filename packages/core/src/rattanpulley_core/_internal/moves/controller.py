"""One move in one daemon: the share of new requests and its state."""

from collections.abc import Mapping
import dataclasses
import enum
from typing import Any

from rattanpulley_core._internal.moves import evidence
from rattanpulley_core._internal.moves import messages
from rattanpulley_core._internal.moves import pacing
from rattanpulley_core._internal.moves import suspicion
from rattanpulley_core._internal.moves import verdicts
from rattanpulley_core._internal.tables import rows

# Requests of the new version that allow the share to double once.
REQUESTS_PER_DOUBLING = 50
# An operator's decision in the pool row is recorded as a verdict of this name.
OPERATOR = "operator"
# Without traffic the share reaches all requests before any is compared. After
# this many errors then, requests go to both versions until as many of the new
# version as follow were compared.
_UNCOMPARED_ERRORS = 2
_COMPARED_REQUESTS = 10
# Requests after which a version that never answers is noticed.
_EXPECTED_BEFORE_RISK = 20.0


class MoveState(enum.Enum):
    """State of a move as one daemon sees it."""

    PLANNED = "planned"
    MOVING = "moving"
    AT_RISK = "at_risk"
    DONE = "done"
    TAKEN_BACK = "taken_back"


@dataclasses.dataclass(frozen=True, slots=True)
class MoveStatus:
    """What operators are shown about a move.

    Attributes:
        pool: Name of the pool.
        move_id: Id of the move.
        from_version: Version to empty.
        to_version: Version that takes over.
        state: State of the move.
        share: Share of new requests that this daemon gives to the new version.
        finish_by_s: Date in Unix seconds.
        reason: Why the move is in this state.
        waiting_for: Daemons that have not reported that the old version is
            empty; a silent daemon is among them.
    """

    pool: str
    move_id: str
    from_version: str
    to_version: str
    state: MoveState
    share: float
    finish_by_s: float
    reason: str
    waiting_for: tuple[str, ...] = ()

    def to_json(self) -> dict[str, Any]:
        """Returns the JSON form for `GET /status`."""
        fields = {
            field.name: getattr(self, field.name)
            for field in dataclasses.fields(self)
        }
        fields["state"] = self.state.value
        fields["waiting_for"] = list(self.waiting_for)
        return fields


@dataclasses.dataclass(frozen=True, slots=True)
class MoveSetup:
    """What a controller is made of.

    Attributes:
        daemon: Name of this daemon.
        pool: The pool row; it has a move.
        move: The move of the row.
        route_count: Number of routes that use the pool.
        daemon_count: Number of daemons.
        drain_s: Longest time of a request of the pool.
    """

    daemon: str
    pool: rows.Pool
    move: rows.Move
    route_count: int
    daemon_count: int
    drain_s: float


class MoveController:
    """Computes the share of one move from plan, time, evidence and verdicts."""

    def __init__(
        self, setup: MoveSetup, verdict_set: verdicts.VerdictSet
    ) -> None:
        self.setup = setup
        self._share = 0.0
        self.evidence = evidence.MoveEvidence(
            setup.pool, setup.move, setup.route_count, setup.daemon_count
        )
        self._verdicts = verdict_set
        self._suspicion = suspicion.Suspicion()
        self._last_now_s: float | None = None
        self._wall_s = 0.0
        self._allowed = pacing.INITIAL_SHARE
        self._counted_requests = 0
        self._reports_by_daemon: dict[str, messages.DaemonReport] = {}

    @property
    def share(self) -> float:
        """Share of new requests for the new version; 0 after a verdict."""
        return 0.0 if self.verdict is not None else self._share

    @property
    def move(self) -> rows.Move:
        """The plan in force."""
        return self.setup.move

    @property
    def retry_version(self) -> str | None:
        """The old version while the move has neither date nor verdict."""
        if self.verdict is not None or self._wall_s >= self.move.finish_by_s:
            return None
        return self.move.from_version

    @property
    def window(self) -> pacing.Window:
        """Time in which the share grows."""
        return pacing.Window.of(
            self.move.start_at_s, self.move.finish_by_s, self.setup.drain_s
        )

    @property
    def verdict(self) -> messages.Verdict | None:
        """The verdict on this move, or None."""
        return self._verdicts.find(
            self.setup.pool.name, self.move.to_version, self.move.move_id
        )

    def replan(self, setup: MoveSetup) -> None:
        """Takes a changed row of the same move id; the evidence is kept."""
        self.setup = setup
        self.evidence.replan(
            setup.pool, setup.move, setup.route_count, setup.daemon_count
        )

    def learn_report(self, report: messages.DaemonReport) -> None:
        """Takes a daemon's report; the newest one of each daemon counts."""
        self._reports_by_daemon[report.daemon] = report

    def tick(self, now_s: float, wall_s: float) -> messages.Verdict | None:
        """Applies the evidence and computes the share.

        Args:
            now_s: Monotonic seconds.
            wall_s: Unix seconds.

        Returns:
            A verdict that was found in this step, or None.
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
            self._share = self._first_share(wall_s)
        elif not self.move.paused:
            self._share = self._next_share(elapsed_s, wall_s)
        return found

    def status(self, daemons: frozenset[str], old_running: int) -> MoveStatus:
        """Returns the state for operators.

        Args:
            daemons: Names of all daemons, silent ones included.
            old_running: Requests that this daemon runs on the old version.
        """
        waiting = self._waiting_for(daemons, old_running)
        state, reason = self._state(waiting)
        return MoveStatus(
            pool=self.setup.pool.name,
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
        """Returns this daemon's report for its peers."""
        return messages.DaemonReport(
            self.setup.daemon,
            self.setup.pool.name,
            self.move.move_id,
            self.share,
            old_running,
        )

    def _find_verdict(self, wall_s: float) -> messages.Verdict | None:
        if self.verdict is not None:
            return None
        finding = self.evidence.strongest()
        if self.move.taken_back:
            return self._new_verdict(OPERATOR, wall_s, "taken back by operator")
        if finding is not None and finding.is_condemning:
            return self._new_verdict(
                self.setup.daemon, wall_s, finding.describe()
            )
        return None

    def _new_verdict(
        self, source: str, wall_s: float, text: str
    ) -> messages.Verdict:
        return messages.Verdict(
            self.setup.pool.name,
            self.move.to_version,
            self.move.move_id,
            source,
            wall_s,
            text,
        )

    def _first_share(self, wall_s: float) -> float:
        """Returns the share of a daemon that has just started."""
        at_s = wall_s
        if self.move.paused and self.move.paused_at_s is not None:
            at_s = min(wall_s, self.move.paused_at_s)
        if at_s < self.move.start_at_s:
            return 0.0
        return pacing.latest_share(self.window.progress(at_s))

    def _next_share(self, elapsed_s: float, wall_s: float) -> float:
        if wall_s < self.move.start_at_s:
            return 0.0
        window = self.window
        progress = window.progress(wall_s)
        span_s = window.full_s - window.start_s
        self._suspicion.update(self.evidence.strongest(), wall_s, span_s)
        if self._suspicion.is_active or self._needs_comparison():
            return min(self.share, suspicion.MAX_SUSPICION_SHARE)
        self._allow_growth()
        with_evidence = min(pacing.planned_share(progress), self._allowed)
        target = max(with_evidence, pacing.latest_share(progress), self.share)
        remaining_s = window.full_s - wall_s
        return pacing.grow(self.share, target, elapsed_s, remaining_s)

    def _needs_comparison(self) -> bool:
        return (
            self.retry_version is not None
            and self.evidence.uncompared_errors >= _UNCOMPARED_ERRORS
            and self.evidence.new_requests < _COMPARED_REQUESTS
        )

    def _allow_growth(self) -> None:
        """Doubles the share that the evidence allows, if there is enough."""
        since = self.evidence.new_requests - self._counted_requests
        if since >= REQUESTS_PER_DOUBLING:
            self._counted_requests = self.evidence.new_requests
            self._allowed = min(1.0, 2.0 * max(self._allowed, self.share))

    def _waiting_for(
        self, daemons: frozenset[str], old_running: int
    ) -> tuple[str, ...]:
        reports: Mapping[str, messages.DaemonReport] = {
            **self._reports_by_daemon,
            self.setup.daemon: self.report(old_running),
        }
        return tuple(
            sorted(
                name
                for name in daemons | {self.setup.daemon}
                if name not in reports
                or reports[name].share < 1.0
                or reports[name].old_running > 0
            )
        )

    def _state(self, waiting: tuple[str, ...]) -> tuple[MoveState, str]:
        verdict = self.verdict
        if verdict is not None:
            return MoveState.TAKEN_BACK, f"{verdict.daemon}: {verdict.evidence}"
        if not waiting:
            return MoveState.DONE, "the old version is empty on every daemon"
        if self._wall_s < self.move.start_at_s:
            return MoveState.PLANNED, "the move has not started"
        risk = self._risk(waiting)
        if risk:
            return MoveState.AT_RISK, risk
        return MoveState.MOVING, "paused" if self.move.paused else "on plan"

    def _risk(self, waiting: tuple[str, ...]) -> str:
        """Returns why the date may be missed; empty if it is not at risk."""
        window = self.window
        if self._wall_s >= self.move.finish_by_s:
            return f"the date has passed; waiting for {', '.join(waiting)}"
        if self._suspicion.is_active:
            return f"suspicion: {self._suspicion.text}"
        progress = window.progress(self._wall_s)
        soon = min(1.0, progress + pacing.RISK_PART)
        if self.move.paused and self.share < pacing.latest_share(soon):
            return "paused, and behind the latest plan that meets the date"
        if self.share < 0.5 * pacing.latest_share(progress):
            return "the share is behind the latest plan that meets the date"
        no_answers = self.evidence.new_requests == 0
        if no_answers and self.evidence.expected_requests > (
            _EXPECTED_BEFORE_RISK
        ):
            return "no request has ended on the new version"
        return ""
