"""Gives the memory of the process to client connections.

The decisions are those of `serving.MemoryBudget`. This module wakes the
connections that get memory, ends those that are chosen, and reports it: one log
line when memory becomes short and one when there is enough again.
"""

from collections.abc import Iterator
import contextlib
from typing import Protocol

import gevent

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import connection_memory
from rattanpulleyd._internal.relay import decision_log
from rattanpulleyd._internal.relay import relay_metrics

CHECK_INTERVAL_S = 0.1
# An episode is over when nobody has waited or was ended for this long.
EPISODE_GAP_S = 5.0


class NoMemoryError(Exception):
    """There is not enough memory at the moment."""


class ByteHolder(Protocol):
    """A connection that holds memory."""

    @property
    def memory(self) -> connection_memory.ConnectionMemory:
        """Memory of the connection."""

    def has_moved(self) -> bool:
        """Returns whether bytes have moved since the last call.

        Bytes may have arrived that are not read yet, or the client may have
        acknowledged some.
        """


class ByteBudget:
    """The memory of all client connections of a process."""

    def __init__(
        self,
        memory_bytes: int,
        log: decision_log.DecisionLog,
        metrics: relay_metrics.RelayMetrics,
    ) -> None:
        """Creates the budget of a process.

        Args:
            memory_bytes: Memory of the machine.
            log: Log of decisions.
            metrics: Counters of the process.
        """
        self._budget = serving.MemoryBudget(
            serving.memory_budget_bytes(memory_bytes)
        )
        self._log = log
        self._metrics = metrics
        self._holder_by_reservation: dict[
            serving.MemoryReservation, ByteHolder
        ] = {}
        self._is_short = False
        self._short_since_s = 0.0
        self._last_short_s = 0.0
        self._ended_count = 0
        metrics.memory_held_bytes.set_function(lambda: self._budget.held_bytes)
        metrics.memory_budget_bytes.set_function(
            lambda: self._budget.total_bytes
        )

    @property
    def affordable_connections(self) -> int:
        """How many connections the budget allows."""
        return self._budget.affordable_connections

    def set_memory(self, memory_bytes: int) -> None:
        """Applies a changed memory of the machine; nobody loses memory."""
        self._budget.set_total(serving.memory_budget_bytes(memory_bytes))
        self._wake_next()

    def set_max_connections(self, count: int) -> None:
        """Sets the number of connections that the process accepts."""
        self._budget.set_max_connections(count)

    def new_memory(self) -> connection_memory.ConnectionMemory:
        """Returns the memory of a new connection; its caller closes it."""
        return connection_memory.ConnectionMemory(self._budget, self._wake_next)

    def add(self, holder: ByteHolder) -> None:
        """Adds a connection that may be ended."""
        self._holder_by_reservation[holder.memory.reservation] = holder

    def remove(self, holder: ByteHolder) -> None:
        """Removes a connection that has ended."""
        self._holder_by_reservation.pop(holder.memory.reservation, None)

    @contextlib.contextmanager
    def reserved(self, size_bytes: int) -> Iterator[None]:
        """Reserves memory in the block, for an interface that cannot wait.

        Raises:
            NoMemoryError: There is not enough.
        """
        memory = self.new_memory()
        try:
            memory.set_phase(serving.ConnectionPhase.RUNNING)
            if not memory.hold_answer(size_bytes, clock.now_s()):
                raise NoMemoryError
            yield
        finally:
            memory.close()

    def _wake_next(self) -> None:
        """Wakes the connection that can reserve what has become free."""
        reservation = self._budget.grantable()
        if reservation is not None:
            holder = self._holder_by_reservation.get(reservation)
            if holder is not None:
                holder.memory.grant()

    def run_forever(self) -> None:
        """Ends connections while memory is short."""
        while True:
            gevent.sleep(CHECK_INTERVAL_S)
            self.check()

    def check(self) -> None:
        """Ends connections that the budget chooses, and reports it."""
        now_s = clock.now_s()
        if self._budget.waiting_count or self._budget.is_crowded:
            self._begin_episode(now_s)
            self._note_progress(now_s)
            for ending in self._budget.choose_endings(now_s):
                self._end(ending)
        elif self._is_short and now_s - self._last_short_s >= EPISODE_GAP_S:
            self._end_episode(now_s)
        # A grant that was not used, since its connection was ended.
        self._wake_next()

    def _note_progress(self, now_s: float) -> None:
        """Notes what has moved although nobody has read or written it."""
        for reservation, holder in self._holder_by_reservation.items():
            is_quiet = reservation.stalled_s(now_s) >= CHECK_INTERVAL_S
            if is_quiet and holder.has_moved():
                holder.memory.record_progress()

    def _end(self, ending: serving.ConnectionEnding) -> None:
        holder = self._holder_by_reservation[ending.reservation]
        self._ended_count += 1
        self._metrics.memory_refusals.labels(
            ending.reservation.phase.value, ending.cause.value
        ).inc()
        holder.memory.end(ending.cause)

    def _begin_episode(self, now_s: float) -> None:
        self._last_short_s = now_s
        if self._is_short:
            return
        self._is_short = True
        self._short_since_s = now_s
        self._ended_count = 0
        self._log.change(
            "clients.memory_short",
            held_bytes=self._budget.held_bytes,
            budget_bytes=self._budget.total_bytes,
            connections=self._budget.connection_count,
            waiting=self._budget.waiting_count,
        )

    def _end_episode(self, now_s: float) -> None:
        self._is_short = False
        self._log.change(
            "clients.memory_enough",
            held_bytes=self._budget.held_bytes,
            budget_bytes=self._budget.total_bytes,
            lasted_s=round(now_s - self._short_since_s, 3),
            ended=self._ended_count,
        )
