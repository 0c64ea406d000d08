"""The memory of one client connection, and how the connection is ended for it.

A greenlet that waits for its client or for memory marks itself as waiting. Only
there is a connection ended, so that no other work is interrupted.
"""

from collections.abc import Callable, Iterator
import contextlib

import gevent
from gevent import event

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import clock


class EndedForMemoryError(Exception):
    """The connection is ended because memory or connections are short.

    Attributes:
        cause: Why this connection was chosen.
    """

    def __init__(self, cause: serving.EndCause) -> None:
        super().__init__(cause.value)
        self.cause = cause


class ConnectionMemory:
    """The reservation of one connection."""

    def __init__(
        self, budget: serving.MemoryBudget, on_change: Callable[[], None]
    ) -> None:
        """Reserves the memory of a connection.

        Args:
            budget: Budget of the process.
            on_change: Called when memory has become free.
        """
        self.reservation = budget.open(clock.now_s())
        self._budget = budget
        self._on_change = on_change
        self._granted = event.Event()
        self._waiter: gevent.Greenlet | None = None
        self._cause: serving.EndCause | None = None

    def begin_wait(self) -> None:
        """Begins the wait for another request; frees what the last one held."""
        self._free(serving.MemoryUse.REQUEST, serving.MemoryUse.ANSWER)
        self.reservation.phase = serving.ConnectionPhase.KEPT
        self._begin()

    def begin_request(self) -> None:
        """Begins a request, whose age decides on its turn for memory."""
        self.reservation.phase = serving.ConnectionPhase.HEAD
        self._begin()

    def _begin(self) -> None:
        now_s = clock.now_s()
        self.reservation.began_at_s = now_s
        self.reservation.progress_at_s = now_s

    def set_phase(self, phase: serving.ConnectionPhase) -> None:
        """Notes what the connection is doing from now on."""
        self.record_progress()
        self.reservation.phase = phase

    @contextlib.contextmanager
    def in_phase(self, phase: serving.ConnectionPhase) -> Iterator[None]:
        """Notes what the connection is doing in the block."""
        before = self.reservation.phase
        self.set_phase(phase)
        try:
            yield
        finally:
            self.reservation.phase = before

    def record_progress(self) -> None:
        """Notes that bytes have arrived or were accepted.

        It also cancels an end that has been decided and not yet happened.
        """
        self.reservation.progress_at_s = clock.now_s()
        self._cause = None
        self.reservation.is_ending = False

    def hold_request(self, size_bytes: int) -> float:
        """Reserves memory for a request that grows to a size.

        Returns:
            How long it has waited, in seconds.

        Raises:
            EndedForMemoryError: The connection is ended instead.
        """
        started_s = clock.now_s()
        while not self._hold(serving.MemoryUse.REQUEST, size_bytes):
            with self.waiting():
                self._granted.wait()
        return clock.now_s() - started_s

    def hold_answer(self, size_bytes: int, until_s: float) -> bool:
        """Reserves memory for an answer that grows to a size.

        Returns:
            Whether it is reserved; otherwise `until_s` has passed.
        """
        while not self._hold(serving.MemoryUse.ANSWER, size_bytes):
            left_s = until_s - clock.now_s()
            if left_s <= 0:
                self._budget.cancel_wait(self.reservation)
                return False
            self._granted.wait(left_s)
        return True

    def _hold(self, use: serving.MemoryUse, size_bytes: int) -> bool:
        self._granted.clear()
        has_waited = self.reservation.want is not None
        is_held = self._budget.hold(
            self.reservation, use, size_bytes, clock.now_s()
        )
        if is_held and has_waited:
            # There may be enough for the next one as well.
            self.record_progress()
            self._on_change()
        return is_held

    def grant(self) -> None:
        """Lets the connection ask again for what it waits for."""
        self._granted.set()

    def _free(self, *uses: serving.MemoryUse) -> None:
        self._budget.release(self.reservation, *uses)
        self._on_change()

    @contextlib.contextmanager
    def waiting(self) -> Iterator[None]:
        """Allows the end of the connection while the block waits.

        Raises:
            EndedForMemoryError: The connection is ended.
        """
        if self._cause is not None:
            raise EndedForMemoryError(self._cause)
        self._waiter = gevent.getcurrent()
        try:
            yield
        finally:
            self._waiter = None

    def end(self, cause: serving.EndCause) -> None:
        """Ends the connection at its next wait, or in the present one."""
        self._cause = cause
        gevent.get_hub().loop.run_callback(self._interrupt)

    def _interrupt(self) -> None:
        if self._waiter is not None and self._cause is not None:
            self._waiter.throw(EndedForMemoryError(self._cause))

    def begin_close(self) -> None:
        """Frees the last request, after which the connection closes.

        A refusal can still be sent. The connection may be ended once more, if
        its client does not close.
        """
        self.record_progress()
        self._budget.cancel_wait(self.reservation)
        self._free(serving.MemoryUse.REQUEST, serving.MemoryUse.ANSWER)
        self.reservation.phase = serving.ConnectionPhase.CLOSING

    def close(self) -> None:
        """Frees all memory of the connection."""
        self._budget.close(self.reservation)
        self._on_change()


def unlimited() -> ConnectionMemory:
    """Returns the memory of a connection that belongs to no budget."""
    return ConnectionMemory(serving.MemoryBudget(1 << 62), lambda: None)
