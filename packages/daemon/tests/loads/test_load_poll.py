"""Tests for the load poll."""

import random
from typing import Any

import pytest

from rattanpulley_core import interfaces
from rattanpulley_core import tables
from rattanpulley_core import targets
from rattanpulleyd._internal.loads import load_poll
from rattanpulleyd._internal.runtime import clock as clock_lib
from rattanpulleyd._internal.telemetry import counters

REPORT = targets.LoadReport(5, 2, 0.0)
DOMAINS_BY_NAME = {"e0": "north", "e1": "north", "e2": "south", "e3": "south"}


class ManualClock(clock_lib.SystemClock):
    """Monotonic clock that the test advances."""

    now_s = 100.0

    def monotonic_s(self) -> float:
        return self.now_s


class PollSession:
    """A load poll, its target table and the reads that it started."""

    def __init__(self) -> None:
        self.reads: list[tuple[str, interfaces.LoadSink]] = []
        self.clock = ManualClock()
        self.counts = counters.Counters(None)
        self.table = targets.TargetTable("north")
        self.table.apply_pools(tables.PoolTable(1, {"p": _pool()}), 0.0)
        engine: Any = self
        self.poll = load_poll.LoadPoll(
            engine, self.table, self.clock, self.counts, random.Random(1)
        )

    def read_load(
        self, order: interfaces.LoadRequest, sink: interfaces.LoadSink
    ) -> None:
        self.reads.append((order.target, sink))

    def step(self, report: targets.LoadReport | None = REPORT) -> str:
        """Polls once, answers the newest read and returns its target."""
        self.poll.poll_once()
        name, sink = self.reads[-1]
        sink(report)
        return name

    def freshness(self, name: str) -> float:
        return self.table.targets_by_name[name].load.report_weight(
            self.clock.now_s
        )


def _pool() -> tables.Pool:
    specs = {
        name: tables.TargetSpec(name, "", domain, "v1")
        for name, domain in DOMAINS_BY_NAME.items()
    }
    versions = {"v1": tables.VersionSpec("v1")}
    return tables.Pool("p", tables.TargetKind.ENGINE, versions, specs)


@pytest.fixture
def session() -> PollSession:
    return PollSession()


def test_reads_do_not_overlap(session: PollSession) -> None:
    """Guards against reads that accumulate when targets are slow."""
    for _ in range(5):
        session.poll.poll_once()
    assert len(session.reads) == 1
    session.reads[0][1](REPORT)
    session.poll.poll_once()
    assert len(session.reads) == 2


def test_reads_own_domain_and_targets_in_use_in_turn(
    session: PollSession,
) -> None:
    """Guards against control traffic for targets that are not in use."""
    session.table.targets_by_name["e2"].in_flight = 1
    names = [session.step() for _ in range(6)]
    assert sorted(names[:3]) == ["e0", "e1", "e2"]
    assert names[3:] == names[:3]
    session.table.targets_by_name["e0"].mark_lost()
    assert {session.step() for _ in range(4)} == {"e1", "e2"}


def test_rate_does_not_grow_with_the_targets(session: PollSession) -> None:
    """Guards against control traffic above its budget at design size."""
    assert session.poll.poll_once() == load_poll.MIN_ROUND_S / 2
    for target in session.table.targets_by_name.values():
        target.in_flight = 1
    assert session.poll.poll_once() == load_poll.READ_INTERVAL_S


def test_failed_reads_are_counted_and_reports_age(session: PollSession) -> None:
    """Guards against the use of outdated reports of unresponsive targets."""
    name = session.step()
    assert session.freshness(name) == 1.0
    load = session.table.targets_by_name[name].load
    assert (load.others_running, load.others_waiting) == (5, 2)
    for _ in range(4):
        session.step(None)
    totals = session.counts.totals_by_name()
    assert (totals["loads.read"], totals["loads.failed"]) == (5, 4)
    session.clock.now_s += 3.0
    assert 0.3 < session.freshness(name) < 0.4
    session.clock.now_s += 13.0
    assert session.freshness(name) == 0.0


def test_target_removed_during_a_read(session: PollSession) -> None:
    """Guards against a failure when targets are removed during a read."""
    session.poll.poll_once()
    session.table.targets_by_name.clear()
    session.reads[0][1](REPORT)
    assert session.poll.poll_once() == load_poll.READ_INTERVAL_S
    assert len(session.reads) == 1
