"""Deletion of expired audit entries, with a record of each prune."""

from collections.abc import Callable, Sequence
import dataclasses

from rattanpulley import exceptions
from rattanpulley._internal.store import table_writer
from rattanpulley_core import interfaces
from rattanpulley_core import tables

# Deletes count as writes to the platform, whose write capacity is needed mostly
# by the daemons.
DELETE_INTERVAL_S = 1 / 30
PRUNE_COMMAND = "audit --prune"


@dataclasses.dataclass(frozen=True, slots=True)
class PruneResult:
    """Result of a prune.

    Attributes:
        number: Number of its record; 0 when no entry was expired.
        ranges_by_table: Version ranges that were deleted.
        deleted_count: Number of entries that this prune deleted.
    """

    number: int
    ranges_by_table: dict[str, tables.PrunedRange]
    deleted_count: int


class AuditPruner:
    """Deletes the audit entries beyond the limits of age and number.

    The record is written before the first delete, so that after a crash every
    deleted entry is covered by a record that names the operator.
    """

    def __init__(
        self,
        store: interfaces.ObjectStore,
        wall_s: Callable[[], float],
        new_id: Callable[[], str],
        sleep: Callable[[float], None],
    ) -> None:
        self._store = store
        self._wall_s = wall_s
        self._new_id = new_id
        self._sleep = sleep

    def prune(
        self, kinds: Sequence[tables.TableKind], who: str, reason: str
    ) -> PruneResult:
        """Records and deletes the expired entries of tables.

        Raises:
            ConflictError: Another prune wrote its record first.
            OutcomeUnknownError: The store did not confirm a write or delete.
            StoreUnavailableError: The store was unavailable for a read.
        """
        now_s = self._wall_s()
        expired_by_table = {
            kind.value: expired
            for kind in kinds
            if (expired := self._expired_entries(kind, now_s))
        }
        if not expired_by_table:
            return PruneResult(0, {}, 0)
        ranges = {
            name: tables.pruned_range(expired)
            for name, expired in expired_by_table.items()
        }
        entry = tables.ChangeEntry(
            change_id=self._new_id(),
            who=who,
            wall_s=now_s,
            what=PRUNE_COMMAND,
            reason=reason,
            before=tables.ranges_to_json(ranges),
            after=dict.fromkeys(ranges),
        )
        number = self._next_number()
        self._write_record(number, entry)
        expired = [x for rows in expired_by_table.values() for x in rows]
        return PruneResult(number, ranges, self._delete_all(expired))

    def _expired_entries(
        self, kind: tables.TableKind, now_s: float
    ) -> list[interfaces.StoredObject]:
        prefix = f"{tables.AUDIT_PREFIX}{kind.value}/"
        stored, _ = self._store.list_objects(prefix)
        return tables.expired_entries(stored, now_s)

    def _next_number(self) -> int:
        stored, _ = self._store.list_objects(tables.PRUNES_PREFIX)
        parts = (tables.parse_audit_key(item.key) for item in stored)
        return max((part[1] for part in parts if part), default=0) + 1

    def _write_record(self, number: int, entry: tables.ChangeEntry) -> None:
        key = tables.prune_key(number)
        value = {"change": entry.to_json(), "version": number}
        for _ in range(table_writer.WRITE_ATTEMPTS):
            try:
                self._store.put(key, value, 0)
                return
            except interfaces.StoreConflictError:
                if self._is_own_record(key, entry):
                    return
            except interfaces.StoreUnavailableError:
                self._sleep(table_writer.RETRY_DELAY_S)
        raise exceptions.OutcomeUnknownError(
            f"the object API did not confirm the record {key}",
            "No entry was deleted. Run the command again",
        )

    def _is_own_record(self, key: str, entry: tables.ChangeEntry) -> bool:
        """Returns whether the stored record is this one; False if unreadable.

        Raises:
            ConflictError: The record belongs to another prune.
        """
        try:
            stored = self._store.get(key)
        except interfaces.StoreUnavailableError:
            self._sleep(table_writer.RETRY_DELAY_S)
            return False
        found = tables.parse_change_entry(stored.value) if stored else None
        if found is None:
            return False
        if found.change_id != entry.change_id:
            raise exceptions.ConflictError(
                "another prune was recorded first",
                "No entry was deleted. Run the command again",
            )
        return True

    def _delete_all(self, expired: list[interfaces.StoredObject]) -> int:
        count = 0
        for item in expired:
            if not self._delete(item):
                raise exceptions.OutcomeUnknownError(
                    f"the object API did not confirm the delete of {item.key}; "
                    f"{count} of {len(expired)} entries are deleted",
                    "Run the command again",
                )
            count += 1
            self._sleep(DELETE_INTERVAL_S)
        return count

    def _delete(self, item: interfaces.StoredObject) -> bool:
        for _ in range(table_writer.WRITE_ATTEMPTS):
            try:
                self._store.delete(item.key, item.version)
                return True
            except interfaces.StoreConflictError:
                # An earlier attempt took effect but its response was lost,
                # or another operator deleted the entry.
                return True
            except interfaces.StoreUnavailableError:
                self._sleep(table_writer.RETRY_DELAY_S)
        return False
