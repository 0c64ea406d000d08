"""Tracks the attempts of one request and decides on retries."""

import random

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import attempt_progress
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import context as context_lib
from rattanpulleyd._internal.relay import left_targets
from rattanpulleyd._internal.relay import request_crashes
from rattanpulleyd._internal.relay import responses
from rattanpulleyd._internal.relay import retry_reservation
from rattanpulleyd._internal.relay import target_connection
from rattanpulleyd._internal.relay import target_health

# Clients return within this part of the time that all targets have asked for,
# after its end.
RETURN_SPREAD = 0.25
# The first refusal may be that of one full target.
REFUSALS_BEFORE_PAUSE = 2
# An answer that waits for retry budget asks for it at this interval.
RETRY_BUDGET_POLL_S = 0.05
# A retry that is sent later than this before the end of the time is wasted.
MIN_ATTEMPT_S = 0.1
# The host closes the connection; the target may go on for a moment.
_LEAVING_FAILURES = frozenset(
    {
        serving.FailureKind.CORRUPT,
        serving.FailureKind.QUEUED,
        serving.FailureKind.TIMED_OUT,
        serving.FailureKind.UNRESPONSIVE,
        serving.FailureKind.WITHDRAWN,
    }
)
# A target may end after these, or has ended without the host knowing when.
_WATCHED_FAILURES = _LEAVING_FAILURES | {
    serving.FailureKind.CONNECTION_LOST,
    serving.FailureKind.NOT_CONNECTED,
}


