"""Keeps the records of ordered versions in the store.

Every host expects the same records. A few hosts, which are drawn at random,
write them, so that the calls do not grow with the fleet.
"""

from collections.abc import Iterable
import dataclasses
import time

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import context as context_lib

CALL_TIMEOUT_S = 0.9
# Expected number of hosts that write a record in one round.
RECORDING_HOSTS = 4.0
# No host writes in one round with a probability of 2 %; rounds make up for it.
ROUNDS = 3
ROUND_INTERVAL_S = 1.5
MAX_REMOVED_RECORDS = 4

_PoolVersion = tuple[str, str]


@dataclasses.dataclass(slots=True)
class _Expected:
    """A record that may not be in the store yet.

    Attributes:
        record: The record.
        rounds_left: Rounds in which this host may still write it.
        is_certain: Whether this host writes it without a draw.
    """

    record: serving.VersionRecord
    rounds_left: int = ROUNDS
    is_certain: bool = False


class VersionRecorder:
    """Writes the records of versions that are or were ordered."""

    def __init__(
        self, context: context_lib.RelayContext, store: serving.RolloutStore
    ) -> None:
        """Creates a recorder without any call.

        Args:
            context: State of the process.
            store: Holds the records.
        """
        self._context = context
        self._store = store
        self._expected_by_key: dict[_PoolVersion, _Expected] = {}
        self._newest_by_key: dict[_PoolVersion, serving.VersionRecord] = {}
        self._round_at_s = float("-inf")

    def confirm(
        self, records: Iterable[serving.VersionRecord]
    ) -> tuple[serving.VersionRecord, ...]:
        """Notes the records that are in the store.

        Args:
            records: All records.

        Returns:
            The newest known record of each version. Those of this host may be
            newer than what is in the store.
        """
        for record in records:
            if record.supersedes(self._newest_by_key.get(record.key)):
                self._newest_by_key[record.key] = record
            expected = self._expected_by_key.get(record.key)
            if expected and not expected.record.supersedes(record):
                del self._expected_by_key[record.key]
        return tuple(self._newest_by_key.values())

    def expect_own_decision(
        self, order: serving.RolloutOrder, state: serving.OrderState
    ) -> None:
        """Expects the record of a decision that this host has recorded.

        Args:
            order: The order as it was before the decision.
            state: The decision.
        """
        decided = dataclasses.replace(order, state=state)
        record = serving.record_of_order(decided, time.time())
        self._expect(record, is_certain=True)

    def expect_changes(
        self,
        orders: Iterable[serving.RolloutOrder],
        changes: Iterable[tuple[str, str, serving.VersionStatus]],
    ) -> None:
        """Expects the records of versions whose status has changed.

        Args:
            orders: All orders.
            changes: Pool, version and new status.
        """
        orders_by_pool = {order.pool: order for order in orders}
        for pool, version, status in changes:
            order = orders_by_pool.get(pool)
            record = self._record_of_change((pool, version), status, order)
            if record is not None:
                self._expect(record)

    def _record_of_change(
        self,
        key: _PoolVersion,
        status: serving.VersionStatus,
        order: serving.RolloutOrder | None,
    ) -> serving.VersionRecord | None:
        """Returns the record that follows from a change, or None.

        Args:
            key: Pool and version.
            status: New status of the version.
            order: Order of the pool, or None.
        """
        known = self._newest_by_key.get(key)
        if order is not None and order.version == key[1]:
            return serving.record_of_order(order, time.time())
        earlier = order.earlier if order is not None else None
        if known and earlier is not None and earlier.version == key[1]:
            return dataclasses.replace(known, state=earlier.state)
        if status is serving.VersionStatus.UNDECIDED and known is None:
            # Its own order was never read.
            revision = order.revision if order is not None else 0
            return serving.VersionRecord(
                *key, serving.OrderState.OPEN, revision, time.time()
            )
        return None

    def _expect(
        self, record: serving.VersionRecord, is_certain: bool = False
    ) -> None:
        if not record.supersedes(self._newest_by_key.get(record.key)):
            return
        self._newest_by_key[record.key] = record
        earlier = self._expected_by_key.get(record.key)
        # The host that decided reads its own decision before it is written.
        is_certain |= earlier is not None and earlier.is_certain
        self._expected_by_key[record.key] = _Expected(
            record, is_certain=is_certain
        )
        self._round_at_s = float("-inf")

    def step(self, now_s: float) -> None:
        """Writes the expected records that are due.

        Raises:
            serving.SourceError: The store could not be reached.
        """
        if now_s < self._round_at_s or not self._expected_by_key:
            return
        self._round_at_s = now_s + ROUND_INTERVAL_S
        share = RECORDING_HOSTS / self._context.fleet.hosts
        for expected in list(self._expected_by_key.values()):
            expected.rounds_left -= 1
            # A host that was drawn tries again after a call that failed.
            expected.is_certain |= self._context.rng.random() < share
            if expected.is_certain:
                self._write(expected.record)
            if expected.is_certain or not expected.rounds_left:
                del self._expected_by_key[expected.record.key]

    def _write(self, record: serving.VersionRecord) -> None:
        self._store.record_version(record, CALL_TIMEOUT_S)
        self._context.metrics.store_calls.labels("version_records", "ok").inc()
        self._context.log.change(
            "version.recorded",
            pool=record.pool,
            version=record.version,
            state=record.state.value,
            order_revision=record.order_revision,
        )
        if record.state is serving.OrderState.OPEN:
            self._remove_expired()

    def _remove_expired(self) -> None:
        """Removes old records, once for each order and writing host."""
        records = self._store.read_version_records(CALL_TIMEOUT_S)
        entries = self._context.targets.all_entries()
        listed = {(entry.pool, entry.version) for entry in entries}
        expired = serving.expired_records(records, listed, time.time())
        for record in expired[:MAX_REMOVED_RECORDS]:
            self._store.remove_version_record(record, CALL_TIMEOUT_S)
