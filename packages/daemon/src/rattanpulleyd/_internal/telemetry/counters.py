"""Counters, aggregated in memory and sent to statsd every second.

The names are listed in docs/counters.md; a test compares the two.
"""

import enum
from typing import Any

import statsd

from rattanpulleyd._internal.settings import model

PREFIX = "rattanpulleyd"
# One datagram must fit the smallest common MTU.
MAX_DATAGRAM_BYTES = 1400


class Counter(enum.Enum):
    """Names of the counters and gauges that the daemon itself updates."""

    REQUESTS = "requests"
    REQUESTS_REFUSED = "requests.refused"
    ANSWERS_FINISHED = "answers.finished"
    ANSWERS_FAILED = "answers.failed"
    CALLERS_LEFT = "callers.left"
    CALLERS_RECONNECTED = "callers.reconnected"
    TOKENS_RECEIVED = "tokens.received"
    TOKENS_DELIVERED = "tokens.delivered"
    ATTEMPTS_STARTED = "attempts.started"
    ATTEMPTS_RESUMED = "attempts.resumed"
    ATTEMPTS_ATTACHED = "attempts.attached"
    ATTEMPTS_CANCELLED = "attempts.cancelled"
    ATTEMPTS_FAILED = "attempts.failed"
    CANCELS_DROPPED = "cancels.dropped"
    CANCELS_FAILED = "cancels.failed"
    PROBES_SENT = "probes.sent"
    PROBES_FAILED = "probes.failed"
    LOADS_READ = "loads.read"
    LOADS_FAILED = "loads.failed"
    CRASH_REPORTS = "crash_reports"
    SERVICE_CALLS = "service.calls"
    SERVICE_CALLS_FAILED = "service.calls_failed"
    CLAIMS_DELETED = "claims.deleted"
    CLAIMS_CHANGED = "claims.changed"
    CLAIMS_DELETES_FAILED = "claims.deletes_failed"
    CLAIMS_LISTINGS = "claims.listings"
    CLAIMS_NOT_REMEMBERED = "claims.not_remembered"
    CLAIMS_REMEMBERED = "claims.remembered"
    TABLES_ACCEPTED = "tables.accepted"
    TABLES_REFUSED = "tables.refused"
    TABLES_CONFLICTING = "tables.conflicting"
    WATCH_FAILURES = "watch.failures"
    HOST_LIST_FAILURES = "host_list.failures"
    JOBS_FAILED = "jobs.failed"
    GENERATIONS_ACTIVE = "generations.active"
    JOURNAL_BYTES = "journal.bytes"
    LOOP_LONGEST_GAP_MS = "loop.longest_gap_ms"


class Counters:
    """Counter changes since the last flush, and totals since the start."""

    def __init__(self, address: model.Address | None) -> None:
        """Prepares the statsd client.

        Args:
            address: Numeric address of the statsd server, or None to keep the
                values in memory only.
        """
        self._changes_by_name: dict[str, int] = {}
        self._totals_by_name: dict[str, int] = {}
        self._gauges_by_name: dict[str, int] = {}
        self._client = _client(address)

    def count(self, counter: Counter, amount: int = 1) -> None:
        """Adds to a counter."""
        changes = self._changes_by_name
        name = counter.value
        changes[name] = changes.get(name, 0) + amount

    def gauge(self, counter: Counter, value: int) -> None:
        """Sets a gauge."""
        self._gauges_by_name[counter.value] = value

    def add_component_totals(
        self, prefix: str, totals_by_name: dict[str, int]
    ) -> None:
        """Adds the increase of totals that another component counts.

        Args:
            prefix: Prefix of the names, without the separating dot.
            totals_by_name: Totals of the component since its start.
        """
        for name, total in totals_by_name.items():
            full_name = f"{prefix}.{name}"
            change = total - self._totals_by_name.get(full_name, 0)
            if change:
                self._changes_by_name[full_name] = change

    def flush(self) -> None:
        """Sends the changes since the last flush; called once per second."""
        changes = self._changes_by_name
        self._changes_by_name = {}
        for name, amount in changes.items():
            total = self._totals_by_name.get(name, 0)
            self._totals_by_name[name] = total + amount
        if self._client is not None:
            self._send(changes)

    def totals_by_name(self) -> dict[str, int]:
        """Returns the totals and the gauges by name, sorted."""
        totals = dict(self._totals_by_name)
        for name, amount in self._changes_by_name.items():
            totals[name] = totals.get(name, 0) + amount
        totals.update(self._gauges_by_name)
        return dict(sorted(totals.items()))

    def _send(self, changes_by_name: dict[str, int]) -> None:
        """Sends one batch; the statsd client ignores socket errors."""
        with self._client.pipeline() as batch:
            for name, amount in changes_by_name.items():
                batch.incr(name, amount)
            for name, value in self._gauges_by_name.items():
                batch.gauge(name, value)


def _client(address: model.Address | None) -> Any:
    """Returns a client, or None without an address."""
    if address is None:
        return None
    return statsd.StatsClient(
        host=address.host,
        port=address.port,
        prefix=PREFIX,
        maxudpsize=MAX_DATAGRAM_BYTES,
        ipv6=":" in address.host,
    )
