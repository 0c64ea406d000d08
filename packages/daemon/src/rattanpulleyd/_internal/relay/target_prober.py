"""Checks whether an unresponsive target is alive."""

import gevent

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import relay_metrics
from rattanpulleyd._internal.relay import target_connection
from rattanpulleyd._internal.relay import target_reports

# A reachable target responds within a few milliseconds.
PROBE_TIMEOUT_S = 0.08
# All streams that probe a target within this time share one result.
MAX_RESULT_AGE_S = 0.08
RECENT_RESULT_S = 1.0
HTTP_OK = 200


class TargetProber:
    """Sends at most one probe at a time to each target."""

    def __init__(
        self,
        reader: target_reports.TargetReportReader,
        metrics: relay_metrics.RelayMetrics,
        on_head: target_connection.HeadObserver | None = None,
    ) -> None:
        """Creates a prober without results.

        Args:
            reader: Decodes the reports of targets.
            metrics: Counts the probes.
            on_head: Reads the head of each answer.
        """
        self._reader = reader
        self._metrics = metrics
        self._on_head = on_head
        self._running_by_id: dict[str, gevent.Greenlet] = {}
        self._results_by_id: dict[
            str, tuple[float, serving.TargetReport | None]
        ] = {}

    def probe(
        self, entry: serving.TargetEntry, age_limit_s: float = MAX_RESULT_AGE_S
    ) -> serving.TargetReport | None:
        """Returns a target's report, or None if it does not respond.

        The report is requested over a new connection.

        Args:
            entry: The target.
            age_limit_s: Maximum age of an earlier result that is reused.
        """
        known = self._results_by_id.get(entry.target_id)
        if known is not None and clock.now_s() - known[0] < age_limit_s:
            return known[1]
        running = self._running_by_id.get(entry.target_id)
        if running is None:
            # A greenlet of its own: the client of this one may leave.
            running = gevent.spawn(self._probe, entry)
            self._running_by_id[entry.target_id] = running
        report: serving.TargetReport | None = running.get()
        return report

    def _probe(self, entry: serving.TargetEntry) -> serving.TargetReport | None:
        """Probes a target and keeps the result."""
        report = None
        try:
            report = self._call(entry)
        finally:
            del self._running_by_id[entry.target_id]
            self._results_by_id[entry.target_id] = (clock.now_s(), report)
        self._metrics.probes.labels("alive" if report else "silent").inc()
        return report

    def recent_counts(self) -> dict[str, int]:
        """Returns how many targets answered their last probe, for the log.

        Only probes of the last `RECENT_RESULT_S` count, so that the numbers
        tell whether one target is silent or many are.
        """
        since_s = clock.now_s() - RECENT_RESULT_S
        recent = [
            report is not None
            for at_s, report in self._results_by_id.values()
            if at_s >= since_s
        ]
        answered = sum(recent)
        return {"answered": answered, "silent": len(recent) - answered}

    def forget(self, target_id: str) -> None:
        """Drops the result of a target that was removed."""
        self._results_by_id.pop(target_id, None)

    def _call(self, entry: serving.TargetEntry) -> serving.TargetReport | None:
        try:
            status, body = target_connection.call_target(
                entry,
                b"GET",
                self._reader.path,
                b"",
                PROBE_TIMEOUT_S,
                self._on_head,
            )
        except target_connection.AttemptError:
            return None
        return self._reader.read(body) if status == HTTP_OK else None
