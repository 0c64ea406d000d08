"""Keeps the tables in force up to date with the object API."""

from collections.abc import Callable
import random
from typing import Any

import gevent

from rattanpulley_core import interfaces
from rattanpulley_core import tables
from rattanpulleyd._internal.config import backoff
from rattanpulleyd._internal.telemetry import counters
from rattanpulleyd._internal.telemetry import logs

PREFIX = "tables/"
# A watch whose connection went silent ends after this time and the client's
# read timeout.
WATCH_S = 8.0
SOURCE = "store"

_Counter = counters.Counter
_Outcome = tables.UpdateOutcome
_KIND_BY_KEY = {kind.key: kind for kind in tables.TableKind}
_COUNTERS_BY_OUTCOME = {
    _Outcome.ACCEPTED: _Counter.TABLES_ACCEPTED,
    _Outcome.INVALID: _Counter.TABLES_REFUSED,
    _Outcome.CONTENT_DIFFERS: _Counter.TABLES_CONFLICTING,
}


class TableWatch:
    """Lists the tables, watches them and offers what it reads."""

    def __init__(
        self,
        store: interfaces.ObjectStore,
        config: tables.ConfigState,
        clock: interfaces.Clock,
        counts: counters.Counters,
        rng: random.Random,
        on_accepted: Callable[[tables.TableKind], None],
    ) -> None:
        """Prepares the watch.

        Args:
            store: The object API.
            config: The tables in force.
            clock: Source of time.
            counts: Counters of the daemon.
            rng: Source of the jitter between failed calls.
            on_accepted: Called after a table came into force.
        """
        self._store = store
        self._config = config
        self._clock = clock
        self._counts = counts
        self._log = logs.StateLog()
        self._backoff = backoff.Backoff(rng)
        self._on_accepted = on_accepted

    def run(self) -> None:
        """Watches until the greenlet is killed."""
        while True:
            try:
                revision = self.list_once()
                while True:
                    revision = self.watch_once(revision)
            except interfaces.StoreUnavailableError as error:
                self._counts.count(_Counter.WATCH_FAILURES)
                self._log.note("object API", "not answering", "WARNING")
                self._log.note("last watch failure", str(error), "DEBUG")
            gevent.sleep(self._backoff.next_delay_s())

    def list_once(self) -> int:
        """Offers the stored tables and returns the store's revision.

        Raises:
            interfaces.StoreUnavailableError: There was no clear answer.
        """
        objects, revision = self._store.list_objects(PREFIX)
        self._offer_all(objects)
        return revision

    def watch_once(self, revision: int) -> int:
        """Waits for a change and returns the revision to go on from.

        Args:
            revision: Revision of the last list or watch.

        Raises:
            interfaces.StoreUnavailableError: There was no clear answer.
        """
        objects, next_revision = self._store.watch(PREFIX, revision, WATCH_S)
        self._offer_all(objects)
        return next_revision

    def _offer_all(self, objects: list[interfaces.StoredObject]) -> None:
        """Offers the objects of one answer."""
        self._backoff.reset()
        self._log.note("object API", "answering")
        for stored in objects:
            kind = _KIND_BY_KEY.get(stored.key)
            if kind is not None and stored.value is not None:
                self.offer(kind, stored.version, stored.value, SOURCE)

    def offer(
        self, kind: tables.TableKind, version: int, value: Any, source: str
    ) -> None:
        """Offers one table, and counts and logs the outcome.

        Args:
            kind: Which table.
            version: Version of the stored object.
            value: JSON value of the object.
            source: Where the table comes from.
        """
        now_s = self._clock.monotonic_s()
        report = self._config.update(kind, version, value, source, now_s)
        counter = _COUNTERS_BY_OUTCOME.get(report.outcome)
        if counter is not None:
            self._counts.count(counter)
            self._log_outcome(report)
        if report.outcome is _Outcome.ACCEPTED:
            self._on_accepted(kind)

    def _log_outcome(self, report: tables.UpdateResult) -> None:
        """Logs an outcome that changes or could change what is in force."""
        accepted = report.outcome is _Outcome.ACCEPTED
        text = f"version {report.version} {report.outcome.value}"
        if report.validation_errors:
            text += f": {report.validation_errors[0]}"
        self._log.note(
            f"table {report.kind.value}",
            text,
            "INFO" if accepted else "ERROR",
        )
