"""Relays one event stream and continues it on another target when one is lost.

Only whole events with growing ids are passed on. A resumable stream continues
after its last event: on the target that keeps a copy of the run's memory if
there is one, which saves reading the prompt again, and on any other otherwise.
"""

import dataclasses

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import answers
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import context as context_lib
from rattanpulleyd._internal.relay import engine_choice
from rattanpulleyd._internal.relay import event_frames
from rattanpulleyd._internal.relay import memory_copies
from rattanpulleyd._internal.relay import prompt_count
from rattanpulleyd._internal.relay import stream_channel
from rattanpulleyd._internal.relay import stream_watch
from rattanpulleyd._internal.relay import target_connection
from rattanpulleyd._internal.relay import target_health
from rattanpulleyd._internal.relay import tries as tries_lib
from rattanpulleyd._internal.relay import wire

SEND_TIMEOUT_S = 1.0
MAX_CONNECT_FAILURES = 12
# How long a stream waits for a target before it is refused, and how long one
# that has begun waits.
NO_TARGET_WAIT_S = 0.5
NO_TARGET_WAIT_BEGUN_S = 2.0
NO_TARGET_STEP_S = 0.02
# A crash takes engines away for a second and more.
RETRY_AFTER_RANGE_S = (0.8, 1.8)
MAX_FAILED_ANSWER_BYTES = 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class _Plan:
    """One attempt to make.

    Attributes:
        entry: The target.
        source: Copy of the memory to continue from, or None.
        copy_holder: Target that keeps a copy of the memory, or None.
    """

    entry: serving.TargetEntry
    source: str | None
    copy_holder: serving.TargetEntry | None


