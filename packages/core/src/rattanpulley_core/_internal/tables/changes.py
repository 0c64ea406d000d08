"""Differences between tables, and audit entries of changes.

The entry of the latest change is stored in the `change` field of the table
itself, so that a single write stores both. The next writer copies the entry to
`audit/TABLE/VERSION` before it overwrites the table.
"""

from collections.abc import Iterator, Mapping
import dataclasses
from typing import Any

AUDIT_PREFIX = "audit/"
# Versions in audit keys are zero-padded, so that the keys sort by version.
_VERSION_DIGITS = 12


@dataclasses.dataclass(frozen=True, slots=True)
class FieldChange:
    """Difference of one field between two tables.

    Attributes:
        keys: Keys from the root of the table to the field.
        before: Old JSON value; None if the field was absent.
        after: New JSON value; None if the field is absent.
    """

    keys: tuple[str, ...]
    before: Any
    after: Any

    @property
    def path(self) -> str:
        """The keys joined by dots."""
        return ".".join(self.keys)


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeEntry:
    """Audit entry of one change of a table.

    Attributes:
        change_id: Unique id, by which a writer recognizes its own write.
        who: Name of the operator.
        wall_s: Time of the change in Unix seconds.
        what: Command that made the change.
        reason: Reason that the operator gave; may be empty.
        before: Old values of the changed rows by name; None for an added row.
        after: New values of the changed rows by name; None for a removed row.
    """

    change_id: str
    who: str
    wall_s: float
    what: str
    reason: str
    before: Mapping[str, Any]
    after: Mapping[str, Any]

    def to_json(self) -> dict[str, Any]:
        """Returns the entry as a JSON object."""
        fields = {f.name: getattr(self, f.name) for f in _ENTRY_FIELDS}
        fields["before"] = dict(self.before)
        fields["after"] = dict(self.after)
        return fields

    def row_changes(self) -> list[FieldChange]:
        """Returns the differences of the fields of the changed rows."""
        return list(
            _differences(("rows",), dict(self.before), dict(self.after))
        )


_ENTRY_FIELDS = dataclasses.fields(ChangeEntry)


def parse_change_entry(value: Any) -> ChangeEntry | None:
    """Returns the change entry of a stored object, or None if it has none.

    Missing or malformed fields of the entry are replaced by empty values.

    Args:
        value: JSON value of a table or of an audit object.
    """
    if not isinstance(value, dict):
        return None
    fields = value.get("change")
    if not isinstance(fields, dict) or "change_id" not in fields:
        return None
    before, after = fields.get("before"), fields.get("after")
    return ChangeEntry(
        change_id=str(fields["change_id"]),
        who=str(fields.get("who", "")),
        wall_s=_parse_number(fields.get("wall_s")),
        what=str(fields.get("what", "")),
        reason=str(fields.get("reason", "")),
        before=before if isinstance(before, dict) else {},
        after=after if isinstance(after, dict) else {},
    )


def _parse_number(value: Any) -> float:
    is_number = isinstance(value, int | float) and value is not True
    return float(value) if is_number else 0.0


def diff_tables(before: Any, after: Any) -> list[FieldChange]:
    """Returns the differences between two tables except the change entry.

    Args:
        before: JSON value of the old table; None if it does not exist.
        after: JSON value of the new table.
    """
    return list(
        _differences(
            (), without_change_entry(before), without_change_entry(after)
        )
    )


def without_change_entry(value: Any) -> dict[str, Any]:
    """Returns the JSON value of a table without its change entry."""
    if not isinstance(value, dict):
        return {}
    return {key: field for key, field in value.items() if key != "change"}


def _differences(
    keys: tuple[str, ...], before: Any, after: Any
) -> Iterator[FieldChange]:
    if not isinstance(before, dict) or not isinstance(after, dict):
        # 1, 1.0 and True are equal in Python but different in JSON.
        if type(before) is not type(after) or before != after:
            yield FieldChange(keys, before, after)
        return
    for key in sorted(before.keys() | after.keys()):
        yield from _differences((*keys, key), before.get(key), after.get(key))


def changed_rows(before: Any, after: Any) -> tuple[dict[str, Any], ...]:
    """Returns the old and the new values of the changed rows, by name.

    The value of a row is None in the table that does not contain it.

    Args:
        before: JSON value of the old table, or None.
        after: JSON value of the new table.
    """
    old_rows, new_rows = _rows(before), _rows(after)
    names = [
        name
        for name in sorted(old_rows.keys() | new_rows.keys())
        if old_rows.get(name) != new_rows.get(name)
    ]
    return (
        {name: old_rows.get(name) for name in names},
        {name: new_rows.get(name) for name in names},
    )


def _rows(value: Any) -> dict[str, Any]:
    rows = value.get("rows") if isinstance(value, dict) else None
    return rows if isinstance(rows, dict) else {}


def with_change_entry(
    stored: Any, new: Any, entry: ChangeEntry
) -> dict[str, Any]:
    """Returns the table value to write, including its change entry.

    Top-level fields of the stored value that the new value lacks are kept,
    because a later schema may have added them.

    Args:
        stored: JSON value of the stored table, or None.
        new: JSON value of the new table.
        entry: Change entry of the write.
    """
    kept = without_change_entry(stored)
    return {**kept, **without_change_entry(new), "change": entry.to_json()}


def audit_key(table_key: str, version: int) -> str:
    """Returns the object key of the audit entry of a table version.

    Args:
        table_key: Object key of the table, such as `tables/routes`.
        version: Version of the table that contained the entry.
    """
    table = table_key.rsplit("/", 1)[-1]
    return f"{AUDIT_PREFIX}{table}/{version:0{_VERSION_DIGITS}d}"


def parse_audit_key(key: str) -> tuple[str, int] | None:
    """Returns the table name and version, or None if the key is malformed."""
    parts = key.removeprefix(AUDIT_PREFIX).split("/")
    if len(parts) != 2 or not parts[1].isdecimal():
        return None
    return parts[0], int(parts[1])
