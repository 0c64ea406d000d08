"""Conditional writes of a table with its audit entry.

The object API can lose the answer of a write that took effect. Each change
therefore carries a unique id, and the writer reads the table back until it
knows whether its own change is in it.
"""

from collections.abc import Callable
import dataclasses
import enum
from typing import Any

from rattanpulley import exceptions
from rattanpulley._internal.store import table_reader
from rattanpulley_core import interfaces
from rattanpulley_core import tables

# With the pauses between them these attempts outlast a short outage; a person
# waits for the command, so they do not go on for longer.
WRITE_ATTEMPTS = 5
PAUSE_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change that an operator wants to make.

    Attributes:
        kind: Which table.
        value: The new table.
        expected_version: Version that the operator has seen; 0 creates.
        who: Name of the operator.
        what: Command that makes the change.
        reason: Text that the operator gave; may be empty.
    """

    kind: tables.TableKind
    value: Any
    expected_version: int
    who: str
    what: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """Result of a change.

    Attributes:
        version: Version that the change made, or the present one if nothing
            was to be changed.
        change_id: Id in the audit entry; empty if nothing was to be changed.
        changes: The changed fields.
        read_back: Whether an answer was lost and the store was read back.
    """

    version: int
    change_id: str
    changes: list[tables.FieldChange]
    read_back: bool = False


class _Found(enum.Enum):
    """What a read shows about a write without a clear answer."""

    APPLIED = "applied"
    LOST = "lost"
    NOT_WRITTEN = "not_written"
    UNCLEAR = "unclear"


@dataclasses.dataclass(slots=True)
class _Write:
    """State of one write over its attempts."""

    change: Change
    entry: tables.ChangeEntry
    known_version: int
    seen: table_reader.StoredTable
    unclear: bool = False


class TableWriter:
    """Makes changes of tables."""

    def __init__(
        self,
        store: interfaces.ObjectStore,
        wall_s: Callable[[], float],
        new_id: Callable[[], str],
        pause: Callable[[float], None],
    ) -> None:
        """Prepares the writer.

        Args:
            store: The object API.
            wall_s: Returns Unix seconds.
            new_id: Returns a unique id.
            pause: Waits for a number of seconds.
        """
        self._store = store
        self._wall_s = wall_s
        self._new_id = new_id
        self._pause = pause

    def apply(self, change: Change) -> Applied:
        """Makes a change if the stored version is the expected one.

        Raises:
            ConflictError: Another change was made first.
            TableValidationError: The table has faults.
            StoreUnavailableError: No clear answer before the write.
            OutcomeUnknownError: No clear answer about the write.
        """
        stored = table_reader.read_table(self._store, change.kind)
        if stored.version != change.expected_version:
            raise self._conflict(change, stored.version)
        self._check(change)
        differences = tables.diff_tables(stored.value, change.value)
        if not differences:
            return Applied(stored.version, "", [])
        self._copy_entry(stored)
        entry = self._new_entry(change, stored.value)
        value = tables.with_change_entry(stored.value, change.value, entry)
        write = _Write(change, entry, stored.version, stored)
        version = self._write(write, value)
        return Applied(version, entry.change_id, differences, write.unclear)

    def _check(self, change: Change) -> None:
        """Checks the new table alone and together with the other one."""
        routes: tables.RouteTable | None
        pools: tables.PoolTable | None
        if change.kind is tables.TableKind.ROUTES:
            routes = tables.parse_routes(change.value, 0)
            pools = self._parsed_pools()
        else:
            pools = tables.parse_pools(change.value, 0)
            routes = self._parsed_routes()
        if pools is None or routes is None:
            return
        found = tables.check_consistency(routes, pools)
        if found:
            raise tables.TableValidationError(found)

    def _parsed_pools(self) -> tables.PoolTable | None:
        stored = table_reader.read_table(self._store, tables.TableKind.POOLS)
        if stored.version == 0:
            return tables.PoolTable(0, {})
        try:
            return tables.parse_pools(stored.value, stored.version)
        except tables.TableValidationError:
            # A stored table with faults must not keep the other one from
            # being repaired.
            return None

    def _parsed_routes(self) -> tables.RouteTable | None:
        stored = table_reader.read_table(self._store, tables.TableKind.ROUTES)
        if stored.version == 0:
            return None
        try:
            return tables.parse_routes(stored.value, stored.version)
        except tables.TableValidationError:
            return None

    def _new_entry(self, change: Change, stored: Any) -> tables.ChangeEntry:
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
        """Copies the newest entry before the table is overwritten.

        Raises:
            StoreUnavailableError: The copy could not be confirmed.
        """
        if stored.entry is None:
            return
        key = tables.audit_key(stored.kind.key, stored.version)
        value = {"change": stored.entry.to_json(), "version": stored.version}
        for _ in range(WRITE_ATTEMPTS):
            try:
                self._store.put(key, value, 0)
            except interfaces.StoreConflictError:
                # Another writer made the same copy, or this one did and the
                # answer was lost.
                return
            except interfaces.StoreUnavailableError:
                self._pause(PAUSE_S)
            else:
                return
        raise exceptions.StoreUnavailableError(f"PUT {key}")

    def _write(self, write: _Write, value: Any) -> int:
        for _ in range(WRITE_ATTEMPTS):
            try:
                return self._store.put(
                    write.change.kind.key, value, write.change.expected_version
                ).version
            except interfaces.StoreConflictError as error:
                write.known_version = error.current_version
            except interfaces.StoreUnavailableError:
                write.unclear = True
                self._pause(PAUSE_S)
            found, version = self._read_back(write)
            if found is _Found.APPLIED:
                return version
            if found is _Found.LOST:
                raise self._conflict(write.change, write.seen.version)
        if not write.unclear:
            # The store refused every write, whatever the reads showed.
            raise self._conflict(write.change, write.known_version)
        raise _unknown(write)

    def _read_back(self, write: _Write) -> tuple[_Found, int]:
        """Returns what became of the write, and the version it made."""
        expected = write.change.expected_version
        try:
            stored = table_reader.read_table(self._store, write.change.kind)
        except exceptions.StoreUnavailableError:
            return _Found.UNCLEAR, 0
        if stored.version < write.known_version:
            # The read is older than an answer that the store gave before.
            return _Found.UNCLEAR, 0
        write.seen = stored
        if self._is_own(write, stored.entry):
            return _Found.APPLIED, stored.version
        if stored.version == expected:
            return _Found.NOT_WRITTEN, 0
        if stored.version == expected + 1:
            return _Found.LOST, 0
        return self._read_back_copy(write, expected + 1)

    def _read_back_copy(
        self, write: _Write, version: int
    ) -> tuple[_Found, int]:
        """Looks for the own entry in the copy that the next writer made."""
        key = tables.audit_key(write.change.kind.key, version)
        try:
            copy = self._store.get(key)
        except interfaces.StoreUnavailableError:
            return _Found.UNCLEAR, 0
        if copy is None:
            return (_Found.UNCLEAR if write.unclear else _Found.LOST), 0
        if self._is_own(write, tables.parse_change_entry(copy.value)):
            return _Found.APPLIED, version
        return _Found.LOST, 0

    @staticmethod
    def _is_own(write: _Write, entry: tables.ChangeEntry | None) -> bool:
        return entry is not None and entry.change_id == write.entry.change_id

    def _conflict(
        self, change: Change, current_version: int
    ) -> exceptions.ConflictError:
        """Returns the error that tells what changed and by whom."""
        since = [
            row
            for row in self._audit_rows(change.kind)
            if row.version > change.expected_version
        ]
        lines = [
            f"the {change.kind.value} table has version {current_version}, not"
            f" {change.expected_version}"
        ]
        lines.extend(_describe(row) for row in since)
        details = {
            "expected_version": change.expected_version,
            "current_version": current_version,
            "changes": [
                {"version": row.version, **row.entry.to_json()} for row in since
            ],
        }
        hint = (
            f"Nothing was written. Run 'rattanpulley diff {change.kind.value}"
            " FILE' again and apply with the new version"
        )
        return exceptions.ConflictError("\n".join(lines), hint, details)

    def _audit_rows(
        self, kind: tables.TableKind
    ) -> list[table_reader.AuditRow]:
        try:
            return table_reader.read_audit(self._store, [kind])
        except exceptions.StoreUnavailableError:
            # The conflict itself is certain; only its description is missing.
            return []


def _describe(row: table_reader.AuditRow) -> str:
    paths = ", ".join(change.path for change in row.entry.row_changes())
    return f"version {row.version} by {row.entry.who}: {paths}"


def _unknown(write: _Write) -> exceptions.OutcomeUnknownError:
    table = write.change.kind.value
    return exceptions.OutcomeUnknownError(
        f"the object API did not confirm change {write.entry.change_id} of the"
        f" {table} table",
        "It may still take effect. Look for the change id with 'rattanpulley"
        f" audit --table {table}' before you apply again",
        {"change_id": write.entry.change_id, "table": table},
    )
