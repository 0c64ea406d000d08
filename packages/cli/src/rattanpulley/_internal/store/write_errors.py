"""Errors of table writes, with the changes of others and their authors."""

from rattanpulley import exceptions
from rattanpulley._internal.store import table_change
from rattanpulley._internal.store import table_reader
from rattanpulley_core import interfaces
from rattanpulley_core import tables


def conflict_error(
    store: interfaces.ObjectStore,
    change: table_change.Change,
    current_version: int,
) -> exceptions.ConflictError:
    """Returns the error, with the newer changes and their authors.

    Args:
        store: The object API, from which the newer changes are read.
        change: The refused change.
        current_version: Version of the stored table.
    """
    newer_rows = [
        row
        for row in _audit_rows(store, change.kind)
        if row.version > change.expected_version
    ]
    lines = [
        f"the {change.kind.value} table has version {current_version}, not"
        f" {change.expected_version}"
    ]
    lines.extend(_describe(row) for row in newer_rows)
    details = {
        "expected_version": change.expected_version,
        "current_version": current_version,
        "changes": [
            {"version": row.version, **row.entry.to_json()}
            for row in newer_rows
        ],
    }
    hint = (
        f"Nothing was written. Run 'rattanpulley diff {change.kind.value}"
        " FILE' again and apply with the new version"
    )
    return exceptions.ConflictError("\n".join(lines), hint, details)


def _audit_rows(
    store: interfaces.ObjectStore, kind: tables.TableKind
) -> list[table_reader.AuditRow]:
    try:
        return table_reader.read_audit(store, [kind])
    except exceptions.StoreUnavailableError:
        # The conflict is certain; only the list of changes is missing.
        return []


def _describe(row: table_reader.AuditRow) -> str:
    paths = ", ".join(change.path for change in row.entry.row_changes())
    return f"version {row.version} by {row.entry.who}: {paths}"


def outcome_unknown_error(
    change: table_change.Change, entry: tables.ChangeEntry
) -> exceptions.OutcomeUnknownError:
    """Returns the error for a change whose write the store did not confirm."""
    table = change.kind.value
    return exceptions.OutcomeUnknownError(
        f"the object API did not confirm change {entry.change_id} of the"
        f" {table} table",
        "It may still take effect. Look for the change id with 'rattanpulley"
        f" audit --table {table}' before you apply again",
        {"change_id": entry.change_id, "table": table},
    )
