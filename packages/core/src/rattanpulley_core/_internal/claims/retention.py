"""Deletion of claim records whose outcome is known.

There is neither a leader nor a lease. Each daemon remembers the records that
it wrote and deletes them when their retention time is over. Records left by
restarted daemons are found by listings, which every daemon makes at random
times. Each delete is conditional on the version last seen. The store never
reuses a version of a key, so neither an outdated entry in memory nor a delayed
delete can remove a record that was written again.

The object API lists without pagination and with complete values. The complete
listing is parsed at once, which delays the streams of the daemon, so
`LISTING_LIMIT_RECORDS` bounds the size at which listings stay frequent. Above
it, a daemon lists at most once in `LARGE_LISTING_PAUSE_S`. A listing above the
client's limit of 16 MB returns no records at all. Daemons continue to delete
their own records, so the number of records stays bounded, except for those
left by restarted daemons and those rejected by a full memory.
"""

from collections.abc import Iterable
import dataclasses
import enum
import heapq
import random

from rattanpulley_core import interfaces
from rattanpulley_core._internal.budgets import buckets
from rattanpulley_core._internal.claims import records

# A caller that repeats a call within this time gets the recorded outcome.
CLAIM_RETENTION_S = 24 * 3600.0
# Added to the retention, because the wall clock of the daemon that writes a
# record differs from that of the daemon that deletes it.
RETENTION_MARGIN_S = 60.0
# Rate of deletes of all daemons together. Each action needs three writes, one
# of them the delete, so at the platform's 300 writes/s the deletes keep up with
# the highest rate of actions.
FLEET_DELETES_PER_S = 100.0
DELETE_BURST = 2.0
# Lower bound of the daemon count that divides the fleet's budget. Without it, a
# daemon without peers, or partitioned from them, would use the budget of the
# whole fleet. Current deployments have 8 to 9 daemons.
MIN_DAEMON_COUNT = 10
# Largest number of own records in memory. At about 250 bytes each, they use
# less than an eighth of a node's 128 MB.
OWN_RECORD_LIMIT = 50_000
# Mean time between two listings made by any daemon of the fleet.
FLEET_LISTING_INTERVAL_S = 3600.0
# Parsing a larger listing delays the streams by more than the 30 ms of one
# token.
LISTING_LIMIT_RECORDS = 3_000
LARGE_LISTING_PAUSE_S = 24 * 3600.0
# Listed records that expired more recently than this are left to the daemon
# that wrote them; otherwise both daemons would delete the same record.
OWNER_PRIORITY_S = 3600.0
# Mean pause after a delete without an answer.
UNKNOWN_RESULT_PAUSE_S = 30.0

DELETABLE_STATES = frozenset(
    {
        records.ClaimState.DONE,
        records.ClaimState.NOT_RUN,
        records.ClaimState.SETTLED_RUN,
        records.ClaimState.SETTLED_NOT_RUN,
    }
)
_DELETABLE_STATE_VALUES = frozenset(state.value for state in DELETABLE_STATES)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class ExpiringRecord:
    """A record with a known outcome that may be deleted later.

    Attributes:
        delete_from_wall_s: Unix seconds from which it may be deleted.
        key: Object key.
        version: Version of the object when it was last seen.
    """

    delete_from_wall_s: float
    key: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class DeleteRecord:
    """Action: deletes a record if its version is unchanged."""

    record: ExpiringRecord


@dataclasses.dataclass(frozen=True, slots=True)
class ListRecords:
    """Action: lists the objects below `KEY_PREFIX`."""


class DeleteResult(enum.Enum):
    """Result of a delete; `UNKNOWN` if the store did not answer."""

    DELETED = "deleted"
    CHANGED = "changed"
    UNKNOWN = "unclear"


RetentionAction = DeleteRecord | ListRecords


def expiring_record(
    key: str, version: int, record: records.ClaimRecord
) -> ExpiringRecord | None:
    """Returns the expiry of a record, or None if the record must be kept.

    A record of a newer schema is kept, because its states can have a meaning
    that this version does not know. A settlement restarts the retention time,
    so that a caller that waited for it can still read the result.
    """
    if record.state not in DELETABLE_STATES or record.schema > records.SCHEMA:
        return None
    outcome_known_wall_s = max(
        (record.wall_s, *(entry.wall_s for entry in record.audit))
    )
    delete_from_wall_s = (
        outcome_known_wall_s
        + max(0.0, record.max_call_s)
        + CLAIM_RETENTION_S
        + RETENTION_MARGIN_S
    )
    return ExpiringRecord(delete_from_wall_s, key, version)


