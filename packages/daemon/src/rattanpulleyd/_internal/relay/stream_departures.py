"""Decides whether a stream leaves a silent target, and for which one.

A silent target may be sound. The stream stays unless another target is known to
answer, and unless attempts and retry budget are left: otherwise leaving would
end a stream that its target may still complete.
"""

import dataclasses

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import attempts as attempts_lib
from rattanpulleyd._internal.relay import context as context_lib
from rattanpulleyd._internal.relay import engine_selection
from rattanpulleyd._internal.relay import memory_copies


@dataclasses.dataclass(slots=True)
class StreamTransfer:
    """Where the next attempt of a stream goes; shared by all its attempts.

    Attributes:
        left_queue: Whether the request has moved from a prefill queue to an
            idle engine, which happens at most once.
        next_engine: Engine chosen for the next attempt, or None.
    """

    left_queue: bool = False
    next_engine: serving.TargetEntry | None = None


class StreamDepartures:
    """The departures of one stream from silent targets."""

    def __init__(
        self,
        context: context_lib.RelayContext,
        admission: context_lib.Admission,
        attempts: attempts_lib.RequestAttempts,
        transfer: StreamTransfer,
    ) -> None:
        """Creates an instance for a stream that has left no target.

        Args:
            context: State of the process.
            admission: The request.
            attempts: Attempts of the request.
            transfer: Receives the engine for the next attempt.
        """
        self._admission = admission
        self._attempts = attempts
        self._transfer = transfer
        self._departures = serving.SilenceDepartures()
        self._engine_selector = engine_selection.EngineSelector(context)

    def prepare(
        self,
        entry: serving.TargetEntry,
        silent_s: float,
        copy: memory_copies.MemoryCopy | None,
    ) -> str | None:
        """Prepares the departure from a silent target.

        Args:
            entry: The silent target.
            silent_s: Seconds since it has sent an event.
            copy: Usable copy of the run's memory, or None.

        Returns:
            None if the stream leaves now, otherwise why it stays.
        """
        left = self._attempts.left_after_current
        if not self._departures.may_leave(silent_s, left):
            return f"{left} attempts left"
        if not self._find_next(entry, copy):
            return "no other target answers"
        if not self._attempts.reserve_retry():
            self._transfer.next_engine = None
            return "no retry budget"
        self._departures.record()
        return None

    def _find_next(
        self,
        entry: serving.TargetEntry,
        copy: memory_copies.MemoryCopy | None,
    ) -> bool:
        """Returns whether a target for the next attempt answers a probe."""
        if copy is not None and self._engine_selector.answers(copy.holder):
            return True
        query = serving.PlacementQuery(
            self._admission.pool,
            frozenset((entry.target_id,)),
            needs_prefill=True,
        )
        engine = self._engine_selector.answering_engine(query)
        self._transfer.next_engine = engine
        return engine is not None
