"""HTTP implementation of the engine API."""

from http import client

import gevent
import gevent.pool
import loguru

from rattanpulley_core import generations
from rattanpulley_core import interfaces
from rattanpulleyd._internal.engine import attempt
from rattanpulleyd._internal.engine import connection
from rattanpulleyd._internal.engine import engine_requests
from rattanpulleyd._internal.engine import load_reader
from rattanpulleyd._internal.engine import prober
from rattanpulleyd._internal.telemetry import counters

# An engine stops a stream that has no reader by itself, so a cancel request may
# be dropped when this many are in flight.
MAX_CONCURRENT_CANCELS = 16
CANCEL_TIMEOUT_S = 1.0

_Counter = counters.Counter
_AttemptKey = tuple[str, int]


class HttpEngineApi(interfaces.EngineApi):
    """Runs each attempt in its own greenlet."""

    def __init__(self, counts: counters.Counters) -> None:
        """Creates a client without running attempts.

        Args:
            counts: Counters of the daemon.
        """
        self._counts = counts
        self._attempts_by_key: dict[
            _AttemptKey, tuple[attempt.Attempt, gevent.Greenlet]
        ] = {}
        self._cancels = gevent.pool.Pool(MAX_CONCURRENT_CANCELS)

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
        """Reads a generation that the engine has; see the base class."""
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
        """Checks on a new connection that the target is alive."""
        self._counts.count(_Counter.PROBES_SENT)
        gevent.spawn(self._probe, order, sink)

    def read_load(
        self, order: interfaces.LoadRequest, sink: interfaces.LoadSink
    ) -> None:
        """Reads a target's load on a new connection; see the base class."""
        gevent.spawn(load_reader.read, order, sink)

    def _spawn(
        self,
        request: engine_requests.AttemptRequest,
        sink: interfaces.EventSink,
    ) -> None:
        """Starts the greenlet of an attempt and stops an earlier one."""
        key = (request.generation_id, request.attempt)
        previous = self._attempts_by_key.pop(key, None)
        if previous is not None:
            _stop(*previous)
        run = attempt.Attempt(request, sink)
        self._attempts_by_key[key] = (run, gevent.spawn(self._run, key, run))

    def _run(self, key: _AttemptKey, run: attempt.Attempt) -> None:
        """Runs an attempt and removes it from the running ones at its end."""
        try:
            run.run()
        finally:
            running = self._attempts_by_key.get(key)
            if running is not None and running[0] is run:
                del self._attempts_by_key[key]

    def _probe(
        self, request: generations.ProbeTarget, sink: interfaces.EventSink
    ) -> None:
        """Runs one probe and counts a failure."""
        event = prober.probe(request, sink)
        if isinstance(event, generations.ProbeFailed):
            self._counts.count(_Counter.PROBES_FAILED)

    def _send_cancel(self, request: generations.CancelAttempt) -> None:
        """Sends a cancel request to the engine, without retries."""
        try:
            with gevent.Timeout(CANCEL_TIMEOUT_S):
                opened = connection.connect(request.url)
                try:
                    http_request = engine_requests.cancel_http_request(request)
                    connection.send(opened, http_request, CANCEL_TIMEOUT_S)
                finally:
                    opened.close()
        except (
            *connection.CALL_ERRORS,
            client.HTTPException,
            gevent.Timeout,
        ) as error:
            self._counts.count(_Counter.CANCELS_FAILED)
            loguru.logger.debug(
                "cancel at {} failed: {}", request.target, type(error).__name__
            )


def _stop(run: attempt.Attempt, greenlet: gevent.Greenlet) -> None:
    """Stops an attempt; its greenlet closes the connection as it ends."""
    run.cancelled = True
    if greenlet is not gevent.getcurrent():
        greenlet.kill(block=False)
