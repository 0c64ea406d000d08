"""Retention of claim records by several daemons on one store."""

import random

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from packages.core.tests.claims import fakes
from rattanpulley_core import claims
from rattanpulley_core import interfaces
from rattanpulley_core._internal.claims import retention

MAX_CALL_S = 10.0
KEPT_S = claims.CLAIM_RETENTION_S + MAX_CALL_S
DAY_S = 24 * 3600.0
OPEN_STATES = (claims.ClaimState.STARTED, claims.ClaimState.UNKNOWN)
# Wall clocks of the daemons differ by at most 2 s.
OFFSETS_S = (-1.0, 0.0, 1.0)
KEYS = ("a", "b", "c", "d", "e")


class World(interfaces.ObjectStore, interfaces.ServiceApi):
    """Store and service that check each delete and each run.

    `faults` lists the faults of the next writes: `ok`, `down` (no effect),
    `lost` (takes effect) and `late` (a delete takes effect later); the last
    three give no answer.
    """

    def __init__(self):
        self.now_s = 1e6
        self.faults = []
        self.result = "ok"
        self.objects_by_key = {}
        self.versions_by_key = {}
        self.late_deletes = []
        self.claimed_s_by_token = {}
        self.ran_s_by_key = {}
        self.deletes = 0

    def get(self, key):
        return self.objects_by_key.get(key)

    def list_objects(self, prefix):
        return list(self.objects_by_key.values()), 0

    def watch(self, prefix, after_revision, timeout_s):
        raise NotImplementedError

    def put(self, key, value, expected_version):
        fault = self._begin(key, expected_version)
        version = self.versions_by_key.get(key, 0) + 1
        stored = interfaces.StoredObject(key, value, version, 0)
        self.versions_by_key[key] = version
        self.objects_by_key[key] = stored
        self.claimed_s_by_token.setdefault(value["token"], self.now_s)
        self._end(fault)
        return stored

    def delete(self, key, expected_version):
        if self.faults[:1] == ["late"]:
            self.late_deletes.append((key, expected_version))
        fault = self._begin(key, expected_version)
        self._remove(key)
        self._end(fault)

    def deliver_late(self):
        for key, version in self.late_deletes:
            if self._version(key) == version:
                self._remove(key)
        self.late_deletes = []

    def call(self, order):
        if self.result == "not_sent":
            raise interfaces.ServiceNotSentError
        key = order.path
        assert self.now_s - self.ran_s_by_key.get(key, -1e9) >= KEPT_S
        self.ran_s_by_key[key] = self.now_s
        if self.result == "unknown":
            raise interfaces.ServiceOutcomeUnknownError
        return fakes.SERVED

    def _begin(self, key, expected_version):
        fault = self.faults.pop(0) if self.faults else "ok"
        if fault in ("down", "late"):
            raise interfaces.StoreUnavailableError
        if self._version(key) != expected_version:
            raise interfaces.StoreConflictError(key, self._version(key))
        return fault

    def _end(self, fault):
        if fault == "lost":
            raise interfaces.StoreUnavailableError

    def _version(self, key):
        stored = self.objects_by_key.get(key)
        return stored.version if stored else 0

    def _remove(self, key):
        record = claims.from_json(self.objects_by_key.pop(key).value)
        self.versions_by_key[key] += 1
        self.deletes += 1
        claimed_s = self.claimed_s_by_token[record.token]
        assert record.state not in OPEN_STATES
        assert self.now_s >= claimed_s + KEPT_S


class Daemon(interfaces.Clock):
    """One daemon with a wall clock of its own."""

    def __init__(self, world, offset_s):
        self.world = world
        self.offset_s = offset_s
        self.restart()

    def restart(self):
        self.part = claims.RecordRetention(random.Random(1), self.world.now_s)

    def monotonic_s(self):
        return self.world.now_s

    def wall_s(self):
        return self.world.now_s + self.offset_s

    def claim(self, key, token):
        order = interfaces.ServiceRequest(
            "s", "u", key, "POST", (), b"", MAX_CALL_S, True
        )
        call = claims.ClaimCall(
            claims.ClaimRequest("a", key, "f", token, "d", MAX_CALL_S, order)
        )
        claims.run(call, self.world, self.world, self)
        if call.expiring_record is not None:
            self.part.remember(call.expiring_record)

    def tick(self):
        now_s = self.monotonic_s()
        action = self.part.tick(now_s, self.wall_s())
        if isinstance(action, claims.ListRecords):
            self.list_records()
        elif action is not None:
            self.part.record_delete_result(
                action, self._delete(action.record), now_s
            )

    def list_records(self):
        stored, _ = self.world.list_objects(claims.KEY_PREFIX)
        self.part.record_listing(
            stored, len(stored), self.monotonic_s(), self.wall_s()
        )

    def _delete(self, record):
        try:
            self.world.delete(record.key, record.version)
        except interfaces.StoreConflictError:
            return claims.DeleteResult.CHANGED
        except interfaces.StoreUnavailableError:
            return claims.DeleteResult.UNKNOWN
        return claims.DeleteResult.DELETED


