"""Relays one event stream and resumes it on another target after a failure.

Only complete events with consecutive ids are forwarded. A resumable stream
continues after its last event: on the target that stores a copy of the run's
memory if there is one, which avoids another prefill, otherwise on any other.
"""

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import admission_wait
from rattanpulleyd._internal.relay import attempt_progress
from rattanpulleyd._internal.relay import attempts as attempts_lib
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import context as context_lib
from rattanpulleyd._internal.relay import event_frames
from rattanpulleyd._internal.relay import memory_copies
from rattanpulleyd._internal.relay import prefill_counter
from rattanpulleyd._internal.relay import request_crashes
from rattanpulleyd._internal.relay import responses
from rattanpulleyd._internal.relay import stream_channel
from rattanpulleyd._internal.relay import stream_departures
from rattanpulleyd._internal.relay import stream_head
from rattanpulleyd._internal.relay import stream_monitor
from rattanpulleyd._internal.relay import stream_plan
from rattanpulleyd._internal.relay import target_connection
from rattanpulleyd._internal.relay import target_health
from rattanpulleyd._internal.relay import wire

# Sound targets may read nothing for a second or so.
SEND_TIMEOUT_S = 3.0
MAX_CONNECT_FAILURES = 12
# Pause of a stream that has started while targets refuse it.
RETRY_PAUSE_S = 0.2
# Engines are unavailable for a second or more after a crash.
RETRY_AFTER_RANGE_S = (0.8, 1.8)


