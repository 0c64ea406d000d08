"""Counters, aggregated in memory and sent to statsd each second.

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
    """Names of the counters and gauges."""

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
    CRASH_REPORTS = "crash_reports"
    SERVICE_CALLS = "service.calls"
    SERVICE_CALLS_FAILED = "service.calls_failed"
    TABLES_ACCEPTED = "tables.accepted"
    TABLES_REFUSED = "tables.refused"
    TABLES_CONFLICTING = "tables.conflicting"
    WATCH_FAILURES = "watch.failures"
    HOST_LIST_FAILURES = "host_list.failures"
    GENERATIONS_ACTIVE = "generations.active"
    LOOP_LONGEST_GAP_MS = "loop.longest_gap_ms"


class Counters:
    """Values since the last flush, and totals since the start."""

    def __init__(self, address: model.Address | None) -> None:
        """Prepares the statsd client.

        Args:
            address: Numeric address of the statsd server, or None to keep the
                values in memory only.
        """
        self._changes_by_counter: dict[Counter, int] = {}
        self._totals_by_counter: dict[Counter, int] = {}
        self._gauges_by_counter: dict[Counter, int] = {}
        self._client = _client(address)

    def count(self, counter: Counter, amount: int = 1) -> None:
        """Adds to a counter."""
        changes = self._changes_by_counter
        changes[counter] = changes.get(counter, 0) + amount

    def gauge(self, counter: Counter, value: int) -> None:
        """Sets a gauge."""
        self._gauges_by_counter[counter] = value

    def flush(self) -> None:
        """Sends the changes since the last flush; called once a second."""
        changes = self._changes_by_counter
        self._changes_by_counter = {}
        for counter, amount in changes.items():
            total = self._totals_by_counter.get(counter, 0)
            self._totals_by_counter[counter] = total + amount
        if self._client is not None:
            self._send(changes)

    def totals_by_name(self) -> dict[str, int]:
        """Returns the totals and the gauges by name, sorted."""
        totals = dict(self._totals_by_counter)
        for counter, amount in self._changes_by_counter.items():
            totals[counter] = totals.get(counter, 0) + amount
        totals.update(self._gauges_by_counter)
        by_name = {counter.value: total for counter, total in totals.items()}
        return dict(sorted(by_name.items()))

    def _send(self, changes_by_counter: dict[Counter, int]) -> None:
        """Sends one batch; statsd ignores failures of the datagrams."""
        with self._client.pipeline() as batch:
            for counter, amount in changes_by_counter.items():
                batch.incr(counter.value, amount)
            for counter, value in self._gauges_by_counter.items():
                batch.gauge(counter.value, value)


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