class RetentionMachine(stateful.RuleBasedStateMachine):
    """Guards against a lost open record and a second run within the time."""

    daemons = st.integers(0, 2)
    faults = st.one_of(
        st.lists(st.sampled_from(("ok", "lost", "down", "late")), max_size=4),
        st.just([]),
    )

    def __init__(self):
        super().__init__()
        self.world = World()
        self.daemons_by_index = [Daemon(self.world, o) for o in OFFSETS_S]
        self.tokens = 0

    @stateful.rule(
        index=daemons,
        key=st.sampled_from(KEYS),
        result=st.sampled_from(("ok", "ok", "not_sent", "unknown")),
        faults=faults,
    )
    def claim(self, index, key, result, faults):
        self.tokens += 1
        self.world.result = result
        self.world.faults = faults
        self.daemons_by_index[index].claim(key, str(self.tokens))
        self.world.faults = []

    @stateful.rule(index=daemons, key=st.sampled_from(KEYS))
    def crash_in_call(self, index, key):
        # The outcome is never written.
        self.claim(index, key, "ok", ["ok", "down", "down", "down"])
        self.restart(index)

    @stateful.rule(
        step_s=st.sampled_from((9.0, 90.0, 3600.0, DAY_S, 1.1 * DAY_S))
    )
    def advance(self, step_s):
        self.world.now_s += step_s

    @stateful.rule(index=daemons, offset_s=st.sampled_from(OFFSETS_S))
    def step_clock(self, index, offset_s):
        self.daemons_by_index[index].offset_s = offset_s

    @stateful.rule(index=daemons)
    def restart(self, index):
        self.daemons_by_index[index].restart()

    @stateful.rule(index=daemons)
    def list_records(self, index):
        self.daemons_by_index[index].list_records()

    @stateful.rule(index=daemons, faults=faults, count=st.integers(1, 4))
    def tick(self, index, faults, count):
        self.world.faults = faults
        for _ in range(count):
            self.daemons_by_index[index].tick()
        self.world.faults = []

    @stateful.rule(
        step_s=st.sampled_from((KEPT_S - 1.0, KEPT_S + 3 * 3600.0)),
    )
    def pass_retention(self, step_s):
        self.world.now_s += step_s
        for daemon in self.daemons_by_index:
            daemon.list_records()
            for _ in range(4):
                daemon.tick()
                self.world.now_s += 0.1

    @stateful.rule()
    def deliver_late(self):
        self.world.deliver_late()

    @stateful.rule(key=st.sampled_from(KEYS), as_run=st.booleans())
    def settle(self, key, as_run):
        name = claims.claim_key("a", key)
        try:
            claims.settle(
                self.world, name, as_run, "op", self.world.now_s, "looked"
            )
        except claims.SettlementRefusedError:
            return
        if not as_run:
            self.world.ran_s_by_key.pop(key, None)


TestRetention = RetentionMachine.TestCase
TestRetention.settings = settings(
    derandomize=True, deadline=None, max_examples=300, stateful_step_count=30
)


@pytest.fixture
def world():
    return World()


def test_an_own_record_is_deleted_after_its_time_and_not_before(world):
    # Guards against records that stay for ever or go too early.
    daemon = Daemon(world, 1.0)
    daemon.claim("a", "t")
    world.now_s += KEPT_S + retention.RETENTION_MARGIN_S - 2.0
    daemon.tick()
    assert world.deletes == 0
    world.now_s += 2.0
    daemon.tick()
    assert world.deletes == 1


