"""The retry that one request holds for its next attempt."""

from collections.abc import Iterator
import contextlib

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import clock


class RetryReservation:
    """At most one retry of a window, until it is sent or returned.

    Attributes:
        waited_s: Seconds that the request has waited for retries.
    """

    def __init__(self, window: serving.RetryWindow) -> None:
        """Creates a reservation without a retry.

        Args:
            window: Retry budget of the request's pool.
        """
        self._window = window
        self._retry: serving.Retry | None = None
        self.waited_s = 0.0

    def reserve(self) -> bool:
        """Returns whether a retry is held, after trying to acquire one."""
        if self._retry is None:
            self._retry = self._window.try_acquire(clock.now_s(), self)
        return self._retry is not None

    def begin_attempt(self) -> None:
        """Counts the retry, if one is held, as sent now."""
        if self._retry is not None:
            self._window.record_sent(self._retry, clock.now_s())
            self._retry = None

    def release(self) -> None:
        """Returns a retry that is not made."""
        if self._retry is not None:
            self._window.release(self._retry)
            self._retry = None

    def use(self) -> serving.RetryUse:
        """Returns how many retries the host has made, and may make."""
        return self._window.use(clock.now_s())

    @contextlib.contextmanager
    def waiting(self) -> Iterator[None]:
        """Queues for the next retry, and measures the wait."""
        started_s = clock.now_s()
        try:
            with self._window.waiting(self):
                yield
        finally:
            self.waited_s += clock.now_s() - started_s