class StreamRelay:
    """Relays one request of a stream route.

    Attributes:
        attempts: The attempts so far.
        report: Progress of the stream, for the log.
    """

    def __init__(
        self,
        context: context_lib.RelayContext,
        admission: context_lib.Admission,
        channel: stream_channel.StreamChannel,
        copy_calls: memory_copies.MemoryCopyCalls,
    ) -> None:
        self._context = context
        self._admission = admission
        self._channel = channel
        self.attempts = attempts_lib.RequestAttempts(
            context, admission, MAX_CONNECT_FAILURES
        )
        self._events = event_frames.EventSequence(
            admission.request.last_event_id
        )
        self._copy_calls = copy_calls
        self._weights: str | None = None
        self._transfer = stream_departures.StreamTransfer()
        self._departures = stream_departures.StreamDepartures(
            context, admission, self.attempts, self._transfer
        )
        self._planner = stream_plan.StreamPlanner(
            context, admission, self.attempts, self._transfer
        )
        self._started = False
        self.report = stream_channel.StreamReport()

    def run(self) -> responses.Response | None:
        """Relays the stream.

        Returns:
            The response for the client if no event was forwarded, or None
            after a complete stream.

        Raises:
            StreamAbortedError: A stream that had started could not be
                completed.
            ClientDisconnectedError: The client disconnected.
        """
        try:
            return self._run()
        finally:
            self.attempts.release_retry()

    def _run(self) -> responses.Response | None:
        while True:
            plan, reason = self._next_plan()
            if plan is None:
                return self._give_up(reason)
            progress = attempt_progress.AttemptProgress(
                clock.now_s(), base_id=self._events.last_id or 0
            )
            self.attempts.begin_attempt()
            try:
                self._attempt(plan, progress)
                return None
            except target_connection.AttemptError as error:
                last_id = self._events.last_id or 0
                self.attempts.record(plan.entry, error, progress, last_id)
                if error.reported_id:
                    target_health.adopt_restarted_target(
                        self._context, plan.entry, error.reported_id
                    )
                if not self.attempts.can_retry():
                    return self._give_up(str(error))
                if self._started and self.attempts.needs_pause:
                    target_connection.pause(RETRY_PAUSE_S)
            except context_lib.ClientDisconnectedError:
                request_crashes.leave_run(
                    self._context,
                    self._admission,
                    plan.entry,
                    self._events.last_id or 0,
                    progress,
                )
                raise

    def _next_plan(self) -> tuple[stream_plan.AttemptPlan | None, str]:
        """Returns the next attempt, or None and why there is none."""
        while not self.attempts.stays_refused():
            plan = self._planner.next_plan(
                self._started, self._events.last_id or 0
            )
            if self._planner.room_wait.is_rejected:
                return None, admission_wait.REJECTION_REASON
            if plan is None:
                return None, self.attempts.no_target_reason()
            # It may have become known while the stream waited for a target.
            if not self.attempts.is_refused():
                return plan, ""
        return None, request_crashes.REFUSAL_REASON

    def _attempt(
        self,
        plan: stream_plan.AttemptPlan,
        progress: attempt_progress.AttemptProgress,
    ) -> None:
        """Sends the request to a target and forwards its events."""
        request = self._admission.request
        entry = plan.entry
        connection = target_connection.TargetConnection(
            entry, self._context.announcements.record_head
        )
        load = self._context.loads.load_of(entry.target_id)
        load.in_flight += 1
        prefill = prefill_counter.PrefillCounter(load)
        copies = self._context.loads.load_of(
            plan.copy_holder.target_id if plan.copy_holder else ""
        )
        copies.copies += 1
        self.report.targets.append(entry.target_id)
        try:
            connection.connect(target_connection.CONNECT_TIMEOUT_S)
            self._context.announcements.check(entry)
            connection.send(
                request.method,
                request.target,
                context_lib.outgoing_headers(
                    self._context,
                    self._admission,
                    entry,
                    stream_plan.attempt_headers(
                        self._context.names,
                        plan,
                        self._events.last_id,
                        self._weights,
                    ),
                ),
                request.body,
                SEND_TIMEOUT_S,
            )
            self._count_resume(plan)
            self._relay(plan, connection, prefill, progress)
        finally:
            connection.close()
            load.in_flight -= 1
            copies.copies -= 1
            prefill.end()

    def _count_resume(self, plan: stream_plan.AttemptPlan) -> None:
        if self.attempts.sent == 0:
            return
        self.report.resumes += 1
        self.report.resumes_from_copy += plan.copy_reference is not None
        source = "prompt" if plan.copy_reference is None else "copy"
        self._context.metrics.resumes.labels(source).inc()

    def _relay(
        self,
        plan: stream_plan.AttemptPlan,
        connection: target_connection.TargetConnection,
        prefill: prefill_counter.PrefillCounter,
        progress: attempt_progress.AttemptProgress,
    ) -> None:
        """Validates the response head and forwards the stream to its end."""
        maintainer = self._make_maintainer(plan)
        monitor = stream_monitor.StreamMonitor(
            self._context,
            self._admission,
            self.attempts,
            plan.entry,
            maintainer.usable_copy,
            self._departures,
            self._transfer,
        )
        try:
            head = stream_head.StreamHeadReader(
                self._context, self.attempts, plan.entry, monitor
            ).read(self._admission.request, connection, progress)
            self._keep_weights(head)
            maintainer.start()
            self._forward_events(
                plan, connection, prefill, monitor, head, progress
            )
        finally:
            maintainer.stop()
            if monitor.run_started:
                self._planner.keep_copy(maintainer.usable_copy())
        maintainer.release()

    def _make_maintainer(
        self, plan: stream_plan.AttemptPlan
    ) -> memory_copies.CopyMaintainer:
        """Returns the maintainer of the memory copy of one attempt."""
        copy = None
        if plan.copy_holder is not None:
            run_id = self._admission.request.request_id
            copy = memory_copies.MemoryCopy(
                plan.copy_holder, f"{plan.copy_holder.address}/{run_id}"
            )
        return memory_copies.CopyMaintainer(
            self._context, self._copy_calls, self._admission, plan.entry, copy
        )

    def _forward_events(
        self,
        plan: stream_plan.AttemptPlan,
        connection: target_connection.TargetConnection,
        prefill: prefill_counter.PrefillCounter,
        monitor: stream_monitor.StreamMonitor,
        head: target_connection.ResponseHead,
        progress: attempt_progress.AttemptProgress,
    ) -> None:
        """Forwards the events of one attempt until the body is complete."""
        frames = event_frames.EventParser()
        progress_limit = event_frames.ProgressLimit(self._events)
        while True:
            data = monitor.wait(connection.read_data)
            if data is None:
                break
            try:
                events = frames.feed(data)
                passed = self._events.admit(events)
                progress_limit.check(len(data))
            except event_frames.MalformedEventError as error:
                raise target_connection.AttemptError(
                    serving.FailureKind.CORRUPT, str(error)
                ) from error
            # A comment is no progress of the run.
            count = sum(event.event_id is not None for event in events)
            if count:
                if not monitor.run_started:
                    self._record_prefill(plan, monitor)
                monitor.record_events(count)
                progress.record_events(count, clock.now_s())
                prefill.end()
            if passed:
                self._forward(head, passed)
                request_crashes.record_progress(
                    self._context, self._admission, self._events.last_id
                )
                request_crashes.record_answer(
                    self._context, self._admission, progress
                )
        self._check_end(frames, head, progress)
        self._send_head(head)
        self._channel.finish()
        self._context.loads.record_success(plan.entry.target_id, clock.now_s())
        request_crashes.record_progress(self._context, self._admission)
        # Only a framed body shows that the target has not ended meanwhile.
        request_crashes.record_answer(
            self._context,
            self._admission,
            progress,
            is_complete=head.frames_body,
        )

    def _check_end(
        self,
        frames: event_frames.EventParser,
        head: target_connection.ResponseHead,
        progress: attempt_progress.AttemptProgress,
    ) -> None:
        """Checks that a body that has ended is a complete stream."""
        if frames.incomplete or self._events.last_id is None:
            raise target_connection.AttemptError(
                serving.FailureKind.CONNECTION_LOST,
                "the stream ended within an event",
            )
        if not progress.events and not head.frames_body:
            # Only a framed body shows that nothing is left to send.
            raise target_connection.AttemptError(
                serving.FailureKind.CONNECTION_LOST,
                "the connection ended before the first event",
            )

    def _record_prefill(
        self,
        plan: stream_plan.AttemptPlan,
        monitor: stream_monitor.StreamMonitor,
    ) -> None:
        """Records the prefill time of an attempt without a memory copy."""
        if plan.copy_reference is None:
            took_s = clock.now_s() - monitor.detector.idle_since_s
            self.attempts.record_success(plan.entry, took_s)
            self._context.prefill_estimator.record(
                self._admission.pool,
                self._admission.request.prompt_tokens,
                took_s,
            )

    def _keep_weights(self, head: target_connection.ResponseHead) -> None:
        """Notes the weights that made the first part of the answer."""
        weights = head.value(self._context.names.weights)
        if (
            self._weights is None
            and wire.parse_unsigned_int(weights) is not None
        ):
            self._weights = weights

    def _forward(
        self, head: target_connection.ResponseHead, data: bytes
    ) -> None:
        """Sends events to the client, after the head if none was sent."""
        now_s = clock.now_s()
        report = self.report
        if self._started:
            pause_s = now_s - report.last_event_at_s
            report.longest_pause_s = max(report.longest_pause_s, pause_s)
        else:
            report.first_event_s = now_s - self._admission.request.received_at_s
        self._send_head(head)
        report.last_event_at_s = now_s
        report.events = self._events.last_id or 0
        self._channel.write(data)

    def _send_head(self, head: target_connection.ResponseHead) -> None:
        """Sends the response head unless one was sent."""
        if not self._started:
            self._started = True
            self.attempts.answer_started = True
            self._admission.terms.begin_answer()
            headers = wire.forwarded_headers(head.headers, frozenset())
            self._channel.start_stream(head.status, headers)

    def _give_up(self, reason: str) -> responses.Response:
        """Returns the final response, or aborts a stream that had started."""
        if self._started:
            raise stream_channel.StreamAbortedError(reason)
        range_s = self._planner.room_wait.retry_after_range_s(
            RETRY_AFTER_RANGE_S
        )
        return self.attempts.final_response(reason, range_s, self._context.rng)

    def admission_fields(self) -> dict[str, object]:
        """Returns what the log tells about the wait for an engine."""
        return self._planner.room_wait.log_fields()
