"""Generation core: dispatches events to handlers and runs periodic work."""

from collections.abc import Callable
import dataclasses
import random
from typing import Any

from rattanpulley_core._internal.generations import actions
from rattanpulley_core._internal.generations import callers
from rattanpulley_core._internal.generations import checks
from rattanpulley_core._internal.generations import context
from rattanpulley_core._internal.generations import crashes
from rattanpulley_core._internal.generations import events
from rattanpulley_core._internal.generations import expiry
from rattanpulley_core._internal.generations import failures
from rattanpulley_core._internal.generations import migration
from rattanpulley_core._internal.generations import placement
from rattanpulley_core._internal.generations import probes
from rattanpulley_core._internal.generations import rows
from rattanpulley_core._internal.generations import stalls
from rattanpulley_core._internal.generations import streams
from rattanpulley_core._internal.resume_token import signer as token_signer
from rattanpulley_core._internal.suspects import reports
from rattanpulley_core._internal.targets import choosers
from rattanpulley_core._internal.targets import table as target_table

_State = rows.GenerationState

_AttemptHandler = Callable[
    [context.Context, rows.Generation, rows.Attempt, Any, float], None
]
_Handler = Callable[[context.Context, Any, float], None]

# Handlers of attempt events by generation state. Events without an entry are
# counted and ignored. States without a current attempt have no entries.
_ATTEMPT_HANDLERS: dict[
    tuple[_State, type[events.AttemptEvent]], _AttemptHandler
] = {
    (_State.STARTING, events.AttemptAccepted): streams.on_accepted,
    (_State.STARTING, events.TokensReceived): streams.on_tokens,
    (_State.STARTING, events.AttemptFinished): streams.on_finished,
    (_State.STARTING, events.AttemptFailed): failures.on_failed,
    (_State.ATTACHING, events.AttemptAccepted): streams.on_accepted,
    (_State.ATTACHING, events.TokensReceived): streams.on_tokens,
    (_State.ATTACHING, events.AttemptFinished): streams.on_finished,
    (_State.ATTACHING, events.AttemptFailed): failures.on_failed,
    (_State.PREFILLING, events.TokensReceived): streams.on_tokens,
    (_State.PREFILLING, events.AttemptFinished): streams.on_finished,
    (_State.PREFILLING, events.AttemptFailed): failures.on_failed,
    (_State.STREAMING, events.AttemptAccepted): streams.on_accepted_late,
    (_State.STREAMING, events.TokensReceived): streams.on_tokens,
    (_State.STREAMING, events.AttemptFinished): streams.on_finished,
    (_State.STREAMING, events.AttemptFailed): failures.on_failed,
}

_HANDLERS: dict[type[events.Event], _Handler] = {
    events.CallerConnected: callers.on_connected,
    events.CallerDisconnected: callers.on_disconnected,
    events.ProbeSucceeded: probes.on_succeeded,
    events.ProbeFailed: probes.on_failed,
}


@dataclasses.dataclass(frozen=True, slots=True)
class CoreStatus:
    """Snapshot of the core's state for operators.

    Attributes:
        active_count: Number of generations with at least one caller.
        generations_by_state: Number of generations by state name.
        counters_by_name: Event counts since the start.
        journal_bytes: Total size of all journals in bytes.
        suspect_count: Number of requests with a crash report.
    """

    active_count: int
    generations_by_state: dict[str, int]
    counters_by_name: dict[str, int]
    journal_bytes: int
    suspect_count: int


class GenerationCore:
    """State machine that turns events from callers and targets into actions.

    The core does no I/O. Its user carries out the returned actions in order
    and reports what happens as events.
    """

    def __init__(
        self,
        *,
        target_table: target_table.TargetTable,
        chooser: choosers.TargetChooser,
        signer: token_signer.Signer,
        suspect_table: reports.SuspectTable,
        rng: random.Random,
    ) -> None:
        self._ctx = context.Context(
            target_table=target_table,
            chooser=chooser,
            signer=signer,
            suspect_table=suspect_table,
            rng=rng,
        )

    @property
    def is_empty(self) -> bool:
        """Whether no generation is in memory, so that ticks can be rarer."""
        return not self._ctx.generations_by_id

    @property
    def active_count(self) -> int:
        """Number of generations with at least one caller."""
        return sum(
            bool(generation.callers)
            for generation in self._ctx.generations_by_id.values()
        )

    def handle(self, event: events.Event, now_s: float) -> list[actions.Action]:
        """Handles an event.

        Args:
            event: The event.
            now_s: Monotonic time of the event.

        Returns:
            Actions to carry out, in order.
        """
        ctx = self._ctx
        handler = _HANDLERS.get(type(event))
        if handler is None:
            assert isinstance(event, events.AttemptEvent)
            self._handle_attempt_event(event, now_s)
        else:
            handler(ctx, event, now_s)
        return ctx.pop_actions()

    def tick(self, now_s: float) -> list[actions.Action]:
        """Runs timeouts and other periodic work; called every 50 ms.

        Args:
            now_s: Current monotonic time.

        Returns:
            Actions to carry out, in order.
        """
        ctx = self._ctx
        probes.expire(ctx, now_s)
        probes.probe_lost_targets(ctx, now_s)
        stalls.run(ctx, now_s)
        migration.run(ctx, now_s)
        crashes.run(ctx, now_s)
        expiry.run(ctx, now_s)
        placement.place_all_queued(ctx, now_s)
        placement.expire_queued(ctx, now_s)
        ctx.suspects.expire(now_s)
        return ctx.pop_actions()

    def set_draining(self) -> None:
        """Starts draining: new requests are refused, running ones finish."""
        self._ctx.draining = True

    def status(self, now_s: float) -> CoreStatus:
        """Returns a snapshot for operators at monotonic `now_s`."""
        ctx = self._ctx
        by_state = {state.name.lower(): 0 for state in _State}
        journal_bytes = 0
        for generation in ctx.generations_by_id.values():
            by_state[generation.state.name.lower()] += 1
            journal_bytes += generation.journal.size_bytes()
        return CoreStatus(
            active_count=self.active_count,
            generations_by_state=by_state,
            counters_by_name=dataclasses.asdict(ctx.counters),
            journal_bytes=journal_bytes,
            suspect_count=len(ctx.suspects),
        )

    def _handle_attempt_event(
        self, event: events.AttemptEvent, now_s: float
    ) -> None:
        ctx = self._ctx
        generation = ctx.generations_by_id.get(event.generation_id)
        attempt = generation.attempt if generation is not None else None
        if (
            generation is None
            or attempt is None
            or not checks.is_current_attempt(attempt, event.attempt)
        ):
            ctx.counters.stale_events += 1
            return
        handler = _ATTEMPT_HANDLERS.get((generation.state, type(event)))
        if handler is None:
            ctx.counters.unexpected_events += 1
            return
        handler(ctx, generation, attempt, event, now_s)
