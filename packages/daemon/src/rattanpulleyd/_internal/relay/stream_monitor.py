"""Waits for the bytes of a stream and probes its target when it stalls."""

from collections.abc import Callable
import contextlib
from typing import TypeVar

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import attempts as attempts_lib
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import context as context_lib
from rattanpulleyd._internal.relay import engine_selection
from rattanpulleyd._internal.relay import memory_copies
from rattanpulleyd._internal.relay import request_crashes
from rattanpulleyd._internal.relay import stall_detector
from rattanpulleyd._internal.relay import stream_departures
from rattanpulleyd._internal.relay import target_connection
from rattanpulleyd._internal.sockets import late_reads

# A waiting stream applies a changed timeout within this time.
MAX_READ_WAIT_S = 0.25
# A move to an idle engine keeps an attempt for a target that is lost.
MIN_ATTEMPTS_LEFT_IN_QUEUE = 2
# Sound targets are silent for a second or so.
LAPSED_TARGET_SILENCE_S = 4.0

_Part = TypeVar("_Part")


class StreamMonitor:
    """Monitors one attempt of a stream.

    Attributes:
        detector: Stall detector of the attempt.
        run_started: Whether the target is known to have produced events.
    """

    def __init__(
        self,
        context: context_lib.RelayContext,
        admission: context_lib.Admission,
        attempts: attempts_lib.RequestAttempts,
        entry: serving.TargetEntry,
        usable_copy: Callable[[], memory_copies.MemoryCopy | None],
        departures: stream_departures.StreamDepartures,
        transfer: stream_departures.StreamTransfer,
    ) -> None:
        """Creates a monitor; the time without events counts from now.

        Args:
            context: State of the process.
            admission: The request.
            attempts: Attempts of the request.
            entry: Target of this attempt.
            usable_copy: Returns the copy of the run's memory, or None.
            departures: Departures of the stream from silent targets.
            transfer: Shared by all attempts of the request.
        """
        self._context = context
        self._admission = admission
        self._attempts = attempts
        self._entry = entry
        self._usable_copy = usable_copy
        self._departures = departures
        self._transfer = transfer
        self._logged_stay = False
        self._late_reads = late_reads.LateReads()
        self.run_started = False
        self.detector = stall_detector.StallDetector(
            admission.route.longest_pause_s,
            admission.route.objective_s,
            usable_copy() is not None,
            clock.now_s(),
        )

    def wait(self, read: Callable[[float], _Part]) -> _Part:
        """Reads until bytes arrive.

        Raises:
            target_connection.AttemptError: The target is lost or abandoned,
                or the deadline of the request has passed.
        """
        detector = self.detector
        while True:
            wait_started_s = clock.now_s()
            deadline_s = self._attempts.deadline_s()
            if self._late_reads.are_over(wait_started_s, deadline_s):
                raise _timed_out()
            until_s = min(
                detector.check_at_s,
                deadline_s,
                wait_started_s + MAX_READ_WAIT_S,
            )
            try:
                return read(until_s)
            except target_connection.ReadWaitExpired:
                now_s = clock.now_s()
            if now_s >= self._attempts.deadline_s():
                raise _timed_out()
            self._withdraw_if_refused()
            if (
                now_s - max(until_s, wait_started_s)
                > stall_detector.HOST_STALL_S
            ):
                detector.reset(now_s)
            elif now_s >= detector.check_at_s:
                try:
                    self._check_target(now_s)
                except target_connection.AttemptError as error:
                    with contextlib.suppress(target_connection.ReadWaitExpired):
                        return self._read_before_leaving(read)
                    self._leave(error)

    def _read_before_leaving(self, read: Callable[[float], _Part]) -> _Part:
        """Returns bytes that arrived while the target was checked.

        Raises:
            target_connection.ReadWaitExpired: There are none.
        """
        part = read(clock.now_s())
        self._departures.cancel()
        return part

    def _leave(self, error: target_connection.AttemptError) -> None:
        """Leaves the target unless the run has become unsafe meanwhile.

        Raises:
            target_connection.AttemptError: The error, as the stream leaves.
        """
        if self._attempts.may_repeat:
            raise error
        self._departures.cancel()
        self._log_stay(str(error), "it may no longer run again")
        self.detector.schedule_next_check(clock.now_s())

    def _withdraw_if_refused(self) -> None:
        """Gives up a prompt that would crash the target once it begins.

        Raises:
            target_connection.AttemptError: The prompt is refused by now.
        """
        if self.run_started or not self._attempts.may_repeat:
            return
        if self._attempts.is_refused():
            raise target_connection.AttemptError(
                serving.FailureKind.WITHDRAWN, request_crashes.REFUSAL_REASON
            )

    def record_events(self, count: int) -> None:
        """Records that complete events arrived."""
        self.run_started = True
        self._logged_stay = False
        self.detector.record_events(count, clock.now_s())

    def _check_target(self, now_s: float) -> None:
        """Probes an unresponsive target; raises if the stream leaves it.

        Raises:
            target_connection.AttemptError: The run is lost, or the target is
                silent and another one takes over.
        """
        detector = self.detector
        if self._attempts.may_repeat:
            suspicion = self._suspicion(now_s)
            if suspicion:
                self._leave_if_possible(suspicion)
        detector.schedule_next_check(clock.now_s())

    def _suspicion(self, now_s: float) -> str:
        """Returns why the target may be lost, or an empty string.

        Raises:
            target_connection.AttemptError: The run is lost, or it moves to an
                idle engine.
        """
        detector = self.detector
        report = self._context.prober.probe(self._entry)
        if report is None:
            return "silent, and a probe was not answered"
        run_id = self._admission.request.request_id
        made = report.events_by_run.get(run_id, 0)
        if detector.events_were_lost(made):
            self.run_started = True
            raise _unresponsive(f"silent, but the run has made {made} events")
        if detector.run_is_missing(report, run_id):
            raise _unresponsive("silent, and the run is not there")
        if detector.started and detector.exceeds_limit(now_s):
            idle_s = now_s - detector.idle_since_s
            return f"silent for {idle_s:.2f} s, probes answered"
        self._leave_queue(report)
        return ""

    def _leave_if_possible(self, suspicion: str) -> None:
        """Leaves a silent target unless that could end the stream.

        Raises:
            target_connection.AttemptError: The stream leaves the target.
        """
        silent_s = clock.now_s() - self.detector.idle_since_s
        if self._is_lost(silent_s):
            raise _unresponsive(f"{suspicion}; the target has left")
        # Only a run that has begun leaves a copy.
        copy = self._usable_copy() if self.run_started else None
        stays_because = self._departures.prepare(self._entry, silent_s, copy)
        if stays_because is None:
            raise _unresponsive(suspicion)
        self._log_stay(suspicion, stays_because)

    def _log_stay(self, suspicion: str, stays_because: str) -> None:
        """Logs once in a silence that the stream stays."""
        if self._logged_stay:
            return
        self._logged_stay = True
        silent_s = clock.now_s() - self.detector.idle_since_s
        self._context.log.failure(
            "attempt.waits",
            request=self._admission.request.request_id,
            target=self._entry.target_id,
            reason=suspicion,
            stays_because=stays_because,
            silent_s=round(silent_s, 3),
            probes=self._context.prober.recent_counts(),
        )

    def _is_lost(self, silent_s: float) -> bool:
        """Returns whether the silent target is known to be lost.

        The entry of a sound target may lapse during its silence, so that a
        lapse is evidence only after a longer one.
        """
        current = self._context.targets.entry(self._entry.target_id)
        if current is None:
            return silent_s >= LAPSED_TARGET_SILENCE_S
        return current.started_ms != self._entry.started_ms

    def _leave_queue(self, report: serving.TargetReport) -> None:
        """Leaves an engine with other prompts in prefill if one is idle.

        Without an idle engine the prompt would wait again elsewhere, and the
        prefill done so far would be repeated.

        Raises:
            target_connection.AttemptError: The request moves to an idle
                engine.
        """
        if self.detector.started or self._transfer.left_queue:
            return
        if self._attempts.left_after_current < MIN_ATTEMPTS_LEFT_IN_QUEUE:
            return
        now_s = clock.now_s()
        request = self._admission.request
        wait = serving.PrefillWait(
            since_sent_s=now_s - self.detector.idle_since_s,
            since_request_s=now_s - request.received_at_s,
            prompts=report.prompts,
            objective_s=self._admission.route.objective_s,
        )
        prefill_estimator = self._context.prefill_estimator
        if not prefill_estimator.should_move(
            self._admission.pool, request.prompt_tokens, wait
        ):
            return
        engine = engine_selection.EngineSelector(self._context).idle_engine(
            prefill_query(
                self._admission, self._attempts, self._entry.target_id
            )
        )
        if engine is not None and self._attempts.reserve_retry():
            self._transfer.left_queue = True
            self._transfer.next_engine = engine
            raise target_connection.AttemptError(
                serving.FailureKind.QUEUED,
                f"{report.prompts} prompts are not read yet",
            )


def prefill_query(
    admission: context_lib.Admission,
    attempts: attempts_lib.RequestAttempts,
    *others: str,
) -> serving.PlacementQuery:
    """Returns the requirements for an engine that prefills the prompt.

    Args:
        admission: The request.
        attempts: Its attempts; their targets are excluded.
        others: Ids of further targets to exclude.
    """
    return serving.PlacementQuery(
        admission.pool,
        frozenset((*attempts.tried_ids, *others)),
        needs_prefill=True,
        prefers_canary=attempts.prefers_canary,
    )


def _unresponsive(reason: str) -> target_connection.AttemptError:
    return target_connection.AttemptError(
        serving.FailureKind.UNRESPONSIVE, reason
    )


def _timed_out() -> target_connection.AttemptError:
    return target_connection.AttemptError(
        serving.FailureKind.TIMED_OUT, "the time of the request is over"
    )
