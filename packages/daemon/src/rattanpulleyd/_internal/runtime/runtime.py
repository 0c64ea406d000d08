"""Passes events to the generation core and executes its actions."""

from collections.abc import Callable
import itertools
from typing import Any

import gevent

from rattanpulley_core import generations
from rattanpulley_core import interfaces
from rattanpulley_core import limits
from rattanpulley_core import tables
from rattanpulley_core import targets
from rattanpulleyd._internal.runtime import health
from rattanpulleyd._internal.telemetry import counters
from rattanpulleyd._internal.telemetry import logs

TICK_INTERVAL_S = 0.05
# Without generations, ticks only probe lost targets, every 0.5 s. A new
# generation starts immediately and needs no tick during its first second.
IDLE_TICK_INTERVAL_S = 0.25

_Counter = counters.Counter


class Runtime:
    """Owns the core components of one daemon.

    All methods run in greenlets of one thread, and none except `run_ticks`
    yields, so that an event and its actions are never interleaved with another
    event.
    """

    def __init__(
        self,
        *,
        clock: interfaces.Clock,
        core: generations.GenerationCore,
        target_table: targets.TargetTable,
        config: tables.ConfigState,
        engine: interfaces.EngineApi,
        counts: counters.Counters,
    ) -> None:
        """Connects the components.

        Without an `on_crash_report` callback, crash reports are only counted.

        Args:
            clock: Source of time.
            core: The generation core.
            target_table: Targets that the generation core chooses from.
            config: The active tables.
            engine: Client of the engines.
            counts: Counters of the daemon.
        """
        self.clock = clock
        self.core = core
        self.config = config
        self.counts = counts
        self.target_table = target_table
        self.draining = False
        self.on_crash_report: (
            Callable[[generations.PublishCrashReport], None] | None
        ) = None
        self.on_clearance: Callable[[str], None] | None = None
        self.limits = limits.AccountLimits()
        self.health: health.HealthObserver = health.NullObserver()
        self._engine = engine
        self._callers_by_id: dict[int, interfaces.CallerStream] = {}
        self._caller_ids = itertools.count(1)
        self._longest_gap_s = 0.0
        self._log = logs.StateLog()
        # Targets that were ever in a state other than live. Others are not
        # logged.
        self._logged_targets: set[str] = set()
        self._handlers: dict[type[generations.Action], Callable[[Any], None]]
        self._handlers = {
            generations.StartAttempt: self._start,
            generations.AttachAttempt: self._attach,
            generations.CancelAttempt: engine.cancel,
            generations.ProbeTarget: self._probe,
            generations.DeliverTokens: self._deliver,
            generations.FinishAnswer: self._finish,
            generations.FailAnswer: self._fail,
            generations.PublishCrashReport: self._publish_crash_report,
            generations.PublishClearance: self._publish_clearance,
            generations.AttemptOutcome: self._end_attempt,
        }

    def feed(self, event: generations.Event) -> None:
        """Handles one event and executes the resulting actions.

        Args:
            event: The event.
        """
        if type(event) is generations.TokensReceived:
            self.counts.count(_Counter.TOKENS_RECEIVED, len(event.tokens))
        elif type(event) is generations.AttemptFailed:
            self.counts.count(_Counter.ATTEMPTS_FAILED)
        now_s = self.clock.monotonic_s()
        self._execute(self.core.handle(event, now_s))

    def tick(self) -> None:
        """Runs one pass of the time-dependent work."""
        self._execute(self.core.tick(self.clock.monotonic_s()))

    def next_caller_id(self) -> int:
        """Returns a unique id for a caller's connection."""
        return next(self._caller_ids)

    def add_caller(
        self,
        caller_id: int,
        stream: interfaces.CallerStream,
        request: generations.GenerationRequest,
        resume: generations.ResumePoint | None,
    ) -> None:
        """Registers a caller and starts or resumes its generation.

        Args:
            caller_id: Id from `next_caller_id`.
            stream: Receives the response.
            request: The routed request.
            resume: Position at which a reconnecting caller resumes, or None.
        """
        self._callers_by_id[caller_id] = stream
        self.feed(generations.CallerConnected(caller_id, request, resume))

    def remove_caller(self, caller_id: int, generation_id: str) -> None:
        """Unregisters a caller whose connection ended.

        Args:
            caller_id: Id from `next_caller_id`.
            generation_id: The generation of the caller.
        """
        if self._callers_by_id.pop(caller_id, None) is not None:
            self.counts.count(_Counter.CALLERS_LEFT)
            self.feed(generations.CallerDisconnected(caller_id, generation_id))

    def apply_table(self, kind: tables.TableKind) -> None:
        """Applies an accepted table to the target table.

        Args:
            kind: The table that was accepted.
        """
        if kind is tables.TableKind.POOLS:
            now_s = self.clock.monotonic_s()
            self.target_table.apply_pools(self.config.pools, now_s)

    def apply_hosts(self, entries: list[interfaces.HostEntry]) -> None:
        """Applies the host list to the target table.

        Args:
            entries: Rows of the host list.
        """
        self.target_table.apply_hosts(entries, self.clock.monotonic_s())

    def set_draining(self) -> None:
        """Rejects new requests from now on."""
        self.draining = True
        self.core.set_draining()

    def run_ticks(self) -> None:
        """Ticks until the greenlet is killed and measures event loop delays."""
        last_s = self.clock.monotonic_s()
        while True:
            wait_s = (
                IDLE_TICK_INTERVAL_S if self.core.is_empty else TICK_INTERVAL_S
            )
            gevent.sleep(wait_s)
            now_s = self.clock.monotonic_s()
            gap_s = now_s - last_s - wait_s
            self._longest_gap_s = max(self._longest_gap_s, gap_s)
            last_s = now_s
            self.tick()

    def pop_longest_gap_s(self) -> float:
        """Returns and resets the longest event loop delay, in seconds."""
        gap_s = self._longest_gap_s
        self._longest_gap_s = 0.0
        return gap_s

    def log_target_states(self) -> None:
        """Logs the targets whose state changed since the last call."""
        live = targets.TargetState.LIVE
        for target in self.target_table.targets_by_name.values():
            if target.state is not live or target.name in self._logged_targets:
                self._logged_targets.add(target.name)
                self._log.log_change(
                    f"target {target.name}", target.state.value
                )

    def _execute(self, actions: list[generations.Action]) -> None:
        """Executes actions in order."""
        for action in actions:
            self._handlers[type(action)](action)

    def _start(self, action: generations.StartAttempt) -> None:
        target = self.target_table.get(action.target)
        if target is not None and not action.resume_tokens:
            self.health.attempt_started(
                action.generation_id, action.attempt, target.pool
            )
        self._engine.start(action, self.feed)

    def _attach(self, action: generations.AttachAttempt) -> None:
        self._engine.attach(action, self.feed)

    def _probe(self, action: generations.ProbeTarget) -> None:
        self._engine.probe(action, self.feed)

    def _deliver(self, action: generations.DeliverTokens) -> None:
        stream = self._callers_by_id.get(action.caller_id)
        if stream is not None:
            count = len(action.tokens)
            self.counts.count(_Counter.TOKENS_DELIVERED, count)
            stream.deliver(action)

    def _finish(self, action: generations.FinishAnswer) -> None:
        stream = self._callers_by_id.pop(action.caller_id, None)
        if stream is not None:
            self.counts.count(_Counter.ANSWERS_FINISHED)
            stream.finish(action)

    def _fail(self, action: generations.FailAnswer) -> None:
        stream = self._callers_by_id.pop(action.caller_id, None)
        if stream is not None:
            self.counts.count(_Counter.ANSWERS_FAILED)
            stream.fail(action)

    def _publish_clearance(self, action: generations.PublishClearance) -> None:
        if self.on_clearance is not None:
            self.on_clearance(action.fingerprint)

    def _end_attempt(self, action: generations.AttemptOutcome) -> None:
        self.health.attempt_ended(action)

    def _publish_crash_report(
        self, action: generations.PublishCrashReport
    ) -> None:
        self.counts.count(_Counter.CRASH_REPORTS)
        if self.on_crash_report is not None:
            self.on_crash_report(action)
