"""Reads configuration and target changes from other hosts.

The store is read only when no other host has a recent enough state.
"""

from collections.abc import Callable
from typing import TypeVar

from rattanpulley_core import serving
from rattanpulley_core import suspects as suspects_lib
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import context as context_lib
from rattanpulleyd._internal.relay import state_exchange

# A host that answers does so within a few milliseconds. After this time the
# store is asked instead of a further host.
MAX_QUERY_S = 0.1

_Report = TypeVar("_Report", serving.ConfigReport, serving.TargetsReport)


class PeerReader:
    """Queries other hosts in order of preference."""

    def __init__(
        self, context: context_lib.RelayContext, own: serving.HostEntry
    ) -> None:
        """Creates a reader that has sent no request.

        Args:
            context: State of the process.
            own: Entry of this host.
        """
        self._context = context
        self._selector = serving.PeerSelector(context.fleet, own)
        self._client = state_exchange.PeerClient()
        self._digest = state_exchange.ConfigDigest()
        self._read_by_kind = {
            kind: state_exchange.LogPosition()
            for kind in suspects_lib.SuspectKind
        }

    def periods(self) -> serving.SharingPeriods:
        """Returns the times of this host's refreshes."""
        return self._selector.periods(clock.now_s())

    def config_confirmed_at_s(
        self, age_limit_s: float, any_host: bool = False
    ) -> float | None:
        """Returns when another host last confirmed the cached configuration.

        Args:
            age_limit_s: Maximum age of another host's confirmation.
            any_host: Whether to query hosts that do not precede this one.

        Returns:
            The time on `clock.suspend_aware_now_s`, or None if the store must
            be read.
        """
        config = self._context.cached_config.config
        if config is None:
            return None
        sent_at_s = clock.suspend_aware_now_s()
        entries = self._entries(any_host)
        # Without the store, each host that may answer is queried.
        query_limit_s = float("inf") if any_host else MAX_QUERY_S
        report = self._fetch(
            self._client.fetch_config, entries, age_limit_s, query_limit_s
        )
        if report is None:
            return None
        if report.version != config.version:
            return None
        if report.digest != self._digest.compute(config):
            return None
        return sent_at_s - report.age_s

    def fetch_target_changes(
        self, position: int, max_age_s: float
    ) -> tuple[serving.TargetsReport, float] | None:
        """Returns the target changes after a position from another host.

        Args:
            position: Store position of the last change that is known.
            max_age_s: Maximum age of another host's state.

        Returns:
            The report and when it was confirmed, on
            `clock.suspend_aware_now_s`, or None if the store must be read.
        """
        sent_at_s = clock.suspend_aware_now_s()
        report = self._fetch(
            lambda entry: self._fetch_targets(entry, position),
            self._entries(any_host=False),
            max_age_s,
        )
        if report is None:
            return None
        return report, sent_at_s - report.age_s

    def _fetch_targets(
        self, entry: serving.HostEntry, position: int
    ) -> serving.TargetsReport:
        """Returns another host's changes; adds the crash reports with them."""
        sent_at_s = clock.suspend_aware_now_s()
        report = self._client.fetch_targets(entry, position, self._read_by_kind)
        for batch in report.crashes:
            self._add_crashes(batch, sent_at_s)
        return report

    def _add_crashes(
        self, batch: suspects_lib.ReportBatch, sent_at_s: float
    ) -> None:
        """Adds crash reports of the host that this one queries."""
        self._follow_log(batch.kind, batch.log_id)
        now_s = clock.suspend_aware_now_s()
        known = context_lib.known_crashes(self._context, batch.kind)
        added = known.merge(
            batch.reports, now_s, now_s - sent_at_s, is_upstream=True
        )
        self._read_by_kind[batch.kind] = state_exchange.LogPosition(
            batch.log_id, batch.position
        )
        self._context.metrics.suspects.labels("received").inc(added)

    def _follow_log(self, kind: suspects_lib.SuspectKind, log_id: str) -> None:
        """Starts anew when another host, or a restarted one, is queried."""
        if log_id != self._read_by_kind[kind].log_id:
            self._read_by_kind[kind] = state_exchange.LogPosition(log_id)
            known = context_lib.known_crashes(self._context, kind)
            known.log.forget_upstream()

    @property
    def queries_peers(self) -> bool:
        """Whether this host queries another one before the store."""
        return bool(self._entries(any_host=False))

    def send_crashes(self, batch: suspects_lib.ReportBatch) -> bool:
        """Sends crash reports to the host that this one queries.

        Returns:
            Whether a host has received them.
        """
        for entry in self._entries(any_host=False):
            try:
                log_id = self._client.send_crashes(entry, batch)
            except state_exchange.ReportNotFoundError:
                # An earlier version takes no reports of this kind; what else it
                # shares stays useful.
                continue
            except state_exchange.PeerReportError as error:
                self._pass_over(entry, str(error))
                continue
            self._follow_log(batch.kind, log_id)
            return True
        return False

    def _entries(self, any_host: bool) -> list[serving.HostEntry]:
        now_s = clock.now_s()
        if any_host:
            return self._selector.other_hosts(now_s, self._context.rng)
        return self._selector.peers(now_s)

    def _fetch(
        self,
        fetch: Callable[[serving.HostEntry], _Report],
        entries: list[serving.HostEntry],
        age_limit_s: float,
        query_limit_s: float = MAX_QUERY_S,
    ) -> _Report | None:
        """Returns the first report that is recent enough, or None.

        A host without such a report is disconnected from the store or queries
        other hosts itself; it is skipped for a while.
        """
        metrics = self._context.metrics.peer_calls
        started_s = clock.now_s()
        for entry in entries:
            reason = ""
            try:
                report = fetch(entry)
                if report.age_s <= age_limit_s:
                    metrics.labels("ok").inc()
                    return report
                reason = f"its cached state is {report.age_s:.1f} s old"
            except state_exchange.PeerReportError as error:
                reason = str(error)
            self._pass_over(entry, reason)
            if clock.now_s() - started_s >= query_limit_s:
                break
        return None

    def _pass_over(self, entry: serving.HostEntry, reason: str) -> None:
        """Skips a host without a usable response for a while."""
        self._context.metrics.peer_calls.labels("failed").inc()
        self._selector.mark_unresponsive(entry.name, clock.now_s())
        self._context.log.change(
            "peer.passed_over", peer=entry.name, reason=reason
        )
