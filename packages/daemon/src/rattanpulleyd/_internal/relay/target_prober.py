"""Finds out whether a silent target is alive."""

from gevent import event

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import relay_metrics
from rattanpulleyd._internal.relay import target_connection

# A target in reach answers within a few milliseconds.
PROBE_TIMEOUT_S = 0.12
# An answer is shared by all streams that ask within this time.
RESULT_AGE_S = 0.08


class TargetProber:
    """Sends at most one probe at a time to each target."""

    def __init__(self, path: bytes, metrics: relay_metrics.RelayMetrics):
        """Creates a prober.

        Args:
            path: Path that a target answers at once, without a free place.
            metrics: Counts the probes.
        """
        self._path = path
        self._metrics = metrics
        self._running_by_id: dict[str, event.AsyncResult] = {}
        self._results_by_id: dict[str, tuple[float, bool]] = {}

    def alive(
        self, entry: serving.TargetEntry, age_limit_s: float = RESULT_AGE_S
    ) -> bool:
        """Returns whether a target answers on a new connection.

        Args:
            entry: The target.
            age_limit_s: How old an earlier answer may be.
        """
        known = self._results_by_id.get(entry.target_id)
        if known is not None and clock.now_s() - known[0] < age_limit_s:
            return known[1]
        running = self._running_by_id.get(entry.target_id)
        if running is not None:
            return bool(running.get())
        result = event.AsyncResult()
        self._running_by_id[entry.target_id] = result
        alive = False
        try:
            alive = self._ask(entry)
        finally:
            del self._running_by_id[entry.target_id]
            self._results_by_id[entry.target_id] = (clock.now_s(), alive)
            result.set(alive)
        self._metrics.probes.labels("alive" if alive else "silent").inc()
        return alive

    def forget(self, target_id: str) -> None:
        """Drops what is known of a target that is gone."""
        self._results_by_id.pop(target_id, None)

    def _ask(self, entry: serving.TargetEntry) -> bool:
        try:
            target_connection.call_target(
                entry, b"GET", self._path, b"", PROBE_TIMEOUT_S
            )
        except target_connection.AttemptError:
            return False
        return True
