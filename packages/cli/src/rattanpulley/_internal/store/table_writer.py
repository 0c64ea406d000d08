"""Conditional writes of a table with its audit entry.

The response to a write that took effect can be lost. Each change therefore has
a unique id, and the writer reads the table back until it knows whether its own
change was stored.
"""

from collections.abc import Callable
import dataclasses
import enum
from typing import Any

from rattanpulley import exceptions
from rattanpulley._internal.store import table_change
from rattanpulley._internal.store import table_reader
from rattanpulley._internal.store import write_errors
from rattanpulley_core import interfaces
from rattanpulley_core import tables

# With the delays between them, these attempts outlast a short outage. There are
# no more because an operator waits for the command.
WRITE_ATTEMPTS = 5
RETRY_DELAY_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyResult:
    """Result of a change.

    Attributes:
        version: Version that the change created, or the current one if nothing
            differed.
        change_id: Id in the audit entry; empty if nothing differed.
        changes: The changed fields.
        read_back: Whether a response was lost and the result was found by
            reading the store.
    """

    version: int
    change_id: str
    changes: list[tables.FieldChange]
    read_back: bool = False


class _WriteOutcome(enum.Enum):
    """Outcome of an unconfirmed write, as found by reading the store."""

    APPLIED = "applied"
    CONFLICT = "lost"
    NOT_WRITTEN = "not_written"
    UNKNOWN = "unclear"


@dataclasses.dataclass(slots=True)
class _PendingWrite:
    """A write and what its attempts have shown so far.

    Attributes:
        change: The requested change.
        entry: Its audit entry.
        latest_version: Version of the table before the write, or the one that
            the store reported last when it rejected an attempt.
        last_read: The table as it was last read, without stale reads.
        has_lost_response: Whether an attempt got no response, so that it may
            have taken effect.
    """

    change: table_change.Change
    entry: tables.ChangeEntry
    latest_version: int
    last_read: table_reader.StoredTable
    has_lost_response: bool = False


