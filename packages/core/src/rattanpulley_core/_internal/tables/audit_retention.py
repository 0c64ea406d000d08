"""Retention of audit entries by age and number.

Entries are deleted only by a command of an operator. Before deleting them, the
command records their versions in an entry `audit/prunes/NUMBER`. These records
are never deleted.
"""

from collections.abc import Iterable, Mapping, Sequence
import dataclasses
from typing import Any

from rattanpulley_core import interfaces
from rattanpulley_core._internal.tables import changes

DAY_S = 24 * 3600.0
AUDIT_RETENTION_S = 400 * DAY_S
# Entries per table: the design load of 1,400 changes per day for 400 days.
AUDIT_LIMIT_ENTRIES = 1_400 * 400
PRUNES = "prunes"
PRUNES_PREFIX = f"{changes.AUDIT_PREFIX}{PRUNES}/"


@dataclasses.dataclass(frozen=True, slots=True)
class PrunedRange:
    """Range of versions of one table whose audit entries a prune deletes.

    Attributes:
        first_version: Lowest version.
        last_version: Highest version.
        entry_count: Number of deleted entries in the range.
    """

    first_version: int
    last_version: int
    entry_count: int


def prune_key(number: int) -> str:
    """Returns the object key of the record of a prune.

    Args:
        number: Sequence number of the prune.
    """
    return changes.audit_key(PRUNES, number)


def expired_entries(
    stored: Iterable[interfaces.StoredObject], wall_s: float
) -> list[interfaces.StoredObject]:
    """Returns the entries of one table that may be deleted, oldest first.

    These are the oldest entries in excess of `AUDIT_LIMIT_ENTRIES` and the
    entries older than `AUDIT_RETENTION_S` that precede the first kept version,
    so that the kept versions have no gaps. Objects without a readable entry or
    time are kept.

    Args:
        stored: Objects below `audit/TABLE/`.
        wall_s: Current time in Unix seconds.
    """
    dated = sorted(
        (
            (version, time_s, item)
            for version, time_s, item in _entries_with_time(stored)
        ),
        key=lambda row: row[0],
    )
    surplus = max(0, len(dated) - AUDIT_LIMIT_ENTRIES)
    count = surplus
    for _, time_s, _ in dated[surplus:]:
        if wall_s - time_s <= AUDIT_RETENTION_S:
            break
        count += 1
    return [item for _, _, item in dated[:count]]


def _entries_with_time(
    stored: Iterable[interfaces.StoredObject],
) -> Iterable[tuple[int, float, interfaces.StoredObject]]:
    for item in stored:
        parts = changes.parse_audit_key(item.key)
        entry = changes.parse_change_entry(item.value)
        # `wall_s` is 0 if the time of the entry cannot be read.
        if parts is not None and entry is not None and entry.wall_s > 0:
            yield parts[1], entry.wall_s, item


def pruned_range(
    expired: Sequence[interfaces.StoredObject],
) -> PrunedRange:
    """Returns the version range of expired entries.

    Args:
        expired: Result of `expired_entries`; must not be empty.
    """
    parts = (changes.parse_audit_key(item.key) for item in expired)
    versions = [part[1] for part in parts if part is not None]
    return PrunedRange(min(versions), max(versions), len(versions))


def ranges_to_json(ranges: Mapping[str, PrunedRange]) -> dict[str, Any]:
    """Returns the `before` field of the record of a prune.

    Args:
        ranges: Pruned range by table name.
    """
    return {name: dataclasses.asdict(pruned) for name, pruned in ranges.items()}


def last_pruned_versions(
    entries: Iterable[changes.ChangeEntry],
) -> dict[str, int]:
    """Returns the highest pruned version by table name.

    Args:
        entries: Entries below `PRUNES_PREFIX`.
    """
    versions_by_table: dict[str, int] = {}
    for entry in entries:
        for table, pruned in entry.before.items():
            version = (
                pruned.get("last_version") if isinstance(pruned, dict) else 0
            )
            if isinstance(version, int):
                previous = versions_by_table.get(table, 0)
                versions_by_table[table] = max(previous, version)
    return versions_by_table
