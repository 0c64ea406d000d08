"""Relays one event stream and continues it on another target when one is lost.

Only whole events with growing ids are passed on. A resumable stream continues
after its last event: on the target that keeps a copy of the run's memory if
there is one, which saves reading the prompt again, and on any other otherwise.
"""

from collections.abc import Callable
import dataclasses
from typing import Protocol, TypeVar

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import answers
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import context as context_lib
from rattanpulleyd._internal.relay import engine_choice
from rattanpulleyd._internal.relay import event_frames
from rattanpulleyd._internal.relay import memory_copies
from rattanpulleyd._internal.relay import silence
from rattanpulleyd._internal.relay import target_connection
from rattanpulleyd._internal.relay import target_health
from rattanpulleyd._internal.relay import wire

SEND_TIMEOUT_S = 1.0
MAX_CONNECT_FAILURES = 12
# How long a stream waits for a target before it is refused, and how long one
# that has begun waits.
NO_TARGET_WAIT_S = 0.5
NO_TARGET_WAIT_BEGUN_S = 2.0
NO_TARGET_STEP_S = 0.02
RETRY_AFTER_RANGE_S = (0.3, 0.9)
MAX_FAILED_ANSWER_BYTES = 1024 * 1024
# A waiting stream notices a changed timeout within this time.
MAX_READ_WAIT_S = 0.25

# Only a run that had begun can have left a copy of its memory.
ENDINGS_AFTER_A_RUN = frozenset(
    {
        serving.Ending.BROKEN_OFF,
        serving.Ending.SILENT,
        serving.Ending.CORRUPT,
    }
)

_Part = TypeVar("_Part")


class StreamChannel(Protocol):
    """Where the events of a stream go; raises `ClientGoneError`."""

    def begin(self, status: int, headers: wire.Headers) -> None:
        """Sends the head."""

    def write(self, data: bytes) -> None:
        """Sends whole events."""

    def finish(self) -> None:
        """Ends the answer as complete."""