class TableWriter:
    """Applies changes to the stored tables."""

    def __init__(
        self,
        store: interfaces.ObjectStore,
        wall_s: Callable[[], float],
        new_id: Callable[[], str],
        sleep: Callable[[float], None],
    ) -> None:
        """Initializes the writer.

        Args:
            store: The object API.
            wall_s: Returns the wall time in Unix seconds.
            new_id: Returns a unique id.
            sleep: Sleeps for a number of seconds.
        """
        self._store = store
        self._wall_s = wall_s
        self._new_id = new_id
        self._sleep = sleep

    def apply(self, change: table_change.Change) -> ApplyResult:
        """Applies a change if the stored version is the expected one.

        Raises:
            ConflictError: Another change was made first.
            TableValidationError: The table is invalid.
            StoreUnavailableError: The store was unavailable before the write.
            OutcomeUnknownError: The write may or may not have taken effect.
        """
        stored = table_reader.read_table(self._store, change.kind)
        if stored.version != change.expected_version:
            raise write_errors.conflict_error(
                self._store, change, stored.version
            )
        self._validate(change)
        differences = tables.diff_tables(stored.value, change.value)
        if not differences:
            return ApplyResult(stored.version, "", [])
        self._copy_entry(stored)
        entry = self._new_entry(change, stored.value)
        value = tables.with_change_entry(stored.value, change.value, entry)
        write = _PendingWrite(change, entry, stored.version, stored)
        version = self._write(write, value)
        return ApplyResult(
            version, entry.change_id, differences, write.has_lost_response
        )

    def _validate(self, change: table_change.Change) -> None:
        """Validates the new table and its consistency with the other one."""
        routes: tables.RouteTable | None
        pools: tables.PoolTable | None
        if change.kind is tables.TableKind.ROUTES:
            routes = tables.parse_routes(change.value, 0)
            pools = self._read_pools()
        else:
            pools = tables.parse_pools(change.value, 0)
            routes = self._read_routes()
        if pools is None or routes is None:
            return
        errors = tables.check_consistency(routes, pools)
        if errors:
            raise tables.TableValidationError(errors)

    def _read_pools(self) -> tables.PoolTable | None:
        stored = table_reader.read_table(self._store, tables.TableKind.POOLS)
        if stored.version == 0:
            return tables.PoolTable(0, {})
        try:
            return tables.parse_pools(stored.value, stored.version)
        except tables.TableValidationError:
            # An invalid stored table must not prevent a correction of the
            # other one.
            return None

    def _read_routes(self) -> tables.RouteTable | None:
        stored = table_reader.read_table(self._store, tables.TableKind.ROUTES)
        if stored.version == 0:
            return None
        try:
            return tables.parse_routes(stored.value, stored.version)
        except tables.TableValidationError:
            return None

    def _new_entry(
        self, change: table_change.Change, stored: Any
    ) -> tables.ChangeEntry:
        before, after = tables.changed_rows(stored, change.value)
        return tables.ChangeEntry(
            change_id=self._new_id(),
            who=change.who,
            wall_s=self._wall_s(),
            what=change.what,
            reason=change.reason,
            before=before,
            after=after,
        )

    def _copy_entry(self, stored: table_reader.StoredTable) -> None:
        """Copies the newest audit entry before the table is overwritten.

        Raises:
            StoreUnavailableError: The store did not confirm the copy.
        """
        if stored.entry is None:
            return
        key = tables.audit_key(stored.kind.key, stored.version)
        value = {"change": stored.entry.to_json(), "version": stored.version}
        for _ in range(WRITE_ATTEMPTS):
            try:
                self._store.put(key, value, 0)
            except interfaces.StoreConflictError:
                # Another writer made the same copy, or an earlier attempt did
                # and its response was lost.
                return
            except interfaces.StoreUnavailableError:
                self._sleep(RETRY_DELAY_S)
            else:
                return
        raise exceptions.StoreUnavailableError(f"PUT {key}")

    def _write(self, write: _PendingWrite, value: Any) -> int:
        for _ in range(WRITE_ATTEMPTS):
            try:
                return self._store.put(
                    write.change.kind.key, value, write.change.expected_version
                ).version
            except interfaces.StoreConflictError as error:
                write.latest_version = error.current_version
            except interfaces.StoreUnavailableError:
                write.has_lost_response = True
                self._sleep(RETRY_DELAY_S)
            outcome, version = self._read_back(write)
            if outcome is _WriteOutcome.APPLIED:
                return version
            if outcome is _WriteOutcome.CONFLICT:
                raise write_errors.conflict_error(
                    self._store, write.change, write.last_read.version
                )
        if not write.has_lost_response:
            # The store rejected every attempt, so the change did not take
            # effect, even if all reads were stale.
            raise write_errors.conflict_error(
                self._store, write.change, write.latest_version
            )
        raise write_errors.outcome_unknown_error(write.change, write.entry)

    def _read_back(self, write: _PendingWrite) -> tuple[_WriteOutcome, int]:
        """Returns the outcome of the write and the version it created, or 0."""
        expected = write.change.expected_version
        try:
            stored = table_reader.read_table(self._store, write.change.kind)
        except exceptions.StoreUnavailableError:
            return _WriteOutcome.UNKNOWN, 0
        if stored.version < write.latest_version:
            # The read is stale: the store has reported a newer version.
            return _WriteOutcome.UNKNOWN, 0
        write.last_read = stored
        if self._is_own_entry(write, stored.entry):
            return _WriteOutcome.APPLIED, stored.version
        if stored.version == expected:
            return _WriteOutcome.NOT_WRITTEN, 0
        if stored.version == expected + 1:
            return _WriteOutcome.CONFLICT, 0
        return self._read_back_audit_copy(write, expected + 1)

    def _read_back_audit_copy(
        self, write: _PendingWrite, version: int
    ) -> tuple[_WriteOutcome, int]:
        """Finds the outcome in the audit copy made by the next writer."""
        key = tables.audit_key(write.change.kind.key, version)
        try:
            copy = self._store.get(key)
        except interfaces.StoreUnavailableError:
            return _WriteOutcome.UNKNOWN, 0
        if copy is None:
            return (
                _WriteOutcome.UNKNOWN
                if write.has_lost_response
                else _WriteOutcome.CONFLICT
            ), 0
        if self._is_own_entry(write, tables.parse_change_entry(copy.value)):
            return _WriteOutcome.APPLIED, version
        return _WriteOutcome.CONFLICT, 0

    @staticmethod
    def _is_own_entry(
        write: _PendingWrite, entry: tables.ChangeEntry | None
    ) -> bool:
        return entry is not None and entry.change_id == write.entry.change_id
