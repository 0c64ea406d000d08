"""Watches the object API and updates the active tables."""

from collections.abc import Callable
import random
from typing import Any

import gevent

from rattanpulley_core import interfaces
from rattanpulley_core import tables
from rattanpulleyd._internal.config import backoff
from rattanpulleyd._internal.telemetry import counters
from rattanpulleyd._internal.telemetry import logs

TABLE_KEY_PREFIX = "tables/"
# A watch on an unresponsive connection ends after this time plus the client's
# read timeout.
WATCH_TIMEOUT_S = 8.0
TABLE_SOURCE = "store"

_Counter = counters.Counter
_Outcome = tables.UpdateOutcome
_KIND_BY_KEY = {kind.key: kind for kind in tables.TableKind}
_COUNTERS_BY_OUTCOME = {
    _Outcome.ACCEPTED: _Counter.TABLES_ACCEPTED,
    _Outcome.INVALID: _Counter.TABLES_REFUSED,
    _Outcome.CONTENT_DIFFERS: _Counter.TABLES_CONFLICTING,
}


class TableWatch:
    """Lists and watches the tables and applies each version it reads."""

    def __init__(
        self,
        store: interfaces.ObjectStore,
        config: tables.ConfigState,
        clock: interfaces.Clock,
        counts: counters.Counters,
        rng: random.Random,
        on_accepted: Callable[[tables.TableKind], None],
    ) -> None:
        """Initializes the watch.

        Args:
            store: The object API.
            config: The active tables.
            clock: Source of time.
            counts: Counters of the daemon.
            rng: Source of the backoff jitter.
            on_accepted: Called after a table became active.
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
                self._log.log_change("object API", "not answering", "WARNING")
                self._log.log_change("last watch failure", str(error), "DEBUG")
            gevent.sleep(self._backoff.next_delay_s())

    def list_once(self) -> int:
        """Lists and applies the stored tables; returns the store's revision.

        Raises:
            interfaces.StoreUnavailableError: The object API is unavailable.
        """
        objects, revision = self._store.list_objects(TABLE_KEY_PREFIX)
        self._update_all(objects)
        return revision

    def watch_once(self, revision: int) -> int:
        """Waits for changes and returns the revision to continue from.

        Args:
            revision: Revision of the last list or watch.

        Raises:
            interfaces.StoreUnavailableError: The object API is unavailable.
        """
        objects, next_revision = self._store.watch(
            TABLE_KEY_PREFIX, revision, WATCH_TIMEOUT_S
        )
        self._update_all(objects)
        return next_revision

    def _update_all(self, objects: list[interfaces.StoredObject]) -> None:
        """Applies the objects of one response."""
        self._backoff.reset()
        self._log.log_change("object API", "answering")
        for stored in objects:
            kind = _KIND_BY_KEY.get(stored.key)
            if kind is not None and stored.value is not None:
                self.update(kind, stored.version, stored.value, TABLE_SOURCE)

    def update(
        self, kind: tables.TableKind, version: int, value: Any, source: str
    ) -> None:
        """Updates one table, and counts and logs the outcome.

        Args:
            kind: Which table.
            version: Version of the stored object.
            value: JSON value of the object.
            source: Origin of the table, such as `TABLE_SOURCE`.
        """
        now_s = self._clock.monotonic_s()
        result = self._config.update(kind, version, value, source, now_s)
        counter = _COUNTERS_BY_OUTCOME.get(result.outcome)
        if counter is not None:
            self._counts.count(counter)
            self._log_outcome(result)
        if result.outcome is _Outcome.ACCEPTED:
            self._on_accepted(kind)

    def _log_outcome(self, result: tables.UpdateResult) -> None:
        """Logs that a table was accepted, invalid or conflicting."""
        accepted = result.outcome is _Outcome.ACCEPTED
        text = f"version {result.version} {result.outcome.value}"
        if result.validation_errors:
            text += f": {result.validation_errors[0]}"
        self._log.log_change(
            f"table {result.kind.value}",
            text,
            "INFO" if accepted else "ERROR",
        )
