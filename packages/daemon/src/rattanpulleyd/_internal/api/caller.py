"""A caller's answer on its way to the connection."""

from collections.abc import Callable

import gevent.event

from rattanpulley_core import generations
from rattanpulley_core import interfaces

Delivery = (
    generations.DeliverTokens
    | generations.FinishAnswer
    | generations.FailAnswer
)


class QueuedCaller(interfaces.CallerStream):
    """Queues an answer for the greenlet that writes to the connection.

    The queue is bounded by the limit of tokens of a generation.
    """

    def __init__(self) -> None:
        self._deliveries: list[Delivery] = []
        self._ready = gevent.event.Event()
        self._sink: Callable[[Delivery], None] | None = None

    def deliver(self, action: generations.DeliverTokens) -> None:
        """Queues tokens."""
        self._put(action)

    def finish(self, action: generations.FinishAnswer) -> None:
        """Queues the end of the answer."""
        self._put(action)

    def fail(self, action: generations.FailAnswer) -> None:
        """Queues an error."""
        self._put(action)

    def take(self, timeout_s: float) -> list[Delivery]:
        """Returns all queued deliveries, at least one unless time runs out.

        Args:
            timeout_s: Longest time to wait.
        """
        if not self._deliveries:
            self._ready.clear()
            self._ready.wait(timeout_s)
        taken = self._deliveries
        self._deliveries = []
        return taken

    def redirect(self, sink: Callable[[Delivery], None]) -> None:
        """Passes queued and later deliveries to a function.

        Args:
            sink: Takes the deliveries; must not wait.
        """
        for delivery in self._deliveries:
            sink(delivery)
        self._deliveries = []
        self._sink = sink

    def _put(self, delivery: Delivery) -> None:
        if self._sink is not None:
            self._sink(delivery)
            return
        self._deliveries.append(delivery)
        self._ready.set()
