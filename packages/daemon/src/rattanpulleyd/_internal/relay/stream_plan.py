"""Plans the attempts of a stream: its next target and its memory copies."""

import collections
import dataclasses

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import admission_wait
from rattanpulleyd._internal.relay import attempts as attempts_lib
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import context as context_lib
from rattanpulleyd._internal.relay import engine_selection
from rattanpulleyd._internal.relay import memory_copies
from rattanpulleyd._internal.relay import stream_departures
from rattanpulleyd._internal.relay import stream_monitor
from rattanpulleyd._internal.relay import target_connection
from rattanpulleyd._internal.relay import wire

# How long a stream waits for a target before it is refused. One that has
# started waits as long as its client.
NO_TARGET_WAIT_S = 0.5
NO_TARGET_POLL_S = 0.02
# Engines keep the memory of a run that has ended for a few seconds.
MAX_COPY_AGE_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptPlan:
    """The target and the memory copies of the next attempt.

    Attributes:
        entry: The target.
        copy_reference: Memory copy to continue from, or None.
        copy_holder: Target that will store a memory copy, or None.
    """

    entry: serving.TargetEntry
    copy_reference: str | None
    copy_holder: serving.TargetEntry | None


class StreamPlanner:
    """Chooses the targets of one stream.

    Attributes:
        room_wait: The wait of the stream for memory on an engine.
    """

    def __init__(
        self,
        context: context_lib.RelayContext,
        admission: context_lib.Admission,
        attempts: attempts_lib.RequestAttempts,
        transfer: stream_departures.StreamTransfer,
    ) -> None:
        """Creates a planner that knows no memory copy.

        Args:
            context: State of the process.
            admission: The request.
            attempts: Attempts of the request.
            transfer: Shared by all attempts of the request.
        """
        self._context = context
        self._admission = admission
        self._attempts = attempts
        self._transfer = transfer
        self._engine_selector = engine_selection.EngineSelector(context)
        self.room_wait = admission_wait.AdmissionWait(
            context, admission, attempts
        )
        self._copy: memory_copies.MemoryCopy | None = None
        self._copy_left_at_s = 0.0

    def keep_copy(self, copy: memory_copies.MemoryCopy | None) -> None:
        """Keeps the memory copy that an attempt has left for the next one."""
        self._copy = copy
        self._copy_left_at_s = clock.now_s()

    def next_plan(self, started: bool, events: int = 0) -> AttemptPlan | None:
        """Returns the next attempt, or None if none is possible in time.

        Args:
            started: Whether the client has a part of the stream.
            events: Events that the client has.
        """
        self.room_wait.begin(events, started)
        chosen, self._transfer.next_engine = self._transfer.next_engine, None
        copy, self._copy = self._copy, None
        age_s = clock.now_s() - self._copy_left_at_s
        if (
            copy is not None
            and age_s <= MAX_COPY_AGE_S
            and self._context.availability.reason_of(copy.holder, clock.now_s())
            is None
            and self._attempts.last in serving.FAILURES_AFTER_START
        ):
            return self._plan_from_copy(copy, chosen)
        if chosen is not None:
            return self._make_plan(chosen, None)
        with self.room_wait.waiting():
            entry = self._wait_for_engine(started)
        return self._make_plan(entry, None) if entry is not None else None

    def _wait_for_engine(self, started: bool) -> serving.TargetEntry | None:
        """Returns the engine of the next attempt, or None if none is in time.

        Args:
            started: Whether the client has a part of the stream.
        """
        wait_end_s = self._wait_end_s(started)
        while True:
            entry = self._choose_engine() if self.room_wait.may_ask() else None
            if entry is not None or self.room_wait.is_rejected:
                return entry
            if self.room_wait.is_held:
                # Engines answer, so that the wait for a target starts anew.
                wait_end_s = self._wait_end_s(started)
            now_s = clock.now_s()
            # A stop of the host or another timeout may come meanwhile.
            until_s = min(wait_end_s, self._attempts.deadline_s())
            if now_s >= until_s or self._is_hopeless(started, until_s - now_s):
                return None
            check_in_s = min(self.room_wait.check_in_s(), until_s - now_s)
            target_connection.pause(max(NO_TARGET_POLL_S, check_in_s))

    def _wait_end_s(self, started: bool) -> float:
        """Returns when a stream gives up that finds no target from now on."""
        return float("inf") if started else clock.now_s() + NO_TARGET_WAIT_S

    def _is_hopeless(self, started: bool, wait_s: float) -> bool:
        """Returns whether no target is back within the wait of a stream."""
        if started or self.room_wait.is_held:
            return False
        shortage = self._context.placement.shortage(
            self._admission.pool, clock.now_s()
        )
        return shortage.outlasts(wait_s)

    def _choose_engine(self) -> serving.TargetEntry | None:
        """Returns the engine for an attempt without a memory copy, or None."""
        if not self._attempts.returns_to_tried or self._have_tried_ended():
            return self._engine_selector.choose(
                self._prefill_query(),
                self._admission.request.request_id,
                self.room_wait,
            )
        return self._choose_tried_engine()

    def _have_tried_ended(self) -> bool:
        """Returns whether no engine that was tried is left.

        Those that have ended do not count towards the attempts of a route.
        """
        return not any(
            self._context.targets.entry(target_id)
            for target_id in self._attempts.tried_ids
        )

    def _choose_tried_engine(self) -> serving.TargetEntry | None:
        """Returns the engine that was tried least often and answers, or None.

        An engine that was left while it was silent comes before those that
        have refused the stream again and again. One that has started again in
        another pool must not get it.
        """
        tries_by_id = collections.Counter(self._attempts.tried_ids)
        for tries in sorted(set(tries_by_id.values())):
            entries = [
                entry
                for target_id, count in tries_by_id.items()
                if count == tries
                and (entry := self._context.targets.entry(target_id))
                and entry.pool == self._admission.pool
            ]
            engine = self._engine_selector.choose_among(
                self._context.availability.available(entries, clock.now_s())
            )
            if engine is not None:
                return engine
        return None

    def _plan_from_copy(
        self,
        copy: memory_copies.MemoryCopy,
        chosen: serving.TargetEntry | None,
    ) -> AttemptPlan:
        """Continues from a copy unless its holder is silent and others answer.

        A copy at a silent holder would use up an attempt.

        Args:
            copy: The copy.
            chosen: Engine that has answered a probe, or None.
        """
        if self._engine_selector.answers(copy.holder):
            return self._make_plan(copy.holder, copy.reference)
        engine = chosen or self._engine_selector.answering_engine(
            self._prefill_query()
        )
        if engine is not None:
            return self._make_plan(engine, None)
        return self._make_plan(copy.holder, copy.reference)

    def _prefill_query(self) -> serving.PlacementQuery:
        return stream_monitor.prefill_query(self._admission, self._attempts)

    def _make_plan(
        self, entry: serving.TargetEntry, copy_reference: str | None
    ) -> AttemptPlan:
        self.room_wait.record_sent(entry)
        holder = None
        pool = self._admission.pool
        config = self._context.cached_config.config
        row = config.pools_by_name.get(pool) if config is not None else None
        copies = row is not None and row.copies_memory
        if copies and self._admission.route.resumable:
            holder = self._engine_selector.choose_holder(pool, entry)
        return AttemptPlan(entry, copy_reference, holder)


def attempt_headers(
    names: wire.HeaderNames,
    plan: AttemptPlan,
    last_id: int | None,
    weights: str | None,
) -> wire.Headers:
    """Returns the headers that only one attempt has.

    Args:
        names: Header names of the deployment.
        plan: The attempt.
        last_id: Id of the last event that the client has, or None.
        weights: Weights that made the first part of the answer, or None.
    """
    extra: list[tuple[bytes, bytes]] = []
    if last_id is not None or plan.copy_reference is not None:
        extra.append((b"Last-Event-Id", b"%d" % (last_id or 0)))
    if weights is not None:
        extra.append((names.expected_weights, weights.encode()))
    if plan.copy_holder is not None:
        holder = plan.copy_holder.address.encode()
        extra.append((names.copy_memory_to, holder))
    if plan.copy_reference is not None:
        extra.append((names.continue_from, plan.copy_reference.encode()))
    return tuple(extra)
