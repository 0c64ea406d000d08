"""Polls the platform's host list about every two seconds."""

from collections.abc import Callable
import random

import gevent

from rattanpulley_core import interfaces
from rattanpulleyd._internal.telemetry import counters
from rattanpulleyd._internal.telemetry import logs

# A leaving target must receive no new requests after 3 s. With jitter, the
# longest interval between two reads is 2.4 s. 380 daemons make 190 calls per
# second, a tenth of the platform's capacity.
POLL_INTERVAL_S = 2.0
JITTER_FRACTION = 0.2


class HostPoll:
    """Polls the host list and passes its rows to a callback."""

    def __init__(
        self,
        host_list: interfaces.HostList,
        counts: counters.Counters,
        on_hosts: Callable[[list[interfaces.HostEntry]], None],
        rng: random.Random,
    ) -> None:
        """Initializes the poll.

        Args:
            host_list: The platform's host list.
            counts: Counters of the daemon.
            on_hosts: Called with the rows of each response.
            rng: Source of the jitter that desynchronizes the daemons.
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
            gevent.sleep(
                POLL_INTERVAL_S
                * self._rng.uniform(1 - JITTER_FRACTION, 1 + JITTER_FRACTION)
            )

    def poll_once(self) -> None:
        """Reads the list once, and counts and logs a failure."""
        try:
            entries = self._host_list.fetch()
        except interfaces.StoreUnavailableError:
            self._counts.count(counters.Counter.HOST_LIST_FAILURES)
            self._log.log_change("host list", "not answering", "WARNING")
            return
        self._log.log_change("host list", "answering")
        self._on_hosts(entries)
