"""Waits for the bytes of a stream and examines its target when it is silent."""

from collections.abc import Callable
import dataclasses
from typing import TypeVar

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import context as context_lib
from rattanpulleyd._internal.relay import engine_choice
from rattanpulleyd._internal.relay import silence
from rattanpulleyd._internal.relay import target_connection
from rattanpulleyd._internal.relay import tries as tries_lib

# A waiting stream notices a changed timeout within this time.
MAX_READ_WAIT_S = 0.25

_Part = TypeVar("_Part")


@dataclasses.dataclass(slots=True)
class QueueExit:
    """The one time that a request may leave a queue of prompts.

    Attributes:
        used: Whether it has left one.
        engine: Idle engine that it goes to next, or None.
    """

    used: bool = False
    engine: serving.TargetEntry | None = None


class StreamWatch:
    """Watches one attempt of a stream.

    Attributes:
        quiet: Silence of the attempt.
        run_began: Whether the target is known to have made events.
    """

    def __init__(
        self,
        context: context_lib.RelayContext,
        admission: context_lib.Admission,
        tries: tries_lib.Tries,
        entry: serving.TargetEntry,
        has_copy: bool,
        queue_exit: QueueExit,
    ) -> None:
        """Begins to watch.

        Args:
            context: State of the process.
            admission: The request.
            tries: Attempts of the request.
            entry: Target of this attempt.
            has_copy: Whether a copy of the run's memory is kept elsewhere.
            queue_exit: Shared by all attempts of the request.
        """
        self._context = context
        self._admission = admission
        self._tries = tries
        self._entry = entry
        self._queue_exit = queue_exit
        self.run_began = False
        self.quiet = silence.Silence(
            admission.route.longest_pause_s,
            admission.route.objective_s,
            has_copy,
            clock.now_s(),
        )

    def wait(self, read: Callable[[float], _Part]) -> _Part:
        """Reads until bytes arrive.

        Raises:
            target_connection.AttemptError: The target is lost or left, or the
                time of the request is over.
        """
        quiet = self.quiet
        while True:
            asked_s = clock.now_s()
            until_s = min(
                quiet.examine_at_s,
                self._tries.answer_by_s(),
                asked_s + MAX_READ_WAIT_S,
            )
            try:
                return read(until_s)
            except target_connection.NothingReceived:
                now_s = clock.now_s()
            if now_s >= self._tries.answer_by_s():
                raise target_connection.AttemptError(
                    serving.FailureKind.TIMED_OUT,
                    "the time of the request is over",
                )
            if now_s - max(until_s, asked_s) > silence.OWN_STALL_S:
                quiet.restart(now_s)
            elif now_s >= quiet.examine_at_s:
                self._examine(now_s)

    def note_events(self, count: int) -> None:
        """Notes that whole events arrived."""
        self.run_began = True
        self.quiet.note_events(count, clock.now_s())

    def _examine(self, now_s: float) -> None:
        """Decides whether a silent target is lost."""
        quiet = self.quiet
        if not self._admission.route.resumable:
            quiet.target_is_alive(now_s)
            return
        if quiet.started and quiet.too_long(now_s):
            silent_s = now_s - quiet.since_s
            raise _silent(f"silent for {silent_s:.2f} s, probes answered")
        report = self._context.prober.ask(self._entry)
        if report is None:
            raise _silent("silent, and a probe was not answered")
        run_id = self._admission.request.request_id
        made = report.events_by_run.get(run_id, 0)
        if quiet.events_were_lost(made):
            self.run_began = True
            raise _silent(f"silent, but the run has made {made} events")
        if quiet.run_is_missing(report, run_id):
            raise _silent("silent, and the run is not there")
        self._leave_queue(report)
        quiet.target_is_alive(clock.now_s())

    def _leave_queue(self, report: serving.TargetReport) -> None:
        """Leaves an engine that reads other prompts if one is idle.

        Without an idle engine the prompt would wait again elsewhere, and what
        has been read of it would be read again.
        """
        if self.quiet.started or self._queue_exit.used:
            return
        now_s = clock.now_s()
        request = self._admission.request
        wait = serving.PrefillWait(
            since_sent_s=now_s - self.quiet.since_s,
            since_request_s=now_s - request.received_at_s,
            prompts=report.prompts,
            objective_s=self._admission.route.objective_s,
        )
        reading = self._context.reading
        if not reading.should_move(
            self._admission.pool, request.prompt_tokens, wait
        ):
            return
        engine = engine_choice.EngineChoice(self._context).idle_engine(
            prompt_query(self._admission, self._tries, self._entry.target_id)
        )
        if engine is not None:
            self._queue_exit.used = True
            self._queue_exit.engine = engine
            raise target_connection.AttemptError(
                serving.FailureKind.QUEUED,
                f"{report.prompts} prompts are not read yet",
            )


def prompt_query(
    admission: context_lib.Admission,
    tries: tries_lib.Tries,
    *others: str,
) -> serving.PlacementQuery:
    """Returns what an engine is wanted for.

    Args:
        admission: The request.
        tries: Its attempts; their targets are left out.
        others: Further targets to leave out.
    """
    return serving.PlacementQuery(
        admission.pool,
        frozenset((*tries.tried_ids, *others)),
        needs_prefill=True,
        prefers_canary=tries.on_trial,
    )


def _silent(reason: str) -> target_connection.AttemptError:
    return target_connection.AttemptError(
        serving.FailureKind.UNRESPONSIVE, reason
    )
