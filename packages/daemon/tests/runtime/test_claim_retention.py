"""Wiring of the retention of claim records."""

import random

import pytest

from rattanpulley_core import claims
from rattanpulley_core import interfaces
from rattanpulleyd._internal.runtime import claim_retention
from rattanpulleyd._internal.telemetry import counters


class Clock(interfaces.Clock):
    """Clock that the test advances; both readings are the same."""

    now_s = 0.0

    def monotonic_s(self):
        return self.now_s

    wall_s = monotonic_s


class Store(interfaces.ObjectStore):
    """Store whose deletes end as `results` says, and whose list is `rows`."""

    def __init__(self):
        self.results = []
        self.rows = []
        self.deleted = []

    def get(self, key):
        raise NotImplementedError

    put = watch = get

    def delete(self, key, expected_version):
        self.deleted.append((key, expected_version))
        result = self.results.pop(0) if self.results else None
        if result is not None:
            raise result

    def list_objects(self, prefix):
        assert prefix == claims.KEY_PREFIX
        return self.rows, 1


class EndedCall:
    """Call whose record may be deleted from 10 s on."""

    expiring_record = claims.ExpiringRecord(10.0, "claims/a/b", 2)


@pytest.fixture
def parts():
    store, clock, counts = Store(), Clock(), counters.Counters(None)
    job = claim_retention.ClaimRetention(store, clock, counts, random.Random(1))
    job.set_daemon_count(10)
    return job, store, clock, counts


def test_a_remembered_record_is_deleted_and_counted(parts):
    # Guards against records that the daemon claims and never deletes.
    job, store, clock, counts = parts
    job.remember(EndedCall)
    job.tick()
    assert store.deleted == []
    clock.now_s = 11.0
    job.tick()
    assert store.deleted == [("claims/a/b", 2)]
    assert counts.totals_by_name()["claims.deleted"] == 1


def test_an_unclear_delete_is_repeated_and_a_refused_one_is_not(parts):
    # Guards against a record that one lost answer leaves behind.
    job, store, clock, counts = parts
    store.results = [
        interfaces.StoreUnavailableError(""),
        interfaces.StoreConflictError("claims/a/b", 0),
    ]
    job.remember(EndedCall)
    for clock.now_s in (11.0, 12.0, 60.0, 61.0):
        job.tick()
    assert len(store.deleted) == 2
    totals = counts.totals_by_name()
    assert totals["claims.deletes_failed"] == totals["claims.changed"] == 1


def test_a_listing_hands_over_all_its_records(parts):
    # Guards against a part of a long listing that is not looked at.
    job, store, clock, counts = parts
    record = claims.ClaimRecord(
        "t", "f", claims.ClaimState.NOT_RUN, "d", 0.0, 1.0
    )
    store.rows = [
        interfaces.StoredObject(f"claims/a/{i}", claims.to_json(record), 2, 1)
        for i in range(120)
    ]
    # After so long a time without a tick the chance of a listing is 1.
    for clock.now_s in (4e6 + 0.1 * i for i in range(1_300)):
        job.tick()
    assert counts.totals_by_name()["claims.listings"] == 1
    assert {key for key, _ in store.deleted} == {s.key for s in store.rows}
