"""Attribution of target crashes to the requests that caused them."""

from collections.abc import Iterable
import dataclasses

from rattanpulley_core._internal.suspects import reports

# Losses of this many targets in one failure domain within the window have a
# common cause, such as the loss of a rack.
COMMON_CAUSE_TARGETS = 3
COMMON_CAUSE_WINDOW_S = 1.0
# A loss at the end of the window is detected after one more probe, and most
# requests that did not cause the crash are cleared by then.
REPORT_DELAY_S = COMMON_CAUSE_WINDOW_S + 1.0


@dataclasses.dataclass(slots=True)
class UnconfirmedCrash:
    """Resets of accepted attempts on a target whose probe is pending.

    Attributes:
        target: Name of the target.
        failure_domain: Failure domain of the target.
        boot_id: Boot id of the target's process.
        opened_at_s: Monotonic time of the first reset.
        has_token_by_fingerprint: Whether every attempt of the request had
            produced a token on the target.
        run_by_fingerprint: Time and progress of each request on the target.
    """

    target: str
    failure_domain: str
    boot_id: str
    opened_at_s: float
    has_token_by_fingerprint: dict[str, bool] = dataclasses.field(
        default_factory=dict
    )
    run_by_fingerprint: dict[str, reports.CrashedRun] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, slots=True)
class ConfirmedReport:
    """A confirmed report to be sent to peers.

    Attributes:
        fingerprint: Content fingerprint of the request.
        target: Name of the target that crashed.
        boot_id: Boot id of the process that crashed.
        run: Run of the request on the target.
    """

    fingerprint: str
    target: str
    boot_id: str
    run: reports.CrashedRun


@dataclasses.dataclass(slots=True)
class _PendingDecision:
    """Provisional reports of one crash, until a time of decision."""

    case: UnconfirmedCrash
    fingerprints: tuple[str, ...]
    decide_at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Loss:
    """Loss of a target at a monotonic time."""

    target: str
    failure_domain: str
    at_s: float


