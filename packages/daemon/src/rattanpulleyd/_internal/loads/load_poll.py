"""Polls the load reports of the targets that this daemon uses.

Targets are read one after another, evenly spread over time. The rate of reads
does not grow with the number of targets, so the cost of the poll is the same at
600 targets. A read has a request of 106 bytes and a response of 150 bytes,
about 850 bytes with the packets of its connection. At 1.25 reads/s this is
0.3 KB/s of payload and 1.1 KB/s on the wire, of a budget of 4 KB/s. The poll
uses 0.23 % of a core on an idle daemon, of a budget of 1.2 %; see
docs/measurements-routing.md. A target is read at most every 2 s, because its
report lags by about 1 s.

The poll reads only engines in the daemon's own failure domain and engines with
requests of this daemon in flight. With 55 of them a round takes 44 s, while the
weight of a report drops to a third after 3 s and to zero after 15 s. At design
size the choice of targets therefore depends almost entirely on the daemon's own
counts; the reports help where a failure domain has few targets.
"""

import bisect
import random

import gevent

from rattanpulley_core import interfaces
from rattanpulley_core import tables
from rattanpulley_core import targets
from rattanpulleyd._internal.telemetry import counters

READ_INTERVAL_S = 0.8
MIN_ROUND_S = 2.0
TIMEOUT_S = 0.5


class LoadPoll:
    """Reads one target after another; no two reads overlap."""

    def __init__(
        self,
        engine: interfaces.EngineApi,
        target_table: targets.TargetTable,
        clock: interfaces.Clock,
        counts: counters.Counters,
        rng: random.Random,
    ) -> None:
        """Prepares the poll.

        Args:
            engine: Client of the engines.
            target_table: Receives the reports.
            clock: Source of time.
            counts: Counters of the daemon.
            rng: Chooses the first delay and the first target, so that daemons
                that start at the same time read different targets.
        """
        self._engine = engine
        self._table = target_table
        self._clock = clock
        self._counts = counts
        self._rng = rng
        self._last_name: str | None = None
        self._is_reading = False

    def run(self) -> None:
        """Polls until the greenlet is killed."""
        gevent.sleep(self._rng.uniform(0.0, READ_INTERVAL_S))
        while True:
            gevent.sleep(self.poll_once())

    def poll_once(self) -> float:
        """Starts the next read unless one is in progress.

        Returns:
            Seconds until the next call.
        """
        names = self._target_names()
        if not names:
            return READ_INTERVAL_S
        if not self._is_reading:
            self._read(self._next_name(names))
        return max(READ_INTERVAL_S, MIN_ROUND_S / len(names))

    def _target_names(self) -> list[str]:
        """Returns the sorted names of the targets to read."""
        own_failure_domain = self._table.own_failure_domain
        return sorted(
            target.name
            for target in self._table.targets_by_name.values()
            if target.kind is tables.TargetKind.ENGINE
            and target.state is targets.TargetState.LIVE
            and (
                target.in_flight > 0
                or target.failure_domain == own_failure_domain
            )
        )

    def _next_name(self, names: list[str]) -> str:
        """Returns the name after the last one read, in sorted order.

        The last target may have been removed, so its index is not stored.
        """
        if self._last_name is None:
            return self._rng.choice(names)
        return names[bisect.bisect_right(names, self._last_name) % len(names)]

    def _read(self, name: str) -> None:
        self._last_name = name
        url = self._table.targets_by_name[name].url
        self._is_reading = True
        self._counts.count(counters.Counter.LOADS_READ)
        self._engine.read_load(
            interfaces.LoadRequest(name, url, TIMEOUT_S),
            lambda report: self._record_report(name, report),
        )

    def _record_report(
        self, name: str, report: interfaces.LoadReport | None
    ) -> None:
        """Stores a report; a failed read keeps the last one, which ages."""
        self._is_reading = False
        if report is None:
            self._counts.count(counters.Counter.LOADS_FAILED)
            return
        self._table.apply_load(name, report, self._clock.monotonic_s())