class RequestAttempts:
    """The attempts of one request to a plain or stream route.

    Attributes:
        last: Failure kind of the last attempt, or None before the first.
        failed_response: Error response of a target; it is forwarded to the
            client when no other target responds.
        answer_started: Whether the client has a part of the answer, so that
            the request keeps trying as long as its client waits.
        returns_to_tried: Whether the next attempt goes to a target that was
            tried before, since the route allows no further target.
        denial: Why the last failed attempt was not followed by another one,
            or None.
    """

    def __init__(
        self,
        context: context_lib.RelayContext,
        admission: context_lib.Admission,
        max_connect_failures: int,
    ) -> None:
        """Creates the tracker and counts the request in the retry budget.

        Args:
            context: State of the process.
            admission: The request.
            max_connect_failures: Maximum number of failed connections. They
                put no load on a target but take time.
        """
        self._context = context
        self._admission = admission
        self._max_connect_failures = max_connect_failures
        self._connect_failures = 0
        self._tracker = serving.AttemptTracker(
            admission.route.idempotent, admission.route.max_attempts
        )
        window = context.retry_budget.window_of(admission.pool)
        window.record_request(clock.now_s())
        self._reservation = retry_reservation.RetryReservation(window)
        self._prefers_canary = context.trials.admit_request(
            admission.pool, admission.route.name, clock.now_s()
        )
        self.last: serving.FailureKind | None = None
        self.failed_response: responses.Response | None = None
        self.answer_started = False
        self.returns_to_tried = False
        self._refusals_in_a_row = 0
        self.denial: serving.RetryDenial | None = None

    @property
    def tried_ids(self) -> tuple[str, ...]:
        """Ids of the targets of earlier attempts."""
        return tuple(self._tracker.tried_ids)

    @property
    def prefers_canary(self) -> bool:
        """Whether the next attempt prefers a canary target."""
        return self._prefers_canary and not self._tracker.tried_ids

    @property
    def sent(self) -> int:
        """Number of ended attempts that may have reached a target."""
        return self._tracker.sent

    @property
    def may_repeat(self) -> bool:
        """Whether the request may run more than once, also by now."""
        config = self._context.cached_config.config
        return self._admission.terms.may_repeat(config)

    @property
    def is_last(self) -> bool:
        """Whether the current attempt is the last that the route allows."""
        return self.left_after_current <= 0

    @property
    def has_no_connection(self) -> bool:
        """Whether as many connections have failed as a new request may try."""
        return self._connect_failures >= self._max_connect_failures

    @property
    def needs_pause(self) -> bool:
        """Whether a further attempt at once would probably fail as well."""
        return (
            self.has_no_connection
            or self._refusals_in_a_row >= REFUSALS_BEFORE_PAUSE
        )

    @property
    def left_after_current(self) -> int:
        """Number of attempts that remain after the current one."""
        return self._tracker.max_attempts - self._tracker.sent - 1

    def deadline_s(self) -> float:
        """Returns when the timeout of the client or of the route expires."""
        return self._admission.deadline_s(self._context)

    def record(
        self,
        entry: serving.TargetEntry,
        error: target_connection.AttemptError,
        progress: attempt_progress.AttemptProgress,
        last_event_id: int = 0,
    ) -> None:
        """Records a failed attempt.

        Args:
            entry: The target.
            error: How the attempt failed.
            progress: How far the attempt has come.
            last_event_id: Id of the last event of the stream, or 0.
        """
        is_new_fault = self._is_new_fault(entry, error.kind)
        if is_new_fault and self._is_evidence(error.kind):
            self._observe(entry, True, None)
        self.last = error.kind
        if error.kind is serving.FailureKind.REFUSED:
            self._refusals_in_a_row += 1
        else:
            self._refusals_in_a_row = 0
        self._tracker.record(entry.target_id, error.kind)
        if error.kind in serving.FAILURES_BEFORE_SENDING:
            self._connect_failures += 1
        target_health.record_failure(
            self._context,
            self._admission,
            entry,
            error,
            answered=progress.answered_at_s is not None,
            events=progress.events,
            attempts=self._tracker.sent,
            is_new_fault=is_new_fault,
        )
        if error.kind is serving.FailureKind.CONNECTION_LOST:
            request_crashes.record_crash(
                self._context, self._admission, entry, last_event_id, progress
            )
        elif error.kind in _LEAVING_FAILURES:
            request_crashes.leave_run(
                self._context, self._admission, entry, last_event_id, progress
            )
        if error.kind in _WATCHED_FAILURES:
            left_targets.watch(self._context, entry)

    def record_success(self, entry: serving.TargetEntry, took_s: float) -> None:
        """Records a successful response, or the first event of a stream.

        Args:
            entry: The target.
            took_s: Time since the request was sent to it.
        """
        self._observe(entry, False, took_s)

    def _is_new_fault(
        self, entry: serving.TargetEntry, kind: serving.FailureKind
    ) -> bool:
        """Returns whether a failure tells more than earlier ones of a target.

        All requests on a silent target see the same silence. A timeout that was
        shortened meanwhile ends requests whatever their targets do.
        """
        if kind not in serving.FAILURES_BY_SILENCE:
            return True
        if kind is serving.FailureKind.TIMED_OUT and (
            self._admission.is_cut_short(self._context.cached_config)
        ):
            return False
        return self._context.silences.is_new(entry.target_id, clock.now_s())

    def _is_evidence(self, kind: serving.FailureKind) -> bool:
        """Returns whether a failure is evidence against a version.

        A stop of this host ends requests before their time.
        """
        if clock.now_s() >= self._context.host_stop.deadline_s:
            return False
        return kind in serving.BAD_VERSION_FAILURES

    def _observe(
        self, entry: serving.TargetEntry, is_bad: bool, took_s: float | None
    ) -> None:
        """Records the outcome of a first attempt in the rollout trial.

        Retries are left out: they follow a failure, so that their outcome is
        weaker evidence about the version.
        """
        if not self._tracker.tried_ids:
            self._context.trials.record_answer(
                entry.pool,
                entry.version,
                self._admission.route.name,
                is_bad,
                took_s,
            )

    def is_refused(self) -> bool:
        """Returns whether the request is known to crash targets by now."""
        return self._refused_for_s() > 0

    def stays_refused(self) -> bool:
        """Returns whether the request is known to crash targets.

        An answer that has begun waits until a suspicion is settled.
        """
        while (refused_for_s := self._refused_for_s()) > 0:
            is_settled = refused_for_s > request_crashes.SUSPICION_S
            if is_settled or not self.answer_started or not self._is_in_time():
                return True
            target_connection.pause(RETRY_BUDGET_POLL_S)
        return False

    def _refused_for_s(self) -> float:
        return request_crashes.refused_for_s(self._context, self._admission)

    def can_retry(self) -> bool:
        """Returns whether the request may be retried at another target.

        An answer that has begun waits for retry budget as long as its client
        does.
        """
        self.denial = self._retry_denial()
        if self._outlasts_denial():
            self._wait_for_budget()
        if self.denial is not None:
            self.release_retry()
            self._context.metrics.retries_denied.labels(
                self.denial.value, "yes" if self.answer_started else "no"
            ).inc()
        return self.denial is None

    def _outlasts_denial(self) -> bool:
        """Returns whether the request waits for a retry.

        Others get their answer at once, so that their clients can return.
        """
        is_short = self.denial is serving.RetryDenial.RETRY_BUDGET
        if not is_short or not self.answer_started:
            return False
        return self._refused_for_s() <= request_crashes.SUSPICION_S

    def _wait_for_budget(self) -> None:
        """Waits until the retry budget allows an attempt or none is possible.

        The budget comes back as its window slides.
        """
        use = self._reservation.use()
        self._context.log.failure(
            "retry.waits",
            request=self._admission.request.request_id,
            retries=[use.used, round(use.allowed, 1)],
            left_s=round(self.deadline_s() - clock.now_s(), 3),
        )
        before_s = self._reservation.waited_s
        try:
            with self._reservation.waiting():
                while self._outlasts_denial() and self._is_in_time():
                    target_connection.pause(RETRY_BUDGET_POLL_S)
                    if self._is_in_time(MIN_ATTEMPT_S):
                        self.denial = self._retry_denial()
            if clock.now_s() >= self._context.host_stop.deadline_s:
                self.denial = serving.RetryDenial.TIME
        finally:
            waited_s = self._reservation.waited_s - before_s
            self._context.metrics.retry_waits.observe(waited_s)

    def _is_in_time(self, needed_s: float = 0.0) -> bool:
        """Returns whether so many seconds are left for the request."""
        return clock.now_s() + needed_s < self.deadline_s()

    def begin_attempt(self) -> None:
        """Counts the retry that was reserved for this attempt, if any."""
        self._reservation.begin_attempt()

    def release_retry(self) -> None:
        """Returns a reserved retry that is not made."""
        self._reservation.release()

    def _retry_denial(self) -> serving.RetryDenial | None:
        now_s = clock.now_s()
        if now_s >= self.deadline_s():
            return serving.RetryDenial.TIME
        if self.has_no_connection and not self.answer_started:
            return serving.RetryDenial.CONNECT_FAILURES
        self._tracker.idempotent = self.may_repeat
        denial = self._tracker.send_denial()
        self.returns_to_tried = (
            denial is serving.RetryDenial.ATTEMPTS
            and self.answer_started
            and self._tracker.may_return()
        )
        if self.returns_to_tried:
            denial = None
        if denial is not None or self.last in serving.FAILURES_BEFORE_SENDING:
            return denial
        if self.reserve_retry():
            return None
        return serving.RetryDenial.RETRY_BUDGET

    def no_target_reason(self) -> str:
        """Returns why no target was chosen."""
        return self._shortage().reason

    def _shortage(self) -> serving.Shortage:
        return self._context.placement.shortage(
            self._admission.pool, clock.now_s()
        )

    def _back_in_s(self, rng: random.Random) -> float:
        """Returns when a target is back if all have asked for time, else 0."""
        back_in_s = self._shortage().back_in_s or 0.0
        return back_in_s * rng.uniform(1.0, 1.0 + RETURN_SPREAD)

    def reserve_retry(self) -> bool:
        """Reserves retry budget for the next attempt, unless that is done.

        An attempt that is given up although it may still succeed needs the
        budget for the next one first.

        Returns:
            Whether the retry budget allows another attempt.
        """
        return self._reservation.reserve()

    def log_fields(self) -> dict[str, object]:
        """Returns what the log tells about the end of the request."""
        config = self._context.cached_config.config
        use = self._reservation.use()
        return {
            "attempts": self._tracker.sent,
            "not_retried": self.denial.value if self.denial else None,
            "retries": [use.used, round(use.allowed, 1)],
            "budget_wait_s": round(self._reservation.waited_s, 3),
            "admitted_version": self._admission.config_version,
            "config_version": config.version if config else None,
        }

    def final_response(
        self,
        reason: str,
        retry_after_range_s: tuple[float, float],
        rng: random.Random,
    ) -> responses.Response:
        """Returns the response to a request that no target completed.

        Args:
            reason: Why the request failed.
            retry_after_range_s: Range of the Retry-After of a request that has
                not run, in seconds; a random value spreads the retries.
            rng: Random number generator.
        """
        if self.failed_response is not None:
            return self.failed_response
        status = self._tracker.final_status(self.last)
        retry_after_s = None
        if status == 503:
            retry_after_s = request_crashes.refused_for_s(
                self._context, self._admission
            ) or self._back_in_s(rng) + rng.uniform(*retry_after_range_s)
        return responses.error_response(status, reason, retry_after_s)
