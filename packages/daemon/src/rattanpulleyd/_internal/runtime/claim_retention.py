"""Deletes expired claim records whose outcome is known."""

import random

import gevent
import loguru

from rattanpulley_core import claims
from rattanpulley_core import interfaces
from rattanpulleyd._internal.telemetry import counters

# Allows the maximum delete rate of one daemon, 10 per second.
TICK_INTERVAL_S = 0.1
# Records of a listing to process before yielding to other greenlets.
RECORDS_PER_CHUNK = 50

_Counter = counters.Counter


class ClaimRetention:
    """Applies the retention policy of the core to the object store."""

    def __init__(
        self,
        store: interfaces.ObjectStore,
        clock: interfaces.Clock,
        counts: counters.Counters,
        rng: random.Random,
    ) -> None:
        """Initializes the job without known records.

        Args:
            store: Object store with the claim records.
            clock: Source of time.
            counts: Counters of the daemon.
            rng: Source of randomness.
        """
        self._store = store
        self._clock = clock
        self._counts = counts
        self._record_retention = claims.RecordRetention(
            rng, clock.monotonic_s()
        )

    def remember(self, call: claims.ClaimCall) -> None:
        """Schedules the record of a finished call, if any, for deletion."""
        if call.expiring_record is None:
            return
        if not self._record_retention.remember(call.expiring_record):
            self._counts.count(_Counter.CLAIMS_NOT_REMEMBERED)

    def set_daemon_count(self, count: int) -> None:
        """Updates the number of live daemons, including this one."""
        self._record_retention.set_daemon_count(
            count, self._clock.monotonic_s()
        )

    def run(self) -> None:
        """Deletes and lists records until the greenlet is killed."""
        while True:
            self.tick()
            gevent.sleep(TICK_INTERVAL_S)

    def tick(self) -> None:
        """Makes at most one delete or list call to the store."""
        count = self._record_retention.remembered_count
        self._counts.gauge(_Counter.CLAIMS_REMEMBERED, count)
        action = self._record_retention.tick(
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
        self._record_retention.record_delete_result(action, result, now_s)

    def _list(self) -> None:
        self._counts.count(_Counter.CLAIMS_LISTINGS)
        try:
            stored, _ = self._store.list_objects(claims.KEY_PREFIX)
        except interfaces.StoreUnavailableError:
            # No retry is needed: each tick may start a listing at random.
            return
        if len(stored) > claims.LISTING_LIMIT_RECORDS:
            loguru.logger.warning(
                "the listing of claims holds {} records; this daemon lists "
                "less often",
                len(stored),
            )
        for start in range(0, len(stored), RECORDS_PER_CHUNK):
            self._record_retention.record_listing(
                stored[start : start + RECORDS_PER_CHUNK],
                len(stored),
                self._clock.monotonic_s(),
                self._clock.wall_s(),
            )
            gevent.sleep(0)
