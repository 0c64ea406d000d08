"""Tests of the retention of audit entries."""

import pytest

from rattanpulley_core import interfaces
from rattanpulley_core import tables
from rattanpulley_core._internal.tables import audit_retention

NOW_S = 2e9
OLD_S = NOW_S - tables.AUDIT_RETENTION_S - 1
RECENT_S = NOW_S - tables.AUDIT_RETENTION_S + 1


def make_entry(version, wall_s):
    value = {"change": {"change_id": "c", "wall_s": wall_s}}
    key = tables.audit_key("tables/routes", version)
    return interfaces.StoredObject(key, value, 1, 1)


def expired_versions(*times_s):
    stored = [make_entry(i + 1, time_s) for i, time_s in enumerate(times_s)]
    expired = tables.expired_entries(reversed(stored), NOW_S)
    return [tables.parse_audit_key(item.key)[1] for item in expired]


@pytest.mark.parametrize(
    ("times_s", "versions"),
    [
        ((), []),
        ((OLD_S, OLD_S, RECENT_S, RECENT_S), [1, 2]),
        # No entry after the first kept one is deleted.
        ((OLD_S, RECENT_S, OLD_S), [1]),
        # An entry whose time cannot be read is kept.
        ((None, OLD_S, RECENT_S), [2]),
    ],
)
def test_only_old_entries_before_the_first_kept_one_expire(times_s, versions):
    # Guards against deleting an entry within the retention time.
    assert expired_versions(*times_s) == versions


def test_surplus_entries_expire_oldest_first(monkeypatch):
    # Guards against an unbounded number of entries within the retention time.
    monkeypatch.setattr(audit_retention, "AUDIT_LIMIT_ENTRIES", 2)
    assert expired_versions(RECENT_S, RECENT_S, RECENT_S) == [1]