def test_a_listing_finds_what_a_restarted_daemon_left(world):
    # Guards against records that nobody deletes after a restart.
    daemon = Daemon(world, 0.0)
    daemon.claim("a", "t")
    daemon.restart()
    world.now_s += KEPT_S + 2 * retention.OWNER_PRIORITY_S
    daemon.list_records()
    daemon.tick()
    assert not world.objects_by_key


def test_a_record_claimed_again_survives_an_old_memory(world):
    # Guards against a delete that is not bound to the version it saw.
    first, second = Daemon(world, 0.0), Daemon(world, 0.0)
    world.result = "not_sent"
    first.claim("a", "t1")
    world.now_s += KEPT_S + 2 * retention.RETENTION_MARGIN_S
    world.result = "unknown"
    second.claim("a", "t2")
    # The long time without a tick makes the first one a listing.
    first.tick()
    first.tick()
    assert world.deletes == 0
    assert first.part.remembered_count == 0


def test_a_settlement_starts_the_time_again(world):
    # Guards against a settled record that goes before its caller reads it.
    daemon = Daemon(world, 0.0)
    world.result = "unknown"
    daemon.claim("a", "t")
    world.now_s += 3 * DAY_S
    key = claims.claim_key("a", "a")
    claims.settle(world, key, True, "op", world.now_s, "looked")
    found = claims.expiring_record_from_object(world.get(key))
    assert found.delete_from_wall_s >= world.now_s + KEPT_S


@pytest.mark.parametrize(
    "value", [None, [], {}, {"state": "done"}, {"state": "newer"}]
)
def test_an_unreadable_record_is_kept(value):
    # Guards against deleting what only a newer version understands.
    stored = interfaces.StoredObject("claims/a/b", value, 1, 1)
    assert claims.expiring_record_from_object(stored) is None


def test_a_record_of_a_newer_form_is_kept(world):
    # Guards against deleting what only a newer version understands.
    Daemon(world, 0.0).claim("a", "t")
    stored = world.get(claims.claim_key("a", "a"))
    assert claims.expiring_record_from_object(stored) is not None
    stored.value["schema"] += 1
    assert claims.expiring_record_from_object(stored) is None


def _fleet_calls(daemon_count, span_s, fill, step_s=0.1):
    """Returns the calls of one of `daemon_count` daemons by type."""
    part = claims.RecordRetention(random.Random(7), 0.0)
    part.set_daemon_count(daemon_count, 0.0)
    for number in range(fill):
        part.remember(claims.ExpiringRecord(0.0, str(number), 1))
    count = round(span_s / step_s)
    calls = [part.tick(i * step_s, 1.0) for i in range(count)]
    return [type(call) for call in calls if call is not None]


def test_the_deletes_of_the_fleet_stay_within_the_budget():
    # Guards against deletes that take the platform's writes from the claims.
    for count in (1, 10, 380):
        calls = _fleet_calls(count, 200.0, 3_000)
        deletes = calls.count(claims.DeleteRecord)
        share = claims.FLEET_DELETES_PER_S / max(count, 10)
        assert 0.9 * share * 200 <= deletes <= share * 200 + 2


def test_the_fleet_lists_about_once_an_hour():
    # Guards against a rate of listings that grows with the fleet.
    calls = _fleet_calls(10, 40 * 36_000.0, 0, step_s=10.0)
    assert 20 <= calls.count(claims.ListRecords) <= 60


def test_a_large_listing_is_not_repeated_for_a_day(world):
    # Guards against listings that delay the streams again and again.
    daemon = Daemon(world, 0.0)
    daemon.part.record_listing((), claims.LISTING_LIMIT_RECORDS + 1, 1e6, 1e6)
    start_s = world.now_s
    calls = [
        daemon.part.tick(start_s + hour * 3600.0, 0.0) for hour in range(400)
    ]
    assert not any(calls[:24])
    assert any(calls[24:])


def test_a_full_memory_keeps_its_oldest_records(monkeypatch):
    # Guards against a memory from which every record goes before its time.
    monkeypatch.setattr(retention, "OWN_RECORD_LIMIT", 1)
    part = claims.RecordRetention(random.Random(7), 0.0)
    assert part.remember(claims.ExpiringRecord(0.0, "a", 1))
    assert not part.remember(claims.ExpiringRecord(1.0, "b", 1))
    assert part.tick(5.0, 2.0).record.key == "a"