class CrashAttributor:
    """Derives crash reports from resets and probe results."""

    def __init__(self, suspect_table: reports.SuspectTable) -> None:
        self._suspects = suspect_table
        self._cases_by_target: dict[str, UnconfirmedCrash] = {}
        self._pending: list[_PendingDecision] = []
        self._losses: list[_Loss] = []

    def record_reset(
        self,
        target: str,
        failure_domain: str,
        boot_id: str,
        fingerprint: str,
        has_token: bool,
        started_s: float,
        tokens: int,
        now_s: float,
    ) -> None:
        """Records that an attempt was reset after its request was sent."""
        case = self._cases_by_target.get(target)
        if case is None:
            case = UnconfirmedCrash(target, failure_domain, boot_id, now_s)
            self._cases_by_target[target] = case
        had_token = case.has_token_by_fingerprint.get(fingerprint, True)
        case.has_token_by_fingerprint[fingerprint] = had_token and has_token
        earlier = case.run_by_fingerprint.get(fingerprint)
        if earlier is not None:
            started_s = max(started_s, earlier.started_s)
            tokens = max(tokens, earlier.tokens)
        case.run_by_fingerprint[fingerprint] = reports.CrashedRun(
            started_s, case.opened_at_s, tokens
        )

    def has_unconfirmed_crash(self, target: str) -> bool:
        """Returns whether resets of the target await the result of a probe."""
        return target in self._cases_by_target

    def unconfirmed_boot_id(self, target: str) -> str:
        """Returns the boot id of the reset process, or an empty string."""
        case = self._cases_by_target.get(target)
        return case.boot_id if case is not None else ""

    def discard(self, target: str) -> None:
        """Discards the resets of a target that did not crash."""
        self._cases_by_target.pop(target, None)

    def record_loss(
        self, target: str, failure_domain: str, now_s: float
    ) -> None:
        """Records that a target stopped responding."""
        case = self._cases_by_target.get(target)
        at_s = case.opened_at_s if case is not None else now_s
        self._losses.append(_Loss(target, failure_domain, at_s))

    def confirm_crash(self, target: str, now_s: float) -> bool:
        """Attributes a confirmed crash to the requests that it reset.

        Returns:
            Whether resets of the target were awaiting confirmation.
        """
        case = self._cases_by_target.pop(target, None)
        if case is None:
            return False
        causes = self._responsible_requests(case, now_s)
        for fingerprint in causes:
            self._suspects.report(
                fingerprint,
                target,
                case.boot_id,
                now_s,
                provisional=True,
                run=case.run_by_fingerprint[fingerprint],
            )
        decide_at_s = case.opened_at_s + REPORT_DELAY_S
        self._pending.append(
            _PendingDecision(case, causes, max(decide_at_s, now_s))
        )
        return True

    def must_wait(self, fingerprint: str, now_s: float) -> bool:
        """Returns whether a second crash of the request awaits attribution.

        Another attempt before that could crash a third target.
        """
        open_runs = [
            case.run_by_fingerprint[fingerprint]
            for case in self._cases_by_target.values()
            if fingerprint in case.run_by_fingerprint
        ]
        crashes = self._suspects.crash_count(fingerprint, now_s, open_runs)
        return crashes >= reports.REFUSAL_CRASH_COUNT

    def is_suspect(self, fingerprint: str, now_s: float) -> bool:
        """Returns whether the request has a report or an unconfirmed crash.

        A reset request is placed again before the probe confirms the crash.
        """
        if self._open_cases(fingerprint):
            return True
        return self._suspects.is_suspect(fingerprint, now_s)

    def resolve_due(self, now_s: float) -> list[ConfirmedReport]:
        """Confirms or withdraws the provisional reports that are due."""
        confirmed: list[ConfirmedReport] = []
        remaining: list[_PendingDecision] = []
        for pending in self._pending:
            if pending.decide_at_s > now_s:
                remaining.append(pending)
            else:
                confirmed.extend(self._resolve(pending, now_s))
        self._pending = remaining
        keep_after_s = now_s - 2 * REPORT_DELAY_S
        self._losses = [
            loss for loss in self._losses if loss.at_s > keep_after_s
        ]
        return confirmed

    def _open_cases(self, fingerprint: str) -> int:
        return sum(
            fingerprint in case.has_token_by_fingerprint
            for case in self._cases_by_target.values()
        )

    def _resolve(
        self, pending: _PendingDecision, now_s: float
    ) -> Iterable[ConfirmedReport]:
        case = pending.case
        common_cause = self._has_common_cause(case)
        for fingerprint in pending.fingerprints:
            if common_cause:
                self._suspects.withdraw(fingerprint, case.target, case.boot_id)
                continue
            self._suspects.confirm(
                fingerprint, case.target, case.boot_id, now_s
            )
            if self._suspects.is_cleared(
                fingerprint, case.target, case.boot_id
            ):
                continue
            yield ConfirmedReport(
                fingerprint,
                case.target,
                case.boot_id,
                case.run_by_fingerprint[fingerprint],
            )

    def _responsible_requests(
        self, case: UnconfirmedCrash, now_s: float
    ) -> tuple[str, ...]:
        """Returns the fingerprints of the requests to report for the crash."""
        running = case.has_token_by_fingerprint
        suspects = [
            fingerprint
            for fingerprint in running
            if self._suspects.is_suspect(fingerprint, now_s)
        ]
        if not suspects:
            return tuple(running)
        if len(suspects) == 1:
            return tuple(suspects)
        return tuple(
            fingerprint for fingerprint in suspects if not running[fingerprint]
        )

    def _has_common_cause(self, case: UnconfirmedCrash) -> bool:
        """Returns whether enough targets were lost within one window."""
        times_s = [
            loss.at_s
            for loss in self._losses
            if loss.failure_domain == case.failure_domain
        ]
        return any(
            self._count_lost(case, start_s) >= COMMON_CAUSE_TARGETS
            for start_s in times_s
            if start_s <= case.opened_at_s <= start_s + COMMON_CAUSE_WINDOW_S
        )

    def _count_lost(self, case: UnconfirmedCrash, start_s: float) -> int:
        end_s = start_s + COMMON_CAUSE_WINDOW_S
        return len(
            {
                loss.target
                for loss in self._losses
                if loss.failure_domain == case.failure_domain
                and start_s <= loss.at_s <= end_s
            }
        )
