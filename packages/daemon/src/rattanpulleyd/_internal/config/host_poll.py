"""Reads the platform's host list each second."""

from collections.abc import Callable

import gevent

from rattanpulley_core import interfaces
from rattanpulleyd._internal.telemetry import counters
from rattanpulleyd._internal.telemetry import logs

# A leaving target must receive no new work after 3 s.
POLL_S = 1.0


class HostPoll:
    """Polls the host list and hands on its rows."""

    def __init__(
        self,
        host_list: interfaces.HostList,
        counts: counters.Counters,
        on_hosts: Callable[[list[interfaces.HostEntry]], None],
    ) -> None:
        """Prepares the poll.

        Args:
            host_list: The platform's host list.
            counts: Counters of the daemon.
            on_hosts: Called with the rows of each answer.
        """
        self._host_list = host_list
        self._counts = counts
        self._on_hosts = on_hosts
        self._log = logs.StateLog()

    def run(self) -> None:
        """Polls until the greenlet is killed."""
        while True:
            self.poll_once()
            gevent.sleep(POLL_S)

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
