"""Tests of the attribution of crashes to requests."""

import pytest

from rattanpulley_core import suspects
from rattanpulley_core._internal.suspects import attribution


class CrashHarness:
    """Records crashes of targets with a `CrashAttributor`."""

    def __init__(self):
        self.table = suspects.SuspectTable()
        self.attributor = attribution.CrashAttributor(self.table)
        self.now_s = 10.0

    def reset(self, target, fingerprint, has_token, domain="z0", ran_s=0.0):
        started_s = self.now_s - ran_s
        self.attributor.record_reset(
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
        self.attributor.record_loss(target, domain, self.now_s)
        self.attributor.confirm_crash(target, self.now_s)

    def resolve(self):
        self.now_s += 2.0
        return {r.fingerprint for r in self.attributor.resolve_due(self.now_s)}


@pytest.fixture
def crashes():
    return CrashHarness()


def test_first_crash_makes_every_request_a_suspect(crashes):
    # Guards against a cause that is never identified.
    crashes.crash("t1", a=True, b=False)
    assert crashes.resolve() == {"a", "b"}
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
    # Guards against reports of requests that only shared a target with the
    # cause.
    crashes.crash("t1", a=True, b=True)
    crashes.resolve()
    crashes.crash("t2", **second)
    assert crashes.resolve() == causes
    refused = {
        name for name in "abcd" if crashes.table.is_refused(name, crashes.now_s)
    }
    assert refused == causes & {"a", "b"}


@pytest.mark.parametrize(
    ("domains", "gap_s", "reported"),
    [("zzz", 0.4, False), ("zzz", 0.6, True), ("zzy", 0.1, True)],
)
def test_common_cause(crashes, domains, gap_s, reported):
    # Guards against reports of requests for the loss of a rack.
    for number, domain in enumerate(domains):
        crashes.crash(f"t{number}", domain, **{f"f{number}": True})
        crashes.now_s += gap_s
    assert bool(crashes.resolve()) is reported
    assert crashes.table.is_suspect("f0", crashes.now_s) is reported


def test_request_waits_until_its_crash_is_attributed(crashes):
    # Guards the bound of two targets that one request crashes.
    crashes.crash("t1", a=True)
    assert not crashes.attributor.must_wait("a", crashes.now_s)
    crashes.reset("t2", "a", True)
    assert crashes.attributor.must_wait("a", crashes.now_s)
    crashes.attributor.discard("t2")
    assert not crashes.attributor.must_wait("a", crashes.now_s)


def test_copies_on_targets_lost_together_count_once(crashes):
    # Guards against a refusal of a popular request of which each lost target
    # ran a copy.
    crashes.crash("t1", ran_s=5.0, a=True)
    crashes.now_s += 0.1
    crashes.crash("t2", ran_s=5.0, a=True)
    assert not crashes.attributor.must_wait("a", crashes.now_s)
    crashes.resolve()
    assert not crashes.table.is_refused("a", crashes.now_s)
    crashes.crash("t3", a=True)
    crashes.resolve()
    assert crashes.table.is_refused("a", crashes.now_s)


def test_cleared_request_is_not_reported_to_peers(crashes):
    # Guards against cleared requests that accumulate reports at other daemons.
    crashes.crash("t1", a=True, b=True)
    assert not crashes.table.clear("a")
    assert crashes.resolve() == {"b"}
    assert crashes.table.clear("b")


def test_remote_reports_count_once_per_crash_and_expire(crashes):
    # Guards against a refusal for one crash that two daemons report.
    table, now_s = crashes.table, crashes.now_s
    crashes.crash("t1", a=True)
    crashes.resolve()
    table.apply_remote("a", "t1", "boot", now_s)
    assert not table.is_refused("a", now_s)
    table.apply_remote("a", "t2", "boot", now_s, ttl_s=60.0)
    assert table.is_refused("a", now_s)
    assert table.pop_newly_refused() == ["a"]
    assert not table.is_refused("a", now_s + 61.0)
    table.expire(now_s + 3601.0)
    assert len(table) == 0


def test_cleared_request_is_not_suspected_again_for_the_same_crash(crashes):
    # Guards against a peer's delayed report of a cleared crash.
    table, now_s = crashes.table, crashes.now_s
    table.apply_remote("a", "t1", "boot", now_s)
    table.clear("a")
    table.apply_remote("a", "t1", "boot", now_s)
    assert not table.is_suspect("a", now_s)


def remote_run(
    started_s: float, crashed_s: float, tokens: int
) -> suspects.CrashedRun:
    """Returns a run of a peer, whose times are known roughly."""
    return suspects.CrashedRun(started_s, crashed_s, tokens, clock_error_s=1.0)


def test_remote_reports_of_targets_lost_together_count_once():
    # Guards against a refusal of a popular request at a daemon that learns from
    # a peer that two targets with copies of it were lost together.
    table = suspects.SuspectTable()
    runs = [
        remote_run(1.0, 9.0, 60),
        remote_run(2.0, 9.1, 66),
        remote_run(9.3, 9.8, 90),
    ]
    for number, run in enumerate(runs[:2]):
        table.apply_remote("a", f"t{number}", "boot", 11.0, run=run)
    assert not table.is_refused("a", 11.0)
    assert table.crashed_tokens("a", 11.0) == 66
    table.apply_remote("a", "t2", "boot", 12.0, run=runs[2])
    assert table.is_refused("a", 12.0)


@pytest.mark.parametrize("delay_s", [-0.4, 0.0, 0.05, 0.4])
def test_delay_of_a_remote_report_does_not_hide_a_second_crash(delay_s):
    # Guards against a request that crashes a third target, because the report
    # of the first crash took longer than that of the second.
    table = suspects.SuspectTable()
    first = remote_run(9.0 + delay_s, 9.1 + delay_s, 0)
    table.apply_remote("a", "t1", "boot", 12.0, run=first)
    table.apply_remote("a", "t2", "boot", 12.0, run=remote_run(9.101, 9.2, 0))
    assert table.is_refused("a", 12.0)
