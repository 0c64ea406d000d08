"""Finds out whether a silent target is alive."""

from gevent import event

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import relay_metrics
from rattanpulleyd._internal.relay import target_connection
from rattanpulleyd._internal.relay import target_reports

# A target in reach answers within a few milliseconds.
PROBE_TIMEOUT_S = 0.08
# An answer is shared by all streams that ask within this time.
MAX_RESULT_AGE_S = 0.08


class TargetProber:
    """Sends at most one probe at a time to each target."""

    def __init__(
        self,
        reader: target_reports.TargetReportReader,
        metrics: relay_metrics.RelayMetrics,
    ) -> None:
        """Creates a prober.

        Args:
            reader: Reads the reports of targets.
            metrics: Counts the probes.
        """
        self._reader = reader
        self._metrics = metrics
        self._running_by_id: dict[str, event.AsyncResult] = {}
        self._results_by_id: dict[
            str, tuple[float, serving.TargetReport | None]
        ] = {}

    def probe(
        self, entry: serving.TargetEntry, age_limit_s: float = MAX_RESULT_AGE_S
    ) -> serving.TargetReport | None:
        """Returns what a target reports, or None if it does not answer.

        The report comes over a new connection.

        Args:
            entry: The target.
            age_limit_s: How old an earlier answer may be.
        """
        known = self._results_by_id.get(entry.target_id)
        if known is not None and clock.now_s() - known[0] < age_limit_s:
            return known[1]
        running = self._running_by_id.get(entry.target_id)
        if running is not None:
            shared: serving.TargetReport | None = running.get()
            return shared
        result = event.AsyncResult()
        self._running_by_id[entry.target_id] = result
        report = None
        try:
            report = self._call(entry)
        finally:
            del self._running_by_id[entry.target_id]
            self._results_by_id[entry.target_id] = (clock.now_s(), report)
            result.set(report)
        self._metrics.probes.labels("alive" if report else "silent").inc()
        return report

    def forget(self, target_id: str) -> None:
        """Drops what is known of a target that is gone."""
        self._results_by_id.pop(target_id, None)

    def _call(self, entry: serving.TargetEntry) -> serving.TargetReport | None:
        try:
            _, body = target_connection.call_target(
                entry, b"GET", self._reader.path, b"", PROBE_TIMEOUT_S
            )
        except target_connection.AttemptError:
            return None
        return self._reader.read(body)