def expiring_record_from_object(
    stored: interfaces.StoredObject,
) -> ExpiringRecord | None:
    """Like `expiring_record`, for a stored object; None if not readable."""
    value = stored.value
    if not isinstance(value, dict):
        return None
    # Avoids parsing most of the records that must be kept.
    if value.get("state") not in _DELETABLE_STATE_VALUES:
        return None
    try:
        record = records.from_json(value)
    except records.RecordError:
        return None
    return expiring_record(stored.key, stored.version, record)


class RecordRetention:
    """Decides which records one daemon deletes and when it lists.

    `tick` returns at most one action. The caller executes it and reports
    the result with `record_delete_result` or `record_listing` before the next
    `tick`.
    """

    def __init__(self, rng: random.Random, now_s: float) -> None:
        """Initializes an instance without remembered records.

        Args:
            rng: Random number generator for listings and pauses.
            now_s: Monotonic seconds.
        """
        self._rng = rng
        self._own: list[ExpiringRecord] = []
        self._listed: list[ExpiringRecord] = []
        self._daemon_count = MIN_DAEMON_COUNT
        self._bucket = self._new_bucket(now_s)
        self._last_tick_s = now_s
        self._paused_until_s = now_s
        self._list_from_s = now_s

    @property
    def remembered_count(self) -> int:
        """Number of own records that wait for their deletion."""
        return len(self._own)

    def set_daemon_count(self, count: int, now_s: float) -> None:
        """Updates the number of live daemons, this one included."""
        count = max(count, MIN_DAEMON_COUNT)
        if count != self._daemon_count:
            self._daemon_count = count
            self._bucket = self._new_bucket(now_s)

    def remember(self, record: ExpiringRecord) -> bool:
        """Remembers a record that this daemon wrote.

        Returns:
            False if the memory is full and the record was not added. The
            oldest records stay: if newer ones replaced them, a daemon with
            too many records would never delete any.
        """
        if len(self._own) >= OWN_RECORD_LIMIT:
            return False
        heapq.heappush(self._own, record)
        return True

    def tick(self, now_s: float, wall_s: float) -> RetentionAction | None:
        """Returns the next action, or None.

        Args:
            now_s: Monotonic seconds.
            wall_s: Unix seconds.
        """
        elapsed_s = max(0.0, now_s - self._last_tick_s)
        self._last_tick_s = now_s
        if now_s < self._paused_until_s:
            return None
        if self._is_listing_due(elapsed_s, now_s):
            return ListRecords()
        queue = self._due_queue(wall_s)
        if queue is None or not self._bucket.try_acquire(now_s):
            return None
        return DeleteRecord(heapq.heappop(queue))

    def record_delete_result(
        self, action: DeleteRecord, result: DeleteResult, now_s: float
    ) -> None:
        """Records the result of a delete.

        A delete without an answer is retried; if it took effect, the retry
        finds the record changed.
        """
        if result is not DeleteResult.UNKNOWN:
            return
        heapq.heappush(self._own, action.record)
        pause_s = UNKNOWN_RESULT_PAUSE_S * self._rng.uniform(0.5, 1.5)
        self._paused_until_s = now_s + pause_s

    def record_listing(
        self,
        stored: Iterable[interfaces.StoredObject],
        listed_count: int,
        now_s: float,
        wall_s: float,
    ) -> None:
        """Records the expired records of a listing for deletion.

        Args:
            stored: Some of the listed objects; a long listing is passed in
                several calls.
            listed_count: Number of all listed objects.
            now_s: Monotonic seconds.
            wall_s: Unix seconds.
        """
        if listed_count > LISTING_LIMIT_RECORDS:
            self._list_from_s = now_s + LARGE_LISTING_PAUSE_S
        for item in stored:
            record = expiring_record_from_object(item)
            if record is None or len(self._listed) >= OWN_RECORD_LIMIT:
                continue
            if record.delete_from_wall_s + OWNER_PRIORITY_S <= wall_s:
                heapq.heappush(self._listed, record)

    def _new_bucket(self, now_s: float) -> buckets.TokenBucket:
        rate_per_s = FLEET_DELETES_PER_S / self._daemon_count
        bucket = buckets.TokenBucket(rate_per_s, DELETE_BURST, now_s)
        # Starts empty: a full bucket at each start and each membership change
        # would exceed the budget in total.
        bucket.try_acquire(now_s, DELETE_BURST)
        return bucket

    def _is_listing_due(self, elapsed_s: float, now_s: float) -> bool:
        # The probability depends only on the time since the last tick, so that
        # neither restarts nor membership changes alter the fleet's rate.
        if self._listed or now_s < self._list_from_s:
            return False
        probability = elapsed_s / (
            self._daemon_count * FLEET_LISTING_INTERVAL_S
        )
        return self._rng.random() < probability

    def _due_queue(self, wall_s: float) -> list[ExpiringRecord] | None:
        for queue in (self._own, self._listed):
            if queue and queue[0].delete_from_wall_s <= wall_s:
                return queue
        return None
