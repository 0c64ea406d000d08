"""Registers this host in the store and lists the other hosts."""

from collections.abc import Callable

import gevent

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import context as context_lib
from rattanpulleyd._internal.relay import settings as settings_lib

CALL_TIMEOUT_S = 0.9
RETRY_S = 1.0
# Hosts start at nearly the same time: the next listing is delayed until most
# others have registered, and the one after it finds the rest.
INITIAL_LIST_DELAYS_S = (1.2, 5.0)
# The list changes rarely, and only retry budgets and the order in which peers
# are queried depend on it.
LIST_PERIOD_S = 45.0
JITTER_FRACTION = 0.3
# A listing may be seconds old and lack an entry that was written before it.
ANNOUNCE_PERIOD_S = 20.0


class FleetRefresh:
    """Keeps the list of hosts up to date."""

    def __init__(
        self,
        context: context_lib.RelayContext,
        directory: serving.HostDirectory,
        own: serving.HostEntry,
    ) -> None:
        """Creates the refresh without calling the store.

        Args:
            context: State of the process.
            directory: Registry of the hosts.
            own: Entry of this host.
        """
        self._context = context
        self._directory = directory
        self._entry = own
        self._announced_at_s = float("-inf")

    def run_forever(self) -> None:
        """Registers this host and lists all; runs in its own greenlet.

        A host that restarts usually finds its entry and the others', so that
        it can query them at once.
        """
        self._retry_until_success(self._list)
        for wait_s in INITIAL_LIST_DELAYS_S:
            gevent.sleep(wait_s)
            self._retry_until_success(self._list)
        rng = self._context.rng
        while True:
            gevent.sleep(LIST_PERIOD_S * rng.uniform(1 - JITTER_FRACTION, 1.0))
            self._retry_until_success(self._list)

    def withdraw(self) -> None:
        """Removes this host's entry when the host stops."""
        try:
            self._directory.withdraw_host(self._entry.name, CALL_TIMEOUT_S)
        except serving.SourceError as error:
            self._context.log.failure("fleet.call_failed", reason=str(error))

    def _retry_until_success(self, call: Callable[[], None]) -> None:
        """Repeats a call until it succeeds."""
        while True:
            try:
                call()
            except serving.SourceError as error:
                self._context.log.failure(
                    "fleet.call_failed", reason=str(error)
                )
                gevent.sleep(RETRY_S)
            else:
                return

    def _list(self) -> None:
        """Lists all hosts, and registers this one if its entry is missing."""
        context = self._context
        entries = self._directory.list_hosts(CALL_TIMEOUT_S)
        context.metrics.store_calls.labels("hosts", "ok").inc()
        if self._entry not in entries:
            entries = (*entries, self._entry)
            self._announce_once()
            if len(entries) < context.fleet.hosts:
                # The listing is old and may lack others too. Shares of common
                # budgets that were computed from it would be too large.
                return
        if context.fleet.replace_all(entries):
            context.log.change("fleet.listed", hosts=context.fleet.hosts)
        context.retry_budget.set_host_count(context.fleet.hosts)
        context.availability.set_host_count(context.fleet.hosts)

    def _announce_once(self) -> None:
        """Registers this host unless that was done a short time ago."""
        now_s = clock.now_s()
        if now_s - self._announced_at_s < ANNOUNCE_PERIOD_S:
            return
        self._directory.announce_host(self._entry, CALL_TIMEOUT_S)
        self._announced_at_s = now_s
        self._context.metrics.store_calls.labels("hosts", "ok").inc()


def own_entry(settings: settings_lib.RelaySettings) -> serving.HostEntry:
    """Returns the registry entry of this host."""
    exchange = settings.exchange
    address = f"{exchange.host}:{exchange.port}" if exchange else ""
    return serving.HostEntry(settings.name, settings.domain, address)
