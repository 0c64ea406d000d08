"""Tests of how often the store is asked."""

import itertools
import types

import gevent
import pytest
import relay_builders

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import belief_peers
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
    context.targets = serving.TargetRegistry()
    peers = types.SimpleNamespace(targets=lambda position: None)
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
    context.targets = serving.TargetRegistry()
    told = []

    def targets(position):
        told.append(position)
        if len(told) > 5:
            raise EndOfTestError
        changes = serving.TargetChanges(
            (relay_builders.target(f"p{position}"),), (), position + 1
        )
        return serving.TargetsReport(changes, 0.0), fake_clock.now

    source = Source(fake_clock)
    peers = types.SimpleNamespace(targets=targets)
    refresh = beliefs_refresh.TargetRefresh(context, source, peers, LEAVE_S)
    with pytest.raises(EndOfTestError):
        refresh.run_forever()
    assert [name for name, _ in source.calls] == ["list"]
    assert context.targets.entry("p4") is not None
    assert context.shared_targets.log.position == 6


def test_host_ahead_of_the_others_waits_for_their_next_watch(fake_clock):
    # Guards against fleets in which every host watches the store because each
    # is ahead of the other.
    context = relay_builders.make_context("b")
    context.targets = serving.TargetRegistry()
    asked = []

    def targets(position):
        asked.append(fake_clock.now)
        if len(asked) > 40:
            raise EndOfTestError
        return serving.TargetsReport(None, 0.0), fake_clock.now

    source = Source(fake_clock)
    peers = types.SimpleNamespace(targets=targets)
    refresh = beliefs_refresh.TargetRefresh(context, source, peers, LEAVE_S)
    with pytest.raises(EndOfTestError):
        refresh.run_forever()
    watches = [at for name, at in source.calls if name == "watch"]
    gaps = [late - early for early, late in itertools.pairwise(watches)]
    assert min(gaps) >= beliefs_refresh.WATCH_WAIT_S
    assert max(gaps) <= beliefs_refresh.WATCH_WAIT_S + LEAVE_S / 2


def test_store_that_is_away_is_asked_less_and_less(fake_clock):
    # Guards the price of calls that fail: 25 hosts that were turned away made
    # half of the calls of a day.
    retry = beliefs_refresh.Retry()
    pauses = [retry.next_pause_s() for _ in range(10)]
    assert pauses == sorted(pauses)
    assert (pauses[0], pauses[-1]) == (0.35, 0.9)
    retry.reset()
    assert retry.next_pause_s() == 0.35


def test_watch_of_a_host_that_others_ask_keeps_its_belief_young(fake_clock):
    # Guards against a leader whose belief is too old for the others every
    # second time, so that all of them ask the store.
    context = relay_builders.make_context("a")
    context.targets = serving.TargetRegistry()
    context.fleet.replace_all(
        serving.HostEntry(name, "north", "10.0.0.1:1") for name in "ab"
    )
    ages = []

    class IdleSource(Source):
        def watch_targets(self, position, wait_s):
            confirmed_at_s = context.shared_targets.confirmed_at_s
            fake_clock.now += wait_s
            ages.append(fake_clock.now - confirmed_at_s)
            if len(ages) > 5:
                raise EndOfTestError
            return serving.TargetChanges((), (), position + 1)

    peers = types.SimpleNamespace(targets=lambda position: None)
    refresh = beliefs_refresh.TargetRefresh(
        context, IdleSource(fake_clock), peers, LEAVE_S
    )
    with pytest.raises(EndOfTestError):
        refresh.run_forever()
    assert max(ages) < belief_peers.TARGETS_AGE_LIMIT_S
