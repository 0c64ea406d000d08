"""Rules that say which request caused a crash."""

import pytest

from rattanpulley_core import suspects
from rattanpulley_core._internal.suspects import attribution


class Crashes:
    """Feeds crashes of targets to a ledger."""

    def __init__(self):
        self.table = suspects.SuspectTable()
        self.ledger = attribution.CrashAttributor(self.table)
        self.now_s = 10.0

    def reset(self, target, fingerprint, has_token, domain="z0", ran_s=0.0):
        started_s = self.now_s - ran_s
        self.ledger.record_reset(
            target,
            domain,
            "boot",
            fingerprint,
            has_token,
            started_s,
            0,
            self.now_s,
        )

    def crash(self, target, domain="z0", ran_s=0.0, **has_token_by_fingerprint):
        for fingerprint, has_token in has_token_by_fingerprint.items():
            self.reset(target, fingerprint, has_token, domain, ran_s)
        self.ledger.record_loss(target, domain, self.now_s)
        self.ledger.confirm_crash(target, self.now_s)

    def settle(self):
        self.now_s += 2.0
        return {r.fingerprint for r in self.ledger.resolve_due(self.now_s)}


@pytest.fixture
def crashes():
    return Crashes()


def test_first_crash_makes_every_request_a_suspect(crashes):
    # Guards against a cause that is never found.
    crashes.crash("t1", a=True, b=False)
    assert crashes.settle() == {"a", "b"}
    assert not crashes.table.is_refused("a", crashes.now_s)


@pytest.mark.parametrize(
    ("second", "causes"),
    [
        ({"a": True, "c": True}, {"a"}),
        ({"a": True, "b": False, "c": False}, {"b"}),
        ({"a": True, "b": True, "c": True}, set()),
        ({"c": True, "d": True}, {"c", "d"}),
    ],
    ids=["one suspect", "without token", "all had tokens", "no suspect"],
)
def test_second_crash(crashes, second, causes):
    # Guards requests that only shared a target with the cause.
    crashes.crash("t1", a=True, b=True)
    crashes.settle()
    crashes.crash("t2", **second)
    assert crashes.settle() == causes
    refused = {
        name for name in "abcd" if crashes.table.is_refused(name, crashes.now_s)
    }
    assert refused == causes & {"a", "b"}


@pytest.mark.parametrize(
    ("domains", "gap_s", "reported"),
    [("zzz", 0.4, False), ("zzz", 0.6, True), ("zzy", 0.1, True)],
)
def test_common_cause(crashes, domains, gap_s, reported):
    # Guards requests against blame for the loss of a rack.
    for number, domain in enumerate(domains):
        crashes.crash(f"t{number}", domain, **{f"f{number}": True})
        crashes.now_s += gap_s
    assert bool(crashes.settle()) is reported
    assert crashes.table.is_suspect("f0", crashes.now_s) is reported


def test_hold_until_the_cause_is_settled(crashes):
    # Guards the bound of two targets lost to one request.
    crashes.crash("t1", a=True)
    assert not crashes.ledger.must_wait("a", crashes.now_s)
    crashes.reset("t2", "a", True)
    assert crashes.ledger.must_wait("a", crashes.now_s)
    crashes.ledger.discard("t2")
    assert not crashes.ledger.must_wait("a", crashes.now_s)


def test_copies_on_targets_lost_together_count_once(crashes):
    # Guards a popular request, of which each lost target ran a copy.
    crashes.crash("t1", ran_s=5.0, a=True)
    crashes.now_s += 0.1
    crashes.crash("t2", ran_s=5.0, a=True)
    assert not crashes.ledger.must_wait("a", crashes.now_s)
    crashes.settle()
    assert not crashes.table.is_refused("a", crashes.now_s)
    crashes.crash("t3", a=True)
    crashes.settle()
    assert crashes.table.is_refused("a", crashes.now_s)


def test_cleared_request_is_not_reported_to_peers(crashes):
    # Guards against innocent requests that collect reports at other daemons.
    crashes.crash("t1", a=True, b=True)
    assert not crashes.table.clear("a")
    assert crashes.settle() == {"b"}
    assert crashes.table.clear("b")


def test_remote_reports_count_once_per_crash_and_expire(crashes):
    # Guards against a refusal for one crash that two daemons report.
    table, now_s = crashes.table, crashes.now_s
    crashes.crash("t1", a=True)
    crashes.settle()
    table.apply_remote("a", "t1", "boot", now_s)
    assert not table.is_refused("a", now_s)
    table.apply_remote("a", "t2", "boot", now_s, ttl_s=60.0)
    assert table.is_refused("a", now_s)
    assert table.pop_newly_refused() == ["a"]
    assert not table.is_refused("a", now_s + 61.0)
    table.expire(now_s + 3601.0)
    assert len(table) == 0


def test_cleared_request_is_not_suspected_again_for_the_same_crash(crashes):
    # Guards against a peer's late report of a crash that was cleared.
    table, now_s = crashes.table, crashes.now_s
    table.apply_remote("a", "t1", "boot", now_s)
    table.clear("a")
    table.apply_remote("a", "t1", "boot", now_s)
    assert not table.is_suspect("a", now_s)