class StreamRelay:
    """One request of a stream route."""

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
        self._tries = tries_lib.Tries(context, admission, MAX_CONNECT_FAILURES)
        self._events = event_frames.EventSequence(
            admission.request.last_event_id
        )
        self._copy_calls = copy_calls
        self._engines = engine_choice.EngineChoice(context)
        self._copy: memory_copies.MemoryCopy | None = None
        self._weights: str | None = None
        self._queue_exit = stream_watch.QueueExit()
        self._begun = False
        self.report = stream_channel.StreamReport()

    def run(self) -> answers.Answer | None:
        """Relays the stream.

        Returns:
            The answer for the client when no event was passed on, or None
            after a complete stream.

        Raises:
            StreamCutError: A stream that had begun could not be completed.
            ClientGoneError: The client left.
        """
        while True:
            plan = self._next_plan()
            if plan is None:
                return self._give_up("no target is ready")
            try:
                self._attempt(plan)
                return None
            except target_connection.AttemptError as error:
                self._tries.record(plan.entry, error)
                if error.found_id:
                    target_health.adopt_successor(
                        self._context, plan.entry, error.found_id
                    )
                if not self._tries.may_go_on():
                    return self._give_up(str(error))

    def _next_plan(self) -> _Plan | None:
        """Returns the next attempt, after a short wait if none is possible."""
        idle, self._queue_exit.engine = self._queue_exit.engine, None
        if idle is not None:
            return self._plan(idle, None)
        copy, self._copy = self._copy, None
        if (
            copy is not None
            and self._tries.last in serving.FAILURES_AFTER_START
        ):
            return self._plan(copy.holder, copy.source)
        wait_s = NO_TARGET_WAIT_BEGUN_S if self._begun else NO_TARGET_WAIT_S
        until_s = min(clock.now_s() + wait_s, self._tries.answer_by_s())
        while True:
            entry = self._engines.choose(
                stream_watch.prompt_query(self._admission, self._tries),
                self._admission.request.request_id,
            )
            if entry is not None:
                return self._plan(entry, None)
            if clock.now_s() >= until_s:
                return None
            target_connection.pause_s(NO_TARGET_STEP_S)

    def _plan(self, entry: serving.TargetEntry, source: str | None) -> _Plan:
        holder = None
        pool = self._admission.pool
        config = self._context.belief.config
        row = config.pools_by_name.get(pool) if config is not None else None
        copies = row is not None and row.copies_memory
        if copies and self._admission.route.resumable:
            holder = self._engines.choose_holder(pool, entry)
        return _Plan(entry, source, holder)

    def _attempt(self, plan: _Plan) -> None:
        """Sends the request to a target and passes its events on."""
        request = self._admission.request
        entry = plan.entry
        connection = target_connection.TargetConnection(entry)
        load = self._context.loads.load_of(entry.target_id)
        load.in_flight += 1
        reading = prompt_count.PromptCount(load)
        copies = self._context.loads.load_of(
            plan.copy_holder.target_id if plan.copy_holder else ""
        )
        copies.copies += 1
        self.report.targets.append(entry.target_id)
        try:
            connection.connect(target_connection.CONNECT_TIMEOUT_S)
            connection.send(
                request.method,
                request.target,
                context_lib.outgoing_headers(
                    self._context, self._admission, entry, self._extra(plan)
                ),
                request.body,
                SEND_TIMEOUT_S,
            )
            self._count_resume(plan)
            self._relay(plan, connection, reading)
        finally:
            connection.close()
            load.in_flight -= 1
            copies.copies -= 1
            reading.end()

    def _extra(self, plan: _Plan) -> wire.Headers:
        """Returns the headers of one attempt."""
        names = self._context.names
        extra: list[tuple[bytes, bytes]] = []
        if self._events.last_id is not None or plan.source is not None:
            last_id = self._events.last_id or 0
            extra.append((b"Last-Event-Id", b"%d" % last_id))
        if self._weights is not None:
            extra.append((names.expected_weights, self._weights.encode()))
        if plan.copy_holder is not None:
            holder = plan.copy_holder.address.encode()
            extra.append((names.copy_memory_to, holder))
        if plan.source is not None:
            extra.append((names.continue_from, plan.source.encode()))
        return tuple(extra)

    def _count_resume(self, plan: _Plan) -> None:
        if self._tries.sent == 0:
            return
        self.report.resumes += 1
        self.report.resumes_from_copy += plan.source is not None
        source = "prompt" if plan.source is None else "copy"
        self._context.metrics.resumes.labels(source).inc()

    def _relay(
        self,
        plan: _Plan,
        connection: target_connection.TargetConnection,
        reading: prompt_count.PromptCount,
    ) -> None:
        """Passes the events of one attempt on until the stream is complete."""
        watch = stream_watch.StreamWatch(
            self._context,
            self._admission,
            self._tries,
            plan.entry,
            plan.copy_holder is not None,
            self._queue_exit,
        )
        keeper = self._keeper(plan)
        try:
            head = watch.wait(connection.read_head)
            self._check(head, connection, plan.entry, watch)
            keeper.start()
            self._pass_events(plan, connection, reading, watch, head)
        finally:
            keeper.stop()
            if watch.run_began:
                self._copy = keeper.usable_copy()
        keeper.release()

    def _keeper(self, plan: _Plan) -> memory_copies.CopyKeeper:
        """Returns the keeper of the copy of one attempt's memory."""
        copy = None
        if plan.copy_holder is not None:
            run_id = self._admission.request.request_id
            copy = memory_copies.MemoryCopy(
                plan.copy_holder, f"{plan.copy_holder.address}/{run_id}"
            )
        return memory_copies.CopyKeeper(
            self._context, self._copy_calls, self._admission, plan.entry, copy
        )

    def _pass_events(
        self,
        plan: _Plan,
        connection: target_connection.TargetConnection,
        reading: prompt_count.PromptCount,
        watch: stream_watch.StreamWatch,
        head: target_connection.AnswerHead,
    ) -> None:
        """Passes the events of one attempt on until its proper end."""
        frames = event_frames.EventFrames()
        while True:
            data = watch.wait(connection.read_data)
            if data is None:
                break
            try:
                passed = self._events.admit(frames.feed(data))
            except event_frames.BrokenEventError as error:
                raise target_connection.AttemptError(
                    serving.FailureKind.CORRUPT, str(error)
                ) from error
            if passed:
                if not watch.run_began:
                    self._note_reading(plan, watch)
                watch.note_events(passed.count(b"\n\n"))
                reading.end()
                self._pass_on(head, passed)
        if frames.incomplete or self._events.last_id is None:
            raise target_connection.AttemptError(
                serving.FailureKind.CONNECTION_LOST,
                "the stream ended within an event",
            )
        self._begin(head)
        self._channel.finish()
        self._context.loads.record_success(plan.entry.target_id, clock.now_s())

    def _note_reading(
        self, plan: _Plan, watch: stream_watch.StreamWatch
    ) -> None:
        """Learns the reading time from an attempt that read the prompt."""
        if plan.source is None:
            took_s = clock.now_s() - watch.quiet.since_s
            self._tries.note_answer(plan.entry, took_s)
            self._context.reading.record(
                self._admission.pool,
                self._admission.request.prompt_tokens,
                took_s,
            )

    def _check(
        self,
        head: target_connection.AnswerHead,
        connection: target_connection.TargetConnection,
        entry: serving.TargetEntry,
        watch: stream_watch.StreamWatch,
    ) -> None:
        """Checks that the head begins the stream of this request."""
        answers.check_head(head, self._admission.request, self._context.names)
        target_health.record_load(self._context, entry, head)
        if head.status != 200:
            self._keep_failed_answer(head, connection, entry, watch)
            raise target_connection.AttemptError(
                serving.FailureKind.FAILED, f"the target answered {head.status}"
            )
        content_type = wire.single_value(head.headers, b"content-type") or ""
        if not content_type.startswith(wire.EVENT_STREAM.decode()):
            raise target_connection.AttemptError(
                serving.FailureKind.CORRUPT, f"the answer is {content_type!r}"
            )
        weights = head.value(self._context.names.weights)
        if self._weights is None and wire.whole_number(weights) is not None:
            self._weights = weights

    def _keep_failed_answer(
        self,
        head: target_connection.AnswerHead,
        connection: target_connection.TargetConnection,
        entry: serving.TargetEntry,
        watch: stream_watch.StreamWatch,
    ) -> None:
        """Keeps the answer of a target that failed the request itself."""
        body = b""
        while len(body) <= MAX_FAILED_ANSWER_BYTES:
            part = watch.wait(connection.read_data)
            if part is None:
                headers = wire.forwarded_headers(head.headers, frozenset())
                self._tries.failed_answer = answers.Answer(
                    head.status,
                    headers,
                    body,
                    answers.TARGET_ERROR,
                    f"answer of {entry.target_id}",
                )
                return
            body += part

    def _pass_on(self, head: target_connection.AnswerHead, data: bytes) -> None:
        """Sends events to the client; the first head stays in force."""
        now_s = clock.now_s()
        report = self.report
        if self._begun:
            pause_s = now_s - report.last_event_at_s
            report.longest_pause_s = max(report.longest_pause_s, pause_s)
        else:
            report.first_event_s = now_s - self._admission.request.received_at_s
        self._begin(head)
        report.last_event_at_s = now_s
        self._channel.write(data)

    def _begin(self, head: target_connection.AnswerHead) -> None:
        """Sends the head unless one was sent."""
        if not self._begun:
            self._begun = True
            headers = wire.forwarded_headers(head.headers, frozenset())
            self._channel.begin(head.status, headers)

    def _give_up(self, reason: str) -> answers.Answer:
        """Returns the final answer, or ends a stream that had begun."""
        if self._begun:
            raise stream_channel.StreamCutError(reason)
        return self._tries.final_answer(
            reason, RETRY_AFTER_RANGE_S, self._context.rng
        )