@dataclasses.dataclass(slots=True)
class StreamReport:
    """How a stream went, for the log.

    Attributes:
        resumes: Continuations on another target.
        resumes_from_copy: Those that used a copy of the memory.
        first_event_s: Time to the first event, or None.
        longest_pause_s: Longest pause between events.
        last_event_at_s: When the last event was passed on.
        targets: Targets in the order of use.
    """

    resumes: int = 0
    resumes_from_copy: int = 0
    first_event_s: float | None = None
    longest_pause_s: float = 0.0
    last_event_at_s: float = 0.0
    targets: list[str] = dataclasses.field(default_factory=list)


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
        channel: StreamChannel,
        copy_calls: memory_copies.MemoryCopyCalls,
    ) -> None:
        self._context = context
        self._admission = admission
        self._channel = channel
        route = admission.route
        self._ledger = serving.AttemptLedger(
            route.idempotent, route.max_attempts
        )
        self._events = event_frames.EventSequence(
            admission.request.last_event_id
        )
        self._copy_calls = copy_calls
        self._engines = engine_choice.EngineChoice(context)
        self._copy: memory_copies.MemoryCopy | None = None
        self._weights: str | None = None
        self._better: serving.TargetEntry | None = None
        self._has_left_queue = False
        self._begun = False
        self._started = False
        self._connect_failures = 0
        self._failed_answer: answers.Answer | None = None
        self.report = StreamReport()

    def run(self) -> answers.Answer | None:
        """Relays the stream.

        Returns:
            The answer for the client when no event was passed on, or None
            after a complete stream.

        Raises:
            StreamCutError: A stream that had begun could not be completed.
            ClientGoneError: The client left.
        """
        window = self._context.resends.of(self._admission.pool)
        window.record_request(clock.now_s())
        last: serving.Ending | None = None
        while True:
            plan = self._next_plan(last)
            if plan is None:
                return self._give_up(last, "no target is ready")
            try:
                self._attempt(plan)
                return None
            except target_connection.AttemptError as error:
                last = error.ending
                self._record(plan, error)
                if not self._may_go_on(error, window):
                    return self._give_up(last, str(error))

    def _next_plan(self, last: serving.Ending | None) -> _Plan | None:
        """Returns the next attempt, after a short wait if none is possible."""
        better, self._better = self._better, None
        if better is not None:
            return self._plan(better, None)
        copy, self._copy = self._copy, None
        if copy is not None and last in ENDINGS_AFTER_A_RUN:
            return self._plan(copy.holder, copy.source)
        wait_s = NO_TARGET_WAIT_BEGUN_S if self._begun else NO_TARGET_WAIT_S
        until_s = min(clock.now_s() + wait_s, self._answer_by_s())
        while True:
            query = self._query()
            entry = self._engines.choose(
                query, self._admission.request.request_id
            )
            if entry is not None:
                return self._plan(entry, None)
            if clock.now_s() >= until_s:
                return None
            target_connection.pause_s(NO_TARGET_STEP_S)

    def _query(self, *others: str) -> serving.PlacementQuery:
        """Returns what an engine is wanted for.

        Args:
            others: Targets to leave out beside those that were tried.
        """
        return serving.PlacementQuery(
            self._admission.pool,
            frozenset((*self._ledger.tried_ids, *others)),
            reads_prompt=True,
        )

    def _plan(self, entry: serving.TargetEntry, source: str | None) -> _Plan:
        holder = None
        pool = self._admission.pool
        config = self._context.belief.config
        row = config.pools_by_name.get(pool) if config is not None else None
        copies = row is not None and row.copies_memory
        if copies and self._admission.route.resumable:
            holder = self._engines.choose_holder(pool, entry)
        return _Plan(entry, source, holder)

    def _record(
        self, plan: _Plan, error: target_connection.AttemptError
    ) -> None:
        self._ledger.record(plan.entry.target_id, error.ending)
        if error.ending in serving.ENDINGS_BEFORE_SENDING:
            self._connect_failures += 1
        target_health.record_ending(
            self._context, self._admission, plan.entry, error
        )
        if error.found_id:
            target_health.adopt_successor(
                self._context, plan.entry, error.found_id
            )

    def _may_go_on(
        self,
        error: target_connection.AttemptError,
        window: serving.ResendWindow,
    ) -> bool:
        """Returns whether the stream may go to another target."""
        if clock.now_s() >= self._answer_by_s():
            return False
        if self._connect_failures >= MAX_CONNECT_FAILURES:
            return False
        if not self._ledger.may_send():
            return False
        if error.ending in serving.ENDINGS_BEFORE_SENDING:
            return True
        return window.take(clock.now_s())

    def _answer_by_s(self) -> float:
        return self._admission.answer_by_s(self._context.belief)

    def _attempt(self, plan: _Plan) -> None:
        """Sends the request to a target and passes its events on."""
        request = self._admission.request
        entry = plan.entry
        connection = target_connection.TargetConnection(entry)
        load = self._context.loads.of(entry.target_id)
        load.in_flight += 1
        load.reading += 1
        reading = _Reading(load)
        copies = self._context.loads.of(
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
        if self._ledger.sent == 0:
            return
        self.report.resumes += 1
        self.report.resumes_from_copy += plan.source is not None
        source = "prompt" if plan.source is None else "copy"
        self._context.metrics.resumes.labels(source).inc()

    def _relay(
        self,
        plan: _Plan,
        connection: target_connection.TargetConnection,
        reading: "_Reading",
    ) -> None:
        """Passes the events of one attempt on until the stream is complete."""
        self._started = False
        quiet = silence.Silence(
            self._admission.route.longest_pause_s,
            self._admission.route.objective_s,
            plan.copy_holder is not None,
            clock.now_s(),
        )
        head = self._wait(connection.read_head, plan.entry, quiet)
        self._check(head, connection, plan.entry, quiet)
        keeper = self._keeper(plan)
        keeper.start()
        try:
            self._pass_events(plan, connection, reading, quiet, head)
        finally:
            keeper.stop()
            if self._started:
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
        reading: "_Reading",
        quiet: silence.Silence,
        head: target_connection.AnswerHead,
    ) -> None:
        """Passes the events of one attempt on until its proper end."""
        frames = event_frames.EventFrames()
        while True:
            data = self._wait(connection.read_data, plan.entry, quiet)
            if data is None:
                break
            try:
                passed = self._events.admit(frames.feed(data))
            except event_frames.BrokenEventError as error:
                raise target_connection.AttemptError(
                    serving.Ending.CORRUPT, str(error)
                ) from error
            if passed:
                if not self._started:
                    self._note_reading(plan, quiet)
                self._started = True
                quiet.note_events(passed.count(b"\n\n"), clock.now_s())
                reading.end()
                self._pass_on(head, passed)
        if frames.incomplete or not self._begun:
            raise target_connection.AttemptError(
                serving.Ending.BROKEN_OFF, "the stream ended within an event"
            )
        self._channel.finish()
        self._context.loads.record_success(plan.entry.target_id, clock.now_s())

    def _note_reading(self, plan: _Plan, quiet: silence.Silence) -> None:
        """Learns the reading time from an attempt that read the prompt."""
        if plan.source is None:
            self._context.reading.record(
                self._admission.pool,
                self._admission.request.prompt_tokens,
                clock.now_s() - quiet.since_s,
            )

    def _check(
        self,
        head: target_connection.AnswerHead,
        connection: target_connection.TargetConnection,
        entry: serving.TargetEntry,
        quiet: silence.Silence,
    ) -> None:
        """Checks that the head begins the stream of this request."""
        answers.check_head(head, self._admission.request, self._context.names)
        target_health.record_load(self._context, entry, head)
        if head.status != 200:
            self._keep_failed_answer(head, connection, entry, quiet)
            raise target_connection.AttemptError(
                serving.Ending.FAILED, f"the target answered {head.status}"
            )
        content_type = wire.single_value(head.headers, b"content-type") or ""
        if not content_type.startswith(wire.EVENT_STREAM.decode()):
            raise target_connection.AttemptError(
                serving.Ending.CORRUPT, f"the answer is {content_type!r}"
            )
        weights = head.value(self._context.names.weights)
        if self._weights is None and wire.whole_number(weights) is not None:
            self._weights = weights

    def _keep_failed_answer(
        self,
        head: target_connection.AnswerHead,
        connection: target_connection.TargetConnection,
        entry: serving.TargetEntry,
        quiet: silence.Silence,
    ) -> None:
        """Keeps the answer of a target that failed the request itself."""
        body = b""
        while len(body) <= MAX_FAILED_ANSWER_BYTES:
            part = self._wait(connection.read_data, entry, quiet)
            if part is None:
                headers = wire.forwarded_headers(head.headers, frozenset())
                self._failed_answer = answers.Answer(
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
        if not self._begun:
            self._begun = True
            report.first_event_s = now_s - self._admission.request.received_at_s
            headers = wire.forwarded_headers(head.headers, frozenset())
            self._channel.begin(head.status, headers)
        else:
            pause_s = now_s - report.last_event_at_s
            report.longest_pause_s = max(report.longest_pause_s, pause_s)
        report.last_event_at_s = now_s
        self._channel.write(data)

    def _wait(
        self,
        read: Callable[[float], _Part],
        entry: serving.TargetEntry,
        quiet: silence.Silence,
    ) -> _Part:
        """Reads until bytes arrive; examines the target when it is silent."""
        while True:
            asked_s = clock.now_s()
            until_s = min(
                quiet.examine_at_s,
                self._answer_by_s(),
                asked_s + MAX_READ_WAIT_S,
            )
            try:
                return read(until_s)
            except target_connection.NothingReceived:
                now_s = clock.now_s()
            if now_s >= self._answer_by_s():
                raise target_connection.AttemptError(
                    serving.Ending.TIMED_OUT, "the time of the request is over"
                )
            if now_s - max(until_s, asked_s) > silence.OWN_STALL_S:
                quiet.restart(now_s)
            elif now_s >= quiet.examine_at_s:
                self._examine(entry, quiet, now_s)

    def _examine(
        self,
        entry: serving.TargetEntry,
        quiet: silence.Silence,
        now_s: float,
    ) -> None:
        """Decides whether a silent target is lost."""
        if not self._admission.route.resumable:
            quiet.target_is_alive(now_s)
            return
        if quiet.started and quiet.too_long(now_s):
            raise target_connection.AttemptError(
                serving.Ending.SILENT,
                f"silent for {now_s - quiet.since_s:.2f} s, probes answered",
            )
        report = self._context.prober.ask(entry)
        if report is None:
            raise target_connection.AttemptError(
                serving.Ending.SILENT, "silent, and a probe was not answered"
            )
        run_id = self._admission.request.request_id
        made = report.events_by_run.get(run_id, 0)
        if quiet.events_were_lost(made):
            self._started = True
            raise target_connection.AttemptError(
                serving.Ending.SILENT,
                f"silent, but the run has made {made} events",
            )
        if quiet.run_is_missing(report, run_id):
            raise target_connection.AttemptError(
                serving.Ending.SILENT, "silent, and the run is not there"
            )
        self._leave_queue(entry, report, quiet)
        quiet.target_is_alive(clock.now_s())

    def _leave_queue(
        self,
        entry: serving.TargetEntry,
        report: serving.TargetReport,
        quiet: silence.Silence,
    ) -> None:
        """Leaves an engine that reads other prompts if one is idle.

        Without an idle engine the prompt would wait again elsewhere, and what
        has been read of it would be read again.
        """
        if quiet.started or self._has_left_queue:
            return
        now_s = clock.now_s()
        waits = self._context.reading.has_waited(
            self._admission.pool,
            self._admission.request.prompt_tokens,
            now_s - quiet.since_s,
        )
        if not (waits and report.prompts > 1) and not quiet.too_long(now_s):
            return
        self._better = self._engines.idle_engine(self._query(entry.target_id))
        if self._better is not None:
            self._has_left_queue = True
            raise target_connection.AttemptError(
                serving.Ending.QUEUED,
                f"{report.prompts} prompts are not read yet",
            )

    def _give_up(
        self, ending: serving.Ending | None, reason: str
    ) -> answers.Answer:
        """Returns the final answer, or ends a stream that had begun."""
        if self._begun:
            raise StreamCutError(reason)
        if self._failed_answer is not None:
            return self._failed_answer
        status = self._ledger.final_status(ending)
        retry_after_s = None
        if status == 503:
            retry_after_s = self._context.rng.uniform(*RETRY_AFTER_RANGE_S)
        return answers.refusal(status, reason, retry_after_s)


class StreamCutError(Exception):
    """A stream that had begun could not be completed."""


class _Reading:
    """Counts an attempt whose prompt is being read, until its first event."""

    def __init__(self, load: serving.TargetLoad) -> None:
        self._load = load
        self._counted = True

    def end(self) -> None:
        """Stops counting; further calls do nothing."""
        if self._counted:
            self._counted = False
            self._load.reading -= 1
