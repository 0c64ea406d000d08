"""Deletion of claim records whose outcome is known.

No daemon leads and none holds a lease. Each daemon remembers the records that
it wrote and deletes them when their time has passed. What restarted daemons
leave behind is found by a listing that every daemon makes now and then, by
chance. Each delete is conditional on the version that was seen. The store
never uses a version of a key twice, so an old memory or a late delete cannot
remove a record that was written again.

The object API lists without pages and with whole values. A listing of
`LISTING_LIMIT_RECORDS` records is the largest that is sensible: the whole
answer is parsed at once, and the parse delays the streams of the daemon. Above
it, a daemon lists at most once in `LARGE_LISTING_PAUSE_S`, and a listing above
the client's limit of 16 MB brings no records at all. The daemons' own deletes
go on, so the records stay bounded but for those that restarted daemons
left and those that a full memory did not take.
"""

from collections.abc import Iterable
import dataclasses
import enum
import heapq
import random

from rattanpulley_core import interfaces
from rattanpulley_core._internal.budgets import buckets
from rattanpulley_core._internal.claims import records

# A caller that comes back within this time gets the recorded outcome.
CLAIM_RETENTION_S = 24 * 3600.0
# Added to the retention, since the wall clocks of the daemon that dates a
# record and of the one that deletes it differ.
RETENTION_MARGIN_S = 60.0
# Deletes of all daemons together. An action takes three writes, one of them
# the delete; at 300 writes/s of the platform this lets the deletes keep up
# with the most actions that it carries.
FLEET_DELETES_PER_S = 100.0
DELETE_BURST = 2.0
# A daemon that is cut off from its peers, or has none, would otherwise take the
# budget of the whole fleet. Today's users have 8 to 9 daemons.
MIN_DAEMON_COUNT = 10
# At about 250 bytes each, the memory stays below an eighth of a node's 128 MB.
OWN_RECORD_LIMIT = 50_000
# Mean time between two listings of the whole fleet.
FLEET_LISTING_S = 3600.0
# The parse of more delays the streams by more than the 30 ms of one token.
LISTING_LIMIT_RECORDS = 3_000
LARGE_LISTING_PAUSE_S = 24 * 3600.0
# The listing leaves newer records to the daemon that remembers them; without
# this time both would delete the same record.
OWNER_PRIORITY_S = 3600.0
# Pause after a delete without an answer.
UNKNOWN_RESULT_PAUSE_S = 30.0

DELETABLE_STATES = frozenset(
    {
        records.ClaimState.DONE,
        records.ClaimState.NOT_RUN,
        records.ClaimState.SETTLED_RUN,
        records.ClaimState.SETTLED_NOT_RUN,
    }
)
_DELETABLE_NAMES = frozenset(state.value for state in DELETABLE_STATES)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class ExpiringRecord:
    """A record with a known outcome, as it was last seen.

    Attributes:
        delete_from_wall_s: Unix seconds from which it may be deleted.
        key: Object key.
        version: Version of the object.
    """

    delete_from_wall_s: float
    key: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class DeleteRecord:
    """Delete a record if its version is still the same."""

    record: ExpiringRecord


@dataclasses.dataclass(frozen=True, slots=True)
class ListRecords:
    """List the objects below `KEY_PREFIX`."""


class DeleteResult(enum.Enum):
    """How the store answered a delete."""

    DELETED = "deleted"
    CHANGED = "changed"
    UNKNOWN = "unclear"


RetentionAction = DeleteRecord | ListRecords


def expiring_record(
    key: str, version: int, record: records.ClaimRecord
) -> ExpiringRecord | None:
    """Returns when a record may be deleted, or None if it must be kept.

    A record of a newer form is kept, because its states can mean more than
    this version knows. A settlement starts the time again: the caller has
    waited for it and must be able to read it.
    """
    if record.state not in DELETABLE_STATES or record.schema > records.SCHEMA:
        return None
    known_wall_s = max(
        (record.wall_s, *(entry.wall_s for entry in record.audit))
    )
    from_wall_s = (
        known_wall_s
        + max(0.0, record.max_call_s)
        + CLAIM_RETENTION_S
        + RETENTION_MARGIN_S
    )
    return ExpiringRecord(from_wall_s, key, version)


