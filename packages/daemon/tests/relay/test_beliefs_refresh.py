"""Tests of how often the store is asked."""

import itertools
import types

import gevent
import pytest
import relay_builders

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import beliefs_refresh
from rattanpulleyd._internal.relay import clock

LEAVE_S = 2.0


class EndOfTestError(Exception):
    """Ends the endless refresh."""


class Source:
    """A store in which a target changes before every watch."""

    def __init__(self, fake_clock: types.SimpleNamespace) -> None:
        self.clock = fake_clock
        self.calls: list[tuple[str, float]] = []

    def list_targets(self, timeout_s: float) -> serving.TargetListing:
        self.calls.append(("list", self.clock.now))
        return serving.TargetListing((relay_builders.target("t"),), 0, 1)

    def watch_targets(
        self, position: int, wait_s: float
    ) -> serving.TargetChanges:
        self.calls.append(("watch", self.clock.now))
        if len(self.calls) > 20:
            raise EndOfTestError
        changed = relay_builders.target(f"t{position}")
        return serving.TargetChanges((changed,), (), position + 1)


@pytest.fixture
def fake_clock(monkeypatch):
    """Time that passes only while a greenlet sleeps."""
    state = types.SimpleNamespace(now=100.0)

    def sleep(seconds: float) -> None:
        state.now += seconds

    monkeypatch.setattr(clock, "now_s", lambda: state.now)
    monkeypatch.setattr(clock, "suspend_aware_now_s", lambda: state.now)
    monkeypatch.setattr(gevent, "sleep", sleep)
    return state


def test_many_changes_do_not_cost_a_call_each(fake_clock):
    # Guards the rates and the price of the store: 118 targets that change all
    # the time took five calls of each of 87 hosts in a second.
    context = relay_builders.make_context("a")
    context.targets = serving.TargetRoster()
    peers = types.SimpleNamespace(target_changes=lambda position: None)
    source = Source(fake_clock)
    refresh = beliefs_refresh.TargetRefresh(context, source, peers, LEAVE_S)
    with pytest.raises(EndOfTestError):
        refresh.run_forever()
    times = [at for _, at in source.calls]
    gaps = [late - early for early, late in itertools.pairwise(times)]
    assert min(gaps) >= 0.3 * LEAVE_S
    # A leaving target is seen well within its bound.
    assert max(gaps) <= 0.5 * LEAVE_S


def test_changes_of_another_host_replace_the_watch(fake_clock):
    context = relay_builders.make_context("b")
    context.targets = serving.TargetRoster()
    told = []

    def target_changes(position):
        told.append(position)
        if len(told) > 5:
            raise EndOfTestError
        changes = serving.TargetChanges(
            (relay_builders.target(f"p{position}"),), (), position + 1
        )
        return changes, fake_clock.now

    source = Source(fake_clock)
    peers = types.SimpleNamespace(target_changes=target_changes)
    refresh = beliefs_refresh.TargetRefresh(context, source, peers, LEAVE_S)
    with pytest.raises(EndOfTestError):
        refresh.run_forever()
    assert [name for name, _ in source.calls] == ["list"]
    assert context.targets.entry("p4") is not None
    assert context.shared_targets.log.position == 6
