"""Reads the stored tables and their audit entries."""

from collections.abc import Sequence
import dataclasses
from typing import Any

from rattanpulley import exceptions
from rattanpulley_core import interfaces
from rattanpulley_core import tables


@dataclasses.dataclass(frozen=True, slots=True)
class StoredTable:
    """A table in the object API.

    Attributes:
        kind: Kind of the table.
        version: Version of the object; 0 when it is absent.
        value: The decoded JSON value; None when it is absent.
    """

    kind: tables.TableKind
    version: int
    value: Any

    @property
    def entry(self) -> tables.ChangeEntry | None:
        """The audit entry of the newest change, or None."""
        return tables.parse_change_entry(self.value)


@dataclasses.dataclass(frozen=True, slots=True)
class AuditRow:
    """An audit entry with the version that its change created.

    Attributes:
        table: Name of the table, or of the prune records.
        version: Version of the table, or number of the prune record.
        entry: The audit entry.
    """

    table: str
    version: int
    entry: tables.ChangeEntry


def read_table(
    store: interfaces.ObjectStore, kind: tables.TableKind
) -> StoredTable:
    """Returns a stored table.

    Raises:
        StoreUnavailableError: The object API is unavailable.
    """
    try:
        stored = store.get(kind.key)
    except interfaces.StoreUnavailableError as error:
        raise exceptions.StoreUnavailableError(str(error)) from error
    if stored is None:
        return StoredTable(kind, 0, None)
    return StoredTable(kind, stored.version, stored.value)


def read_audit(
    store: interfaces.ObjectStore, kinds: Sequence[tables.TableKind]
) -> list[AuditRow]:
    """Returns all audit entries of tables, with the newest one of each.

    The tables are read after the copies, so that a change made between the two
    reads is found in at least one of them; the result has it at most once.

    Raises:
        StoreUnavailableError: The object API is unavailable.
    """
    rows_by_version: dict[tuple[str, int], AuditRow] = {}
    for kind in kinds:
        for row in (*_read_copies(store, kind), *_read_newest(store, kind)):
            rows_by_version[row.table, row.version] = row
    return sorted(
        rows_by_version.values(),
        key=lambda row: (row.entry.wall_s, row.version),
    )


def read_prunes(store: interfaces.ObjectStore) -> list[AuditRow]:
    """Returns the records of prunes, oldest first.

    Raises:
        StoreUnavailableError: The object API is unavailable.
    """
    rows = _read_rows(store, tables.PRUNES_PREFIX)
    return sorted(rows, key=lambda row: row.version)


def missing_versions(
    rows: Sequence[AuditRow], prunes: Sequence[AuditRow] = ()
) -> dict[str, list[int]]:
    """Returns the versions without an entry below the newest one, by table.

    Such a version was written by another program, or its audit object was
    deleted. Versions up to the last one that a prune deleted are not reported.

    Args:
        rows: Audit entries of the tables.
        prunes: Records of prunes.
    """
    last_pruned = tables.last_pruned_versions(row.entry for row in prunes)
    versions_by_table: dict[str, set[int]] = {}
    for row in rows:
        versions_by_table.setdefault(row.table, set()).add(row.version)
    return {
        table: missing
        for table, versions in versions_by_table.items()
        if (missing := _find_missing(versions, last_pruned.get(table, 0)))
    }


def _find_missing(versions: set[int], last_pruned: int) -> list[int]:
    expected = range(last_pruned + 1, max(versions) + 1)
    return sorted(set(expected) - versions)


def _read_copies(
    store: interfaces.ObjectStore, kind: tables.TableKind
) -> list[AuditRow]:
    return _read_rows(store, f"{tables.AUDIT_PREFIX}{kind.value}/")


def _read_rows(store: interfaces.ObjectStore, prefix: str) -> list[AuditRow]:
    try:
        stored, _ = store.list_objects(prefix)
    except interfaces.StoreUnavailableError as error:
        raise exceptions.StoreUnavailableError(str(error)) from error
    rows = []
    for item in stored:
        parts = tables.parse_audit_key(item.key)
        entry = tables.parse_change_entry(item.value)
        if parts is not None and entry is not None:
            rows.append(AuditRow(parts[0], parts[1], entry))
    return rows


def _read_newest(
    store: interfaces.ObjectStore, kind: tables.TableKind
) -> list[AuditRow]:
    stored = read_table(store, kind)
    if stored.entry is None:
        return []
    return [AuditRow(kind.value, stored.version, stored.entry)]
