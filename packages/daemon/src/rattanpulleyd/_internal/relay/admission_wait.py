"""Waits of a stream until an engine has memory for it.

This is only active where the configuration gives the requests of a pool
different priorities. Engines that report no memory get requests as without it.
"""

from collections.abc import Iterator
import contextlib

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import attempts as attempts_lib
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import context as context_lib
from rattanpulleyd._internal.relay import engine_selection
from rattanpulleyd._internal.relay import stream_channel

REJECTION_REASON = "no engine has memory for the request in time"


class AdmissionWait(engine_selection.RoomGate):
    """The wait of one stream for memory on an engine."""

    def __init__(
        self,
        context: context_lib.RelayContext,
        admission: context_lib.Admission,
        attempts: attempts_lib.RequestAttempts,
    ) -> None:
        self._context = context
        self._admission = admission
        self._attempts = attempts
        self._request: serving.WaitingRequest | None = None
        self._held_since_s: float | None = None
        self._waited_s = 0.0
        # The decision of the current attempt, and the latest of all.
        self._verdict: serving.AdmissionVerdict | None = None
        self._last_verdict: serving.AdmissionVerdict | None = None

    @property
    def is_held(self) -> bool:
        """Whether the latest decision was to wait on this host."""
        return self._has_action(serving.AdmissionAction.HOLD)

    @property
    def is_rejected(self) -> bool:
        """Whether the latest decision was to reject the request."""
        return self._has_action(serving.AdmissionAction.REJECT)

    def _has_action(self, action: serving.AdmissionAction) -> bool:
        return self._verdict is not None and self._verdict.action is action

    def _is_active(self) -> bool:
        return is_active(self._context, self._admission)

    def _queue(self) -> serving.AdmissionQueue:
        control = self._context.admission_control
        return control.queue_of(self._admission.pool)

    def begin(self, events: int, begun: bool) -> None:
        """Begins the choice of the engine of one attempt.

        Args:
            events: Events that the client has.
            begun: Whether the client has a part of the answer.
        """
        self._verdict = None
        self._request = (
            self._waiting_request(events, begun) if self._is_active() else None
        )

    @contextlib.contextmanager
    def waiting(self) -> Iterator[None]:
        """Keeps the stream in the queue of this host, if it is active."""
        request = self._request
        if request is None:
            yield
            return
        queue = self._queue()
        gauge = self._context.metrics.admission_waiting
        queue.enter(request)
        gauge.inc()
        try:
            yield
        finally:
            gauge.dec()
            queue.leave(request, clock.now_s())
            self._end_hold()

    def check_in_s(self) -> float:
        """Returns in how many seconds engines may be asked again."""
        if self._request is None:
            return 0.0
        return self._queue().check_in_s(self._request, clock.now_s())

    def may_ask(self) -> bool:
        """Returns whether engines may be asked for the stream now.

        If not, a held stream whose time has become too short is rejected.
        """
        if self._request is None:
            return True
        if self.check_in_s() <= 0.0:
            self._verdict = None
            return True
        now_s = clock.now_s()
        rejection = self._queue().review(self._request, now_s)
        if rejection is not None:
            self._set_verdict(rejection, 0, now_s)
        return False

    def decide(
        self, reported: list[engine_selection.ReportedTarget]
    ) -> serving.AdmissionVerdict | None:
        """Decides about the stream; None if the memory does not count."""
        if self._request is None:
            return None
        pool = self._admission.pool
        now_s = clock.now_s()
        verdict = self._context.admission_control.decide(
            pool,
            self._request,
            [(entry.target_id, report) for entry, report in reported],
            serving.PoolSize(
                self._context.fleet.hosts,
                len(self._context.targets.in_pool(pool)),
            ),
            now_s,
        )
        self._set_verdict(verdict, len(reported), now_s)
        return verdict

    def record_sent(self, entry: serving.TargetEntry) -> None:
        """Records the engine that the stream is sent to."""
        if self._request is not None:
            self._context.admission_control.record_sent(
                self._admission.pool,
                entry.target_id,
                self._request,
                clock.now_s(),
            )

    def retry_after_range_s(
        self, default: tuple[float, float]
    ) -> tuple[float, float]:
        """Returns the range of the Retry-After of the final response."""
        if self._verdict is None or not self.is_rejected:
            return default
        return (self._verdict.retry_after_s, self._verdict.retry_after_s)

    def log_fields(self) -> dict[str, object]:
        """Returns what the log tells about the wait; empty if inactive."""
        if self._last_verdict is None:
            return {}
        return {
            "admission_action": self._last_verdict.action.value,
            "admission_cause": self._last_verdict.cause.value,
            "admission_wait_s": round(self._waited_s, 3),
        }

    def _waiting_request(
        self, events: int, begun: bool
    ) -> serving.WaitingRequest:
        request = self._admission.request
        pool = self._admission.pool
        objective_s = self._admission.route.objective_s
        return serving.WaitingRequest(
            request_id=request.request_id,
            account=self._admission.account,
            priority=self._admission.priority,
            need=self._context.admission_control.need_of(
                pool, request.prompt_tokens, request.answer_tokens, events
            ),
            received_at_s=request.received_at_s,
            objective_at_s=request.received_at_s + objective_s,
            deadline_s=self._attempts.deadline_s(),
            prefill_s=self._context.prefill_estimator.expected_s(
                pool, request.prompt_tokens
            ),
            entered_at_s=clock.now_s(),
            begun=begun,
        )

    def _set_verdict(
        self, verdict: serving.AdmissionVerdict, engines: int, now_s: float
    ) -> None:
        """Keeps and counts a decision; logs the first hold and a rejection."""
        self._verdict = self._last_verdict = verdict
        self._context.metrics.admission_decisions.labels(
            verdict.action.value, verdict.cause.value
        ).inc()
        log = self._context.log
        if verdict.action is serving.AdmissionAction.REJECT:
            log.failure(
                "admission.rejected",
                retry_after_s=round(verdict.retry_after_s, 2),
                **self._decision_fields(verdict, engines, now_s),
            )
        elif self.is_held and self._held_since_s is None:
            self._held_since_s = now_s
            log.success(
                "admission.waits",
                **self._decision_fields(verdict, engines, now_s),
            )

    def _decision_fields(
        self, verdict: serving.AdmissionVerdict, engines: int, now_s: float
    ) -> dict[str, object]:
        return {
            "request": self._admission.request.request_id,
            "account": self._admission.account,
            "priority": self._admission.priority,
            "cause": verdict.cause.value,
            "waiting": len(self._queue()),
            "engines": engines,
            "left_s": round(self._attempts.deadline_s() - now_s, 3),
        }

    def _end_hold(self) -> None:
        if self._held_since_s is None:
            return
        held_s = clock.now_s() - self._held_since_s
        self._waited_s += held_s
        self._held_since_s = None
        self._context.metrics.admission_waits.observe(held_s)


def is_active(
    context: context_lib.RelayContext, admission: context_lib.Admission
) -> bool:
    """Returns whether the memory of engines counts for a request."""
    config = context.cached_config.config
    return (
        config is not None
        and admission.pool_has_engines
        and config.ranks_differ(admission.pool)
    )


def record_end(
    context: context_lib.RelayContext,
    admission: context_lib.Admission,
    report: stream_channel.StreamReport,
    is_complete: bool,
) -> None:
    """Records how long an answer was, which shows what others will need.

    Args:
        context: State of the process.
        admission: The request.
        report: Progress of its stream.
        is_complete: Whether it has its last event.
    """
    if report.first_event_s is None or not is_active(context, admission):
        return
    begun_at_s = admission.request.received_at_s + report.first_event_s
    duration_s = report.last_event_at_s - begun_at_s
    control = context.admission_control
    if is_complete:
        tokens = admission.request.answer_tokens
        control.record_answer(admission.pool, report.events, duration_s, tokens)
    elif clock.now_s() >= admission.deadline_s(context):
        control.record_cut(admission.pool, report.events, duration_s)
