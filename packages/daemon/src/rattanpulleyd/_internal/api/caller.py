"""Queue between the generation core and a caller's connection."""

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

    The queue needs no bound of its own: a generation has a token limit.
    """

    def __init__(self) -> None:
        self._deliveries: list[Delivery] = []
        self._ready = gevent.event.Event()
        self._sink: Callable[[Delivery], None] | None = None

    def deliver(self, action: generations.DeliverTokens) -> None:
        """Queues tokens."""
        self._enqueue(action)

    def finish(self, action: generations.FinishAnswer) -> None:
        """Queues the end of the answer."""
        self._enqueue(action)

    def fail(self, action: generations.FailAnswer) -> None:
        """Queues an error."""
        self._enqueue(action)

    def receive(self, timeout_s: float) -> list[Delivery]:
        """Waits for deliveries and returns all that are queued.

        Args:
            timeout_s: Longest time to wait in seconds; the result is empty if
                nothing arrives in it.
        """
        if not self._deliveries:
            self._ready.clear()
            self._ready.wait(timeout_s)
        deliveries = self._deliveries
        self._deliveries = []
        return deliveries

    def forward_to(self, sink: Callable[[Delivery], None]) -> None:
        """Passes queued and later deliveries to a function.

        Args:
            sink: Receives the deliveries; must not block.
        """
        for delivery in self._deliveries:
            sink(delivery)
        self._deliveries = []
        self._sink = sink

    def _enqueue(self, delivery: Delivery) -> None:
        if self._sink is not None:
            self._sink(delivery)
            return
        self._deliveries.append(delivery)
        self._ready.set()
