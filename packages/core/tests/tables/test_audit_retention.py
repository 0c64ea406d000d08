"""Bounds on the audit entries."""

import pytest

from rattanpulley_core import interfaces
from rattanpulley_core import tables
from rattanpulley_core._internal.tables import audit_retention

NOW_S = 2e9
OLD_S = NOW_S - tables.AUDIT_RETENTION_S - 1
YOUNG_S = NOW_S - tables.AUDIT_RETENTION_S + 1


def entry(version, wall_s):
    value = {"change": {"change_id": "c", "wall_s": wall_s}}
    key = tables.audit_key("tables/routes", version)
    return interfaces.StoredObject(key, value, 1, 1)


def expired(*times_s):
    stored = [entry(i + 1, time_s) for i, time_s in enumerate(times_s)]
    found = tables.expired_entries(reversed(stored), NOW_S)
    return [tables.parse_audit_key(item.key)[1] for item in found]


@pytest.mark.parametrize(
    ("times_s", "versions"),
    [
        ((), []),
        ((OLD_S, OLD_S, YOUNG_S, YOUNG_S), [1, 2]),
        # A kept version stays without a hole behind it.
        ((OLD_S, YOUNG_S, OLD_S), [1]),
        # An entry whose time is not readable stays.
        ((None, OLD_S, YOUNG_S), [2]),
    ],
)
def test_only_old_entries_before_the_first_kept_one_go(times_s, versions):
    # Guards against the loss of an entry that is still to be kept.
    assert expired(*times_s) == versions


def test_entries_beyond_the_number_go_oldest_first(monkeypatch):
    # Guards against an audit that grows without bound within the time.
    monkeypatch.setattr(audit_retention, "AUDIT_LIMIT_ENTRIES", 2)
    assert expired(YOUNG_S, YOUNG_S, YOUNG_S) == [1]
