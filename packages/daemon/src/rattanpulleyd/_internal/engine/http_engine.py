"""Engine API over HTTP."""

from http import client

import gevent
import gevent.pool
import loguru

from rattanpulley_core import generations
from rattanpulley_core import interfaces
from rattanpulleyd._internal.engine import attempt
from rattanpulleyd._internal.engine import connection
from rattanpulleyd._internal.engine import load_reader
from rattanpulleyd._internal.engine import orders
from rattanpulleyd._internal.engine import prober
from rattanpulleyd._internal.telemetry import counters

# An engine stops a stream without a reader by itself, so a cancel that finds
# no free slot may be dropped.
CANCEL_SLOTS = 16
CANCEL_TIMEOUT_S = 1.0

_Counter = counters.Counter
_AttemptKey = tuple[str, int]


class HttpEngineApi(interfaces.EngineApi):
    """Runs each attempt in a greenlet of its own."""

    def __init__(self, counts: counters.Counters) -> None:
        """Prepares the adapter.

        Args:
            counts: Counters of the daemon.
        """
        self._counts = counts
        self._attempts_by_key: dict[
            _AttemptKey, tuple[attempt.Attempt, gevent.Greenlet]
        ] = {}
        self._cancels = gevent.pool.Pool(CANCEL_SLOTS)

    def start(
        self, order: generations.StartAttempt, sink: interfaces.EventSink
    ) -> None:
        """Starts or resumes a generation; see the base class."""
        self._counts.count(_Counter.ATTEMPTS_STARTED)
        if order.resume_tokens:
            self._counts.count(_Counter.ATTEMPTS_RESUMED)
        self._spawn(order, sink)

    def attach(
        self, order: generations.AttachAttempt, sink: interfaces.EventSink
    ) -> None:
        """Reads a generation that the engine holds; see the base class."""
        self._counts.count(_Counter.ATTEMPTS_ATTACHED)
        self._spawn(order, sink)

    def cancel(self, order: generations.CancelAttempt) -> None:
        """Ends an attempt; see the base class."""
        self._counts.count(_Counter.ATTEMPTS_CANCELLED)
        key = (order.generation_id, order.attempt)
        running = self._attempts_by_key.pop(key, None)
        if running is not None:
            _stop(*running)
        if order.keep_running:
            return
        if self._cancels.free_count() == 0:
            self._counts.count(_Counter.CANCELS_DROPPED)
            return
        self._cancels.spawn(self._send_cancel, order)

    def probe(
        self, order: generations.ProbeTarget, sink: interfaces.EventSink
    ) -> None:
        """Asks on a new connection whether the target lives."""
        self._counts.count(_Counter.PROBES_SENT)
        gevent.spawn(self._probe, order, sink)

    def read_load(
        self, order: interfaces.LoadRequest, sink: interfaces.LoadSink
    ) -> None:
        """Reads a target's load on a new connection; see the base class."""
        gevent.spawn(load_reader.read, order, sink)

    def _spawn(self, order: orders.Order, sink: interfaces.EventSink) -> None:
        """Starts the greenlet of an attempt."""
        key = (order.generation_id, order.attempt)
        earlier = self._attempts_by_key.pop(key, None)
        if earlier is not None:
            _stop(*earlier)
        run = attempt.Attempt(order, sink)
        self._attempts_by_key[key] = (run, gevent.spawn(self._run, key, run))

    def _run(self, key: _AttemptKey, run: attempt.Attempt) -> None:
        """Runs an attempt and forgets it at its end."""
        try:
            run.run()
        finally:
            running = self._attempts_by_key.get(key)
            if running is not None and running[0] is run:
                del self._attempts_by_key[key]

    def _probe(
        self, order: generations.ProbeTarget, sink: interfaces.EventSink
    ) -> None:
        """Makes one probe and counts a failure."""
        event = prober.probe(order, sink)
        if isinstance(event, generations.ProbeFailed):
            self._counts.count(_Counter.PROBES_FAILED)

    def _send_cancel(self, order: generations.CancelAttempt) -> None:
        """Tells the engine to stop an attempt, once."""
        try:
            with gevent.Timeout(CANCEL_TIMEOUT_S):
                opened = connection.connect(order.url)
                try:
                    request = orders.cancel_request(order)
                    connection.send(opened, request, CANCEL_TIMEOUT_S)
                finally:
                    opened.close()
        except (
            *connection.CallError,
            client.HTTPException,
            gevent.Timeout,
        ) as error:
            self._counts.count(_Counter.CANCELS_FAILED)
            loguru.logger.debug(
                "cancel at {} failed: {}", order.target, type(error).__name__
            )


def _stop(run: attempt.Attempt, greenlet: gevent.Greenlet) -> None:
    """Stops an attempt; its greenlet closes the connection as it ends."""
    run.cancelled = True
    if greenlet is not gevent.getcurrent():
        greenlet.kill(block=False)