def expiring_record_from_object(
    stored: interfaces.StoredObject,
) -> ExpiringRecord | None:
    """Returns the same of a stored object; None also if it is not readable."""
    value = stored.value
    if not isinstance(value, dict):
        return None
    # Spares the parse of most records that are kept.
    if value.get("state") not in _DELETABLE_NAMES:
        return None
    try:
        record = records.from_json(value)
    except records.RecordError:
        return None
    return expiring_record(stored.key, stored.version, record)


class RecordRetention:
    """Decides which records one daemon deletes and when it lists.

    `tick` returns at most one action. The caller carries it out and reports
    the result with `record_delete_result` or `record_listing` before the next
    `tick`.
    """

    def __init__(self, rng: random.Random, now_s: float) -> None:
        """Starts without any memory.

        Args:
            rng: Source of chance for the listings.
            now_s: Monotonic seconds.
        """
        self._rng = rng
        self._own: list[ExpiringRecord] = []
        self._found: list[ExpiringRecord] = []
        self._daemon_count = MIN_DAEMON_COUNT
        self._bucket = self._new_bucket(now_s)
        self._ticked_s = now_s
        self._quiet_until_s = now_s
        self._list_from_s = now_s

    @property
    def remembered_count(self) -> int:
        """Number of this daemon's own records that wait for their time."""
        return len(self._own)

    def set_daemon_count(self, count: int, now_s: float) -> None:
        """Takes over the number of live daemons, this one included."""
        count = max(count, MIN_DAEMON_COUNT)
        if count != self._daemon_count:
            self._daemon_count = count
            self._bucket = self._new_bucket(now_s)

    def remember(self, record: ExpiringRecord) -> bool:
        """Remembers a record that this daemon wrote.

        Returns:
            False when the memory is full. It then keeps its oldest records:
            if they made way, a daemon with too many would never delete one.
        """
        if len(self._own) >= OWN_RECORD_LIMIT:
            return False
        heapq.heappush(self._own, record)
        return True

    def tick(self, now_s: float, wall_s: float) -> RetentionAction | None:
        """Returns what to do now, or None.

        Args:
            now_s: Monotonic seconds.
            wall_s: Unix seconds.
        """
        elapsed_s = max(0.0, now_s - self._ticked_s)
        self._ticked_s = now_s
        if now_s < self._quiet_until_s:
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
        """Notes the result of a delete.

        A delete without an answer is repeated; if it took effect, the repeat
        finds the record changed.
        """
        if result is not DeleteResult.UNKNOWN:
            return
        heapq.heappush(self._own, action.record)
        pause_s = UNKNOWN_RESULT_PAUSE_S * self._rng.uniform(0.5, 1.5)
        self._quiet_until_s = now_s + pause_s

    def record_listing(
        self,
        stored: Iterable[interfaces.StoredObject],
        listed_count: int,
        now_s: float,
        wall_s: float,
    ) -> None:
        """Notes records of a listing.

        Args:
            stored: Some of the listed objects; a long listing is handed over
                in parts.
            listed_count: Number of all listed objects.
            now_s: Monotonic seconds.
            wall_s: Unix seconds.
        """
        if listed_count > LISTING_LIMIT_RECORDS:
            self._list_from_s = now_s + LARGE_LISTING_PAUSE_S
        for item in stored:
            record = expiring_record_from_object(item)
            if record is None or len(self._found) >= OWN_RECORD_LIMIT:
                continue
            if record.delete_from_wall_s + OWNER_PRIORITY_S <= wall_s:
                heapq.heappush(self._found, record)

    def _new_bucket(self, now_s: float) -> buckets.TokenBucket:
        rate_per_s = FLEET_DELETES_PER_S / self._daemon_count
        bucket = buckets.TokenBucket(rate_per_s, DELETE_BURST, now_s)
        # A full bucket at each start and each change of the membership would
        # add up to more than the budget.
        bucket.try_acquire(now_s, DELETE_BURST)
        return bucket

    def _is_listing_due(self, elapsed_s: float, now_s: float) -> bool:
        # The chance depends on the last interval alone, so that neither
        # restarts nor a changed number of daemons alter the fleet's rate.
        if self._found or now_s < self._list_from_s:
            return False
        chance = elapsed_s / (self._daemon_count * FLEET_LISTING_S)
        return self._rng.random() < chance

    def _due_queue(self, wall_s: float) -> list[ExpiringRecord] | None:
        for queue in (self._own, self._found):
            if queue and queue[0].delete_from_wall_s <= wall_s:
                return queue
        return None
