"""Bounds on the age and the number of audit entries.

Entries are deleted only by an operator's command. It first records which
versions go as an entry of its own, `audit/prunes/NUMBER`; these records are
never deleted.
"""

from collections.abc import Iterable, Mapping, Sequence
import dataclasses
from typing import Any

from rattanpulley_core import interfaces
from rattanpulley_core._internal.tables import changes

DAY_S = 24 * 3600.0
AUDIT_RETENTION_S = 400 * DAY_S
# Entries of one table: 1,400 changes a day, the design size, for 400 days.
AUDIT_LIMIT_ENTRIES = 1_400 * 400
PRUNES = "prunes"
PRUNES_PREFIX = f"{changes.AUDIT_PREFIX}{PRUNES}/"


@dataclasses.dataclass(frozen=True, slots=True)
class PrunedRange:
    """Versions of one table whose entries a prune deletes.

    Attributes:
        first_version: Lowest version.
        last_version: Highest version.
        entry_count: Number of entries between the two.
    """

    first_version: int
    last_version: int
    entry_count: int


def prune_key(number: int) -> str:
    """Returns the key of the record of a prune."""
    return changes.audit_key(PRUNES, number)


def expired_entries(
    stored: Iterable[interfaces.StoredObject], wall_s: float
) -> list[interfaces.StoredObject]:
    """Returns the entries of one table that may be deleted, oldest first.

    These are the entries above `AUDIT_LIMIT_ENTRIES` and those older than
    `AUDIT_RETENTION_S`, up to the first version that is kept, so that no hole
    arises between kept versions. Objects without a readable entry or without
    a time are kept.

    Args:
        stored: Objects below `audit/TABLE/`.
        wall_s: Unix seconds now.
    """
    dated = sorted(
        ((version, time_s, item) for version, time_s, item in _dated(stored)),
        key=lambda row: row[0],
    )
    surplus = max(0, len(dated) - AUDIT_LIMIT_ENTRIES)
    count = surplus
    for _, time_s, _ in dated[surplus:]:
        if wall_s - time_s <= AUDIT_RETENTION_S:
            break
        count += 1
    return [item for _, _, item in dated[:count]]


def _dated(
    stored: Iterable[interfaces.StoredObject],
) -> Iterable[tuple[int, float, interfaces.StoredObject]]:
    for item in stored:
        parts = changes.parse_audit_key(item.key)
        entry = changes.parse_change_entry(item.value)
        # An entry whose time is not readable has the time 0.
        if parts is not None and entry is not None and entry.wall_s > 0:
            yield parts[1], entry.wall_s, item


def pruned_range(
    expired: Sequence[interfaces.StoredObject],
) -> PrunedRange:
    """Returns the versions of entries from `expired_entries`, not empty."""
    parts = (changes.parse_audit_key(item.key) for item in expired)
    versions = [part[1] for part in parts if part is not None]
    return PrunedRange(min(versions), max(versions), len(versions))


def ranges_to_json(ranges: Mapping[str, PrunedRange]) -> dict[str, Any]:
    """Returns the field `before` of the record of a prune."""
    return {name: dataclasses.asdict(span) for name, span in ranges.items()}


def last_pruned_versions(
    entries: Iterable[changes.ChangeEntry],
) -> dict[str, int]:
    """Returns the highest pruned version of each table.

    Args:
        entries: Entries of the records of prunes.
    """
    versions_by_table: dict[str, int] = {}
    for entry in entries:
        for table, span in entry.before.items():
            version = span.get("last_version") if isinstance(span, dict) else 0
            if isinstance(version, int):
                former = versions_by_table.get(table, 0)
                versions_by_table[table] = max(former, version)
    return versions_by_table
