"""Crash reports in whole fleets: one request that crashes its targets.

Answers the pattern of a client that repeats such a request at any host, beside
a popular lookup that runs on the same targets.
"""

import dataclasses
import itertools
import random

import exchanging_hosts
import pytest

from rattanpulley_core import suspects

# The platform's bound: sends that begin this long after the third crash.
CONTACT_S = 3.0
MAX_LATE_RETRIES = 3
LENGTH_S = 30.0
STEP_S = 0.05
RUN_S = 0.1
TARGET_DOWN_S = 3.0


@dataclasses.dataclass
class Run:
    """A request on a target."""

    fingerprint: str
    host: exchanging_hosts.Host
    target: int
    started_s: float
    retries_left: int


class Fleet:
    """Hosts, targets and the two kinds of requests."""

    def __init__(self, seed, domains, hosts_per_domain, targets, run_s=RUN_S):
        self.rng = random.Random(seed)
        self.run_s = run_s
        self.now_s = 0.0
        self.hosts = exchanging_hosts.make_hosts(
            domains, hosts_per_domain, self.rng, suspects.SharedSuspects
        )
        self.up_from_s = [0.0] * targets
        self.boots = [0] * targets
        self.runs = []
        self.cause_sent_s = []
        self.crashes_s = []
        self.refused_popular = 0
        self.store = {}

    def send(self, fingerprint, host, retries_left=1):
        own_s = self.now_s + host.offset_s
        refused_for_s = host.known.refused_for_s(fingerprint, own_s)
        if refused_for_s > 0:
            is_long = refused_for_s > suspects.SETTLE_S
            self.refused_popular += fingerprint == "popular" and is_long
            return
        up = [
            target
            for target, from_s in enumerate(self.up_from_s)
            if from_s <= self.now_s
        ]
        if not up:
            return
        if fingerprint == "cause":
            self.cause_sent_s.append(self.now_s)
        target = self.rng.choice(up)
        self.runs.append(
            Run(fingerprint, host, target, self.now_s, retries_left)
        )

    def step(self, cause_rate, popular_rate):
        self.now_s += STEP_S
        for fingerprint, rate in (
            ("cause", cause_rate),
            ("popular", popular_rate),
        ):
            for _ in range(self._arrivals(rate)):
                self.send(fingerprint, self.rng.choice(self.hosts))
        for run in [r for r in self.runs if self._is_over(r)]:
            if run in self.runs:
                self._end(run)
        for host in self.hosts:
            host.exchange(self.now_s)
            host.record(self.store, self.now_s)

    def _arrivals(self, rate):
        expected = rate * STEP_S
        whole = int(expected)
        return whole + (self.rng.random() < expected - whole)

    def _is_over(self, run):
        return self.now_s - run.started_s >= self.run_s

    def _end(self, run):
        if run.fingerprint == "cause":
            self._crash(run.target)
            return
        self.runs.remove(run)
        own_s = self.now_s + run.host.offset_s
        run.host.known.record_success(run.fingerprint, own_s)

    def _crash(self, target):
        self.crashes_s.append(self.now_s)
        boot = str(self.boots[target])
        self.boots[target] += 1
        self.up_from_s[target] = self.now_s + TARGET_DOWN_S
        lost = [run for run in self.runs if run.target == target]
        self.runs = [run for run in self.runs if run.target != target]
        for run in lost:
            run.host.known.record_crash(
                run.fingerprint,
                f"t{target}",
                boot,
                0,
                self.now_s - run.started_s,
                self.now_s + run.host.offset_s,
            )
        for run in lost:
            if run.retries_left:
                self.send(run.fingerprint, run.host, run.retries_left - 1)

    def late_sends(self):
        if len(self.crashes_s) < 3:
            return []
        after_s = self.crashes_s[2] + CONTACT_S
        return [sent_s for sent_s in self.cause_sent_s if sent_s > after_s]


SIZES = {
    "8 hosts, 4 targets": (1, 8, 4),
    "87 hosts, 40 targets": (4, 22, 40),
    "297 hosts, 118 targets": (11, 27, 118),
}


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("cause_rate", [0.6, 5.0])
def test_cause_is_stopped_and_the_popular_request_is_served(size, cause_rate):
    # Guards against a client that takes down a pool through many hosts, and
    # against refusing what only runs beside its request.
    for seed in range(4):
        fleet = Fleet(seed, *SIZES[size])
        while fleet.now_s < LENGTH_S:
            fleet.step(cause_rate, popular_rate=40.0)
        assert len(fleet.crashes_s) >= 3
        assert len(fleet.late_sends()) <= MAX_LATE_RETRIES
        assert fleet.refused_popular == 0


# Domains, hosts in each of them, targets.
SPREADS = {
    "2-hosts": (1, 2, 12),
    "3-hosts": (1, 3, 12),
    "8-hosts": (4, 2, 12),
}
GAPS_S = (0.3, 0.8, 1.2, 2.0, 2.5, 3.0, 4.0)
# A run that is over before the next one starts, and one that lasts longer.
RUNS_S = {"quick": 0.1, "slow": 2.5}
OBSERVED_AFTER_CRASHES_S = 10.0


def run_at_gap(fleet, gap_s, at_once, retries):
    """Sends the request each `gap_s` until it must be stopped."""
    next_send_s = 1.0
    turn = 0
    crashes_s = fleet.crashes_s
    while (
        len(crashes_s) < 3
        or fleet.now_s <= crashes_s[2] + OBSERVED_AFTER_CRASHES_S
    ):
        if fleet.now_s >= next_send_s:
            next_send_s += gap_s
            for host in fleet.hosts if at_once else [fleet.hosts[turn]]:
                fleet.send("cause", host, retries)
            turn = (turn + 1) % len(fleet.hosts)
        fleet.step(cause_rate=0.0, popular_rate=5.0)


@pytest.mark.parametrize("at_once", [False, True], ids=["turns", "at-once"])
@pytest.mark.parametrize("spread", SPREADS)
@pytest.mark.parametrize("run", RUNS_S)
def test_cause_is_stopped_at_any_gap_of_its_runs(spread, at_once, run):
    # Guards against crashes of copies side by side that count as one.
    late = {}
    refused = {}
    for gap_s, retries in itertools.product(GAPS_S, (0, 1)):
        for seed in range(3):
            fleet = Fleet(seed, *SPREADS[spread], RUNS_S[run])
            run_at_gap(fleet, gap_s, at_once, retries)
            late[gap_s, retries, seed] = len(fleet.late_sends())
            refused[gap_s, retries, seed] = fleet.refused_popular
    assert {k: n for k, n in late.items() if n > MAX_LATE_RETRIES} == {}
    assert {k: n for k, n in refused.items() if n} == {}


def test_cause_stays_stopped_while_hosts_restart_in_turn():
    # Guards against the loss of reports with the host that collects them.
    for seed in range(10):
        fleet = Fleet(seed, 1, 8, 4)
        next_restart_s = 4.0
        restarts = 0
        while fleet.now_s < LENGTH_S:
            fleet.step(cause_rate=2.0, popular_rate=20.0)
            if fleet.now_s >= next_restart_s:
                restarts += 1
                host = fleet.hosts[restarts % 8]
                host.restart(restarts)
                host.read(fleet.store, fleet.now_s)
                next_restart_s += 1.5
        assert restarts > 8
        assert len(fleet.late_sends()) <= MAX_LATE_RETRIES
