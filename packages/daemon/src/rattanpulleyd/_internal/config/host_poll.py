"""Reads the platform's host list about every two seconds."""

from collections.abc import Callable
import random

import gevent

from rattanpulley_core import interfaces
from rattanpulleyd._internal.telemetry import counters
from rattanpulleyd._internal.telemetry import logs

# A leaving target must receive no new work after 3 s. The longest wait between
# two reads is 2.4 s; 380 daemons make 190 calls a second, a tenth of what the
# platform takes.
POLL_S = 2.0
JITTER = 0.2


class HostPoll:
    """Polls the host list and reports its rows."""

    def __init__(
        self,
        host_list: interfaces.HostList,
        counts: counters.Counters,
        on_hosts: Callable[[list[interfaces.HostEntry]], None],
        rng: random.Random,
    ) -> None:
        """Prepares the poll.

        Args:
            host_list: The platform's host list.
            counts: Counters of the daemon.
            on_hosts: Called with the rows of each answer.
            rng: Spreads the reads of the daemons.
        """
        self._host_list = host_list
        self._counts = counts
        self._on_hosts = on_hosts
        self._rng = rng
        self._log = logs.StateLog()

    def run(self) -> None:
        """Polls until the greenlet is killed."""
        while True:
            self.poll_once()
            gevent.sleep(POLL_S * self._rng.uniform(1 - JITTER, 1 + JITTER))

    def poll_once(self) -> None:
        """Reads the list once; a failure is counted."""
        try:
            entries = self._host_list.fetch()
        except interfaces.StoreUnavailableError:
            self._counts.count(counters.Counter.HOST_LIST_FAILURES)
            self._log.note("host list", "not answering", "WARNING")
            return
        self._log.note("host list", "answering")
        self._on_hosts(entries)
