"""Announces this host and learns of the others."""

from collections.abc import Callable

import gevent

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import context as context_lib
from rattanpulleyd._internal.relay import settings as settings_lib

CALL_TIMEOUT_S = 0.9
RETRY_S = 1.0
# Hosts start at nearly the same time; the first listing waits for most others,
# the second one finds the rest.
FIRST_LISTS_S = (1.2, 5.0)
# Only budgets and the order of asking depend on the list, which changes seldom.
LIST_PERIOD_S = 45.0
JITTER_SHARE = 0.3


class FleetRefresh:
    """Keeps the list of hosts up to date."""

    def __init__(
        self,
        context: context_lib.RelayContext,
        directory: serving.HostDirectory,
        own: serving.HostEntry,
    ) -> None:
        """Creates a refresh that has announced nothing.

        Args:
            context: State of the process.
            directory: Where hosts announce themselves.
            own: Entry of this host.
        """
        self._context = context
        self._directory = directory
        self._entry = own

    def run_forever(self) -> None:
        """Announces and lists; runs as a greenlet of its own."""
        self._repeat(self._announce)
        for wait_s in FIRST_LISTS_S:
            gevent.sleep(wait_s)
            self._repeat(self._list)
        rng = self._context.rng
        while True:
            gevent.sleep(LIST_PERIOD_S * rng.uniform(1 - JITTER_SHARE, 1.0))
            self._repeat(self._list)

    def leave(self) -> None:
        """Removes the entry of a host that stops."""
        try:
            self._directory.withdraw_host(self._entry.name, CALL_TIMEOUT_S)
        except serving.SourceError as error:
            self._context.log.failure("fleet.call_failed", reason=str(error))

    def _repeat(self, call: Callable[[], None]) -> None:
        """Makes a call until it succeeds."""
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

    def _announce(self) -> None:
        self._directory.announce_host(self._entry, CALL_TIMEOUT_S)

    def _list(self) -> None:
        context = self._context
        entries = self._directory.list_hosts(CALL_TIMEOUT_S)
        context.metrics.store_calls.labels("hosts", "ok").inc()
        if context.fleet.replace_all(entries):
            context.log.change("fleet.listed", hosts=context.fleet.hosts)
        context.resends.set_host_count(context.fleet.hosts)


def own_entry(settings: settings_lib.RelaySettings) -> serving.HostEntry:
    """Returns the entry of a host."""
    exchange = settings.exchange
    address = f"{exchange.host}:{exchange.port}" if exchange else ""
    return serving.HostEntry(settings.name, settings.domain, address)
