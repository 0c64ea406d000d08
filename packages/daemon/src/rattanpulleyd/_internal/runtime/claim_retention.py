"""Deletes claim records whose outcome is known and whose time has passed."""

import random

import gevent
import loguru

from rattanpulley_core import claims
from rattanpulley_core import interfaces
from rattanpulleyd._internal.telemetry import counters

# Fits the largest rate of deletes of one daemon, 10 a second.
TICK_S = 0.1
# Records of a listing that are looked at before other greenlets run.
CHUNK_RECORDS = 50

_Counter = counters.Counter


class ClaimRetention:
    """Connects the retention part with the store."""

    def __init__(
        self,
        store: interfaces.ObjectStore,
        clock: interfaces.Clock,
        counts: counters.Counters,
        rng: random.Random,
    ) -> None:
        """Starts without any memory of records.

        Args:
            store: Holds the claim records.
            clock: Source of time.
            counts: Counters of the daemon.
            rng: Source of chance.
        """
        self._store = store
        self._clock = clock
        self._counts = counts
        self._part = claims.RecordRetention(rng, clock.monotonic_s())

    def remember(self, call: claims.ClaimCall) -> None:
        """Remembers the record of a call that has ended, if it has one."""
        if call.expiring_record is None:
            return
        if not self._part.remember(call.expiring_record):
            self._counts.count(_Counter.CLAIMS_NOT_REMEMBERED)

    def set_daemon_count(self, count: int) -> None:
        """Takes over the number of live daemons, this one included."""
        self._part.set_daemon_count(count, self._clock.monotonic_s())

    def run(self) -> None:
        """Deletes and lists until the greenlet is killed."""
        while True:
            self.tick()
            gevent.sleep(TICK_S)

    def tick(self) -> None:
        """Makes at most one call to the store."""
        count = self._part.remembered_count
        self._counts.gauge(_Counter.CLAIMS_REMEMBERED, count)
        action = self._part.tick(
            self._clock.monotonic_s(), self._clock.wall_s()
        )
        if isinstance(action, claims.DeleteRecord):
            self._delete(action)
        elif isinstance(action, claims.ListRecords):
            self._list()

    def _delete(self, action: claims.DeleteRecord) -> None:
        result = claims.DeleteResult.DELETED
        try:
            self._store.delete(action.record.key, action.record.version)
            self._counts.count(_Counter.CLAIMS_DELETED)
        except interfaces.StoreConflictError:
            result = claims.DeleteResult.CHANGED
            self._counts.count(_Counter.CLAIMS_CHANGED)
        except interfaces.StoreUnavailableError:
            result = claims.DeleteResult.UNKNOWN
            self._counts.count(_Counter.CLAIMS_DELETES_FAILED)
        now_s = self._clock.monotonic_s()
        self._part.record_delete_result(action, result, now_s)

    def _list(self) -> None:
        self._counts.count(_Counter.CLAIMS_LISTINGS)
        try:
            stored, _ = self._store.list_objects(claims.KEY_PREFIX)
        except interfaces.StoreUnavailableError:
            # The next listing comes by chance, like every other.
            return
        if len(stored) > claims.LISTING_LIMIT_RECORDS:
            loguru.logger.warning(
                "the listing of claims holds {} records; this daemon lists "
                "less often",
                len(stored),
            )
        for start in range(0, len(stored), CHUNK_RECORDS):
            self._part.record_listing(
                stored[start : start + CHUNK_RECORDS],
                len(stored),
                self._clock.monotonic_s(),
                self._clock.wall_s(),
            )
            gevent.sleep(0)
