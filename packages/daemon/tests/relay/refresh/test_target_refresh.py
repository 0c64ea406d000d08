"""Tests of how often the targets are read from the store."""

import dataclasses
import itertools
import types

import pytest
import refresh_fakes
import relay_builders

from rattanpulley_core import serving
from rattanpulleyd._internal.relay.refresh import store_backoff
from rattanpulleyd._internal.relay.refresh import target_refresh
from rattanpulleyd._internal.relay.refresh import unreadable_entries

LEAVE_S = 2.0


class Source:
    """A store in which a target changes before every watch."""

    def __init__(self, fake_clock: types.SimpleNamespace) -> None:
        self.clock = fake_clock
        self.calls: list[tuple[str, float]] = []

    def list_targets(self, timeout_s: float) -> serving.TargetListing:
        self.calls.append(("list", self.clock.now))
        return serving.TargetListing((relay_builders.target("t"),), (), 1)

    def watch_targets(
        self, position: int, wait_s: float
    ) -> serving.TargetChanges:
        self.calls.append(("watch", self.clock.now))
        if len(self.calls) > 20:
            raise refresh_fakes.EndOfTestError
        changed = relay_builders.target(f"t{position}")
        return serving.TargetChanges((changed,), (), position + 1)


def make_context(name: str) -> types.SimpleNamespace:
    """Returns a context without targets."""
    context = relay_builders.make_context(name)
    context.targets = serving.TargetRegistry()
    return context


def run_refresh(
    context: types.SimpleNamespace,
    source: Source,
    peers: types.SimpleNamespace,
    leave_s: float = LEAVE_S,
) -> None:
    """Runs a refresh until a fake ends the test."""
    refresh = target_refresh.TargetRefresh(context, source, peers, leave_s)
    with pytest.raises(refresh_fakes.EndOfTestError):
        refresh.run_forever()


def test_many_changes_share_a_store_call(fake_clock):
    # Guards against a store call for each change: 118 targets that change
    # constantly caused five calls per second from each of 87 hosts.
    context = make_context("a")
    peers = refresh_fakes.make_peers(lambda position, max_age_s: None)
    source = Source(fake_clock)
    run_refresh(context, source, peers)
    times = [at for _, at in source.calls]
    gaps = [late - early for early, late in itertools.pairwise(times)]
    assert min(gaps) >= 0.3 * LEAVE_S
    # A leaving target is noticed well within its limit.
    assert max(gaps) <= 0.5 * LEAVE_S


def test_changes_of_another_host_replace_the_watch(fake_clock):
    context = make_context("b")
    reported = []

    def targets(position, max_age_s):
        reported.append(position)
        if len(reported) > 5:
            raise refresh_fakes.EndOfTestError
        changes = serving.TargetChanges(
            (relay_builders.target(f"p{position}"),), (), position + 1
        )
        return serving.TargetsReport(changes, 0.0), fake_clock.now

    source = Source(fake_clock)
    peers = refresh_fakes.make_peers(targets)
    run_refresh(context, source, peers)
    assert [name for name, _ in source.calls] == ["list"]
    assert context.targets.entry("p4") is not None
    assert context.shared_targets.log.position == 6


def test_host_ahead_of_the_others_waits_for_their_next_watch(fake_clock):
    # Guards against a fleet in which every host watches the store because
    # each is ahead of another one, and against one that stays on its own state
    # for longer than targets may be used that leave.
    context = make_context("b")
    asked = []

    def targets(position, max_age_s):
        asked.append(fake_clock.now)
        if len(asked) > 40:
            raise refresh_fakes.EndOfTestError
        return serving.TargetsReport(None, 0.0), fake_clock.now

    source = Source(fake_clock)
    peers = refresh_fakes.make_peers(targets)
    run_refresh(context, source, peers)
    watches = [at for name, at in source.calls if name == "watch"]
    gaps = [late - early for early, late in itertools.pairwise(watches)]
    freshness = serving.TargetFreshness(LEAVE_S)
    assert min(gaps) >= freshness.max_age_s
    assert max(gaps) <= freshness.limit_s + 0.001


def test_watch_keeps_the_targets_of_a_leader_recent(fake_clock):
    # Guards against a leader whose targets are too old for the other hosts
    # every second time, so that all of them call the store.
    context = make_context("a")
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
                raise refresh_fakes.EndOfTestError
            return serving.TargetChanges((), (), position + 1)

    peers = refresh_fakes.make_peers(lambda position, max_age_s: None)
    peers.queries_peers = False
    run_refresh(context, IdleSource(fake_clock), peers)
    assert max(ages) < serving.TargetFreshness(LEAVE_S).max_age_s


# A host that took an old state from another one kept it for a whole pause.
def test_old_state_of_another_host_is_read_again_early(fake_clock):
    context = make_context("b")
    freshness = serving.TargetFreshness(LEAVE_S)
    asked = []

    def targets(position, max_age_s):
        asked.append(fake_clock.now)
        if len(asked) > 5:
            raise refresh_fakes.EndOfTestError
        changes = serving.TargetChanges((), (), position + 1)
        report = serving.TargetsReport(changes, max_age_s)
        return report, fake_clock.now - max_age_s

    # A host's own confirmation of its first list is more recent.
    run_refresh(context, Source(fake_clock), refresh_fakes.make_peers(targets))
    gaps = [late - early for early, late in itertools.pairwise(asked)]
    assert max(gaps[2:]) <= freshness.limit_s - freshness.max_age_s + 0.001


def test_report_that_is_older_than_the_own_read_is_no_step_back(fake_clock):
    # Guards against needless reads of the store.
    context = make_context("b")
    ages = []

    def targets(position, max_age_s):
        ages.append(fake_clock.now - context.shared_targets.confirmed_at_s)
        if len(ages) > 1:
            raise refresh_fakes.EndOfTestError
        changes = serving.TargetChanges((), (), position + 1)
        return serving.TargetsReport(changes, 1.2), fake_clock.now - 1.2

    run_refresh(context, Source(fake_clock), refresh_fakes.make_peers(targets))
    assert ages[1] <= 2 * serving.TargetFreshness(LEAVE_S).pause_s + 0.001


def test_domain_leader_passes_changes_on_early(fake_clock):
    # Guards against a leaving target that members of a domain notice late,
    # because a change reaches them one pause after their leader.
    context = make_context("b")
    asked = []

    def targets(position, max_age_s):
        asked.append(fake_clock.now)
        if len(asked) > 5:
            raise refresh_fakes.EndOfTestError
        changes = serving.TargetChanges((), (), position + 1)
        return serving.TargetsReport(changes, 0.0), fake_clock.now

    run_refresh(
        context,
        Source(fake_clock),
        refresh_fakes.make_peers(targets, serving.DOMAIN_LEADER_PERIODS),
        leave_s=4.0,
    )
    gaps = [late - early for early, late in itertools.pairwise(asked)]
    assert max(gaps) <= 0.5


def test_watch_that_fails_is_followed_by_a_list(fake_clock):
    # Guards against a task that fails at the same event after each restart.
    context = make_context("a")
    context.loads = serving.LoadTable()
    context.prober = types.SimpleNamespace(forget=lambda target_id: None)
    source = Source(fake_clock)
    peers = refresh_fakes.make_peers(lambda position, max_age_s: None)
    refresh = target_refresh.TargetRefresh(context, source, peers, LEAVE_S)
    for _ in range(2):
        with pytest.raises(refresh_fakes.EndOfTestError):
            refresh.run_forever()
    assert [name for name, _ in source.calls].count("list") == 2


def _unreadable(number):
    return tuple(
        serving.UnreadableEntry(f"odd-{row}", number, "damaged")
        for row in range(3)
    )


def test_unreadable_entries_are_counted_and_seldom_logged(
    fake_clock, monkeypatch
):
    # Guards against a log that one odd entry fills.
    context = make_context("a")
    lines = []
    context.log = types.SimpleNamespace(
        change=lambda *_arguments, **_fields: None,
        failure=lambda name, **fields: lines.append((name, fields)),
    )
    source = Source(fake_clock)
    watch_targets = source.watch_targets

    def watch_odd(position, wait_s):
        changes = watch_targets(position, wait_s)
        return dataclasses.replace(changes, unreadable=_unreadable(position))

    monkeypatch.setattr(source, "watch_targets", watch_odd)
    peers = refresh_fakes.make_peers(lambda position, max_age_s: None)
    run_refresh(context, source, peers)
    took_s = source.calls[-1][1] - source.calls[0][1]
    unreadable = [
        fields for name, fields in lines if name == "targets.unreadable"
    ]
    most = 1 + took_s / unreadable_entries.LOG_PERIOD_S
    assert 1 <= len(unreadable) <= most
    assert unreadable[0] == {
        "entries": 3,
        "names": [f"odd-{row}@1: damaged" for row in range(3)],
    }
    watches = [name for name, _ in source.calls].count("watch") - 1
    counted = f"rattanpulley_unreadable_entries_total {3.0 * watches}"
    assert counted.encode() in context.metrics.text()


def test_unreadable_entry_is_counted_once_for_each_change(
    fake_clock, monkeypatch
):
    # Guards against a counter that grows with lists, so that it tells nothing
    # of what other writers do.
    context = make_context("a")
    report = unreadable_entries.UnreadableEntries(context)
    for _ in range(5):
        report.record_listed(_unreadable(7))
    report.record_changed(_unreadable(8))
    report.record_listed(_unreadable(8))
    counted = b"rattanpulley_unreadable_entries_total 6.0"
    assert counted in context.metrics.text()
    report.record_listed(())
    report.record_listed(_unreadable(8))
    counted = b"rattanpulley_unreadable_entries_total 9.0"
    assert counted in context.metrics.text()


def test_unreadable_changes_are_replaced_by_a_list(fake_clock, monkeypatch):
    # Guards against a watch that is repeated from the same position, and
    # against calls without a pause while another writer goes on.
    context = make_context("a")
    source = Source(fake_clock)

    def watch_damaged(position, wait_s):
        source.calls.append(("watch", fake_clock.now))
        if len(source.calls) > 20:
            raise refresh_fakes.EndOfTestError
        raise serving.ChangesUnreadableError("damaged")

    monkeypatch.setattr(source, "watch_targets", watch_damaged)
    peers = refresh_fakes.make_peers(lambda position, max_age_s: None)
    run_refresh(context, source, peers)
    names = [name for name, _ in source.calls]
    assert names[:20] == ["list", "watch"] * 10
    watches = [at for name, at in source.calls if name == "watch"]
    gaps = [late - early for early, late in itertools.pairwise(watches)]
    assert min(gaps) >= 0.3 * LEAVE_S


class SlowList(Source):
    """A store whose list needs a time to arrive."""

    def __init__(self, fake_clock: types.SimpleNamespace) -> None:
        super().__init__(fake_clock)
        self.timeouts_s: list[float] = []

    def list_targets(self, timeout_s: float) -> serving.TargetListing:
        self.timeouts_s.append(timeout_s)
        if len(self.timeouts_s) > 9:
            raise refresh_fakes.EndOfTestError
        if timeout_s < 1.7:
            self.clock.now += timeout_s
            raise serving.SourceError("not complete in time")
        return super().list_targets(timeout_s)


# Guards against a host on a slow link that never has a list, since one object
# of another writer fills a page.
def test_list_that_arrives_slowly_is_read(fake_clock):
    context = make_context("a")
    source = SlowList(fake_clock)
    peers = refresh_fakes.make_peers(lambda position, max_age_s: None)
    run_refresh(context, source, peers)
    assert context.targets.entry("t") is not None
    assert max(source.timeouts_s) <= 4 * target_refresh.LIST_TIMEOUT_S


class CutSource(Source):
    """A store that cuts off some of its watches after one second."""

    def __init__(
        self,
        fake_clock: types.SimpleNamespace,
        cut: set[int],
        error: type[serving.SourceError],
    ) -> None:
        super().__init__(fake_clock)
        self.cut = cut
        self.error = error
        self.positions: list[int] = []
        self.waits_s: list[float] = []

    def watch_targets(
        self, position: int, wait_s: float
    ) -> serving.TargetChanges:
        self.positions.append(position)
        self.waits_s.append(wait_s)
        changes = super().watch_targets(position, wait_s)
        if len(self.positions) in self.cut:
            self.clock.now += 1.0
            raise self.error("cut off")
        return changes


def run_cut(
    fake_clock: types.SimpleNamespace,
    cut: set[int],
    error: type[serving.SourceError] = serving.SourceConnectionLostError,
) -> tuple[CutSource, types.SimpleNamespace]:
    """Runs a refresh whose watches with these numbers are cut off."""
    context = make_context("a")
    context.prober = types.SimpleNamespace(forget=lambda target_id: None)
    source = CutSource(fake_clock, cut, error)
    peers = refresh_fakes.make_peers(lambda position, max_age_s: None)
    run_refresh(context, source, peers)
    return source, context


# A watch that was cut off led to a pause and a new list of all targets.
def test_watch_that_is_cut_off_goes_on_from_its_position(fake_clock):
    source, context = run_cut(fake_clock, {2})
    assert [name for name, _ in source.calls].count("list") == 1
    assert source.positions[:4] == [1, 2, 2, 3]
    # The next watch begins when the one that was cut off has ended.
    assert source.calls[3][1] == source.calls[2][1] + 1.0
    assert source.waits_s[2] == target_refresh.SHORT_WATCH_WAIT_S
    assert source.waits_s[3] == target_refresh.WATCH_WAIT_S
    failed = 'store_calls_total{call="targets",result="failed"} 1.0'
    assert failed in context.metrics.text().decode()


# Guards against calls without a pause to a store that cuts off every watch.
def test_second_cut_in_succession_is_followed_by_a_pause_and_a_list(
    fake_clock,
):
    source, _context = run_cut(fake_clock, {2, 3})
    names = [name for name, _ in source.calls]
    assert names[:6] == ["list", "watch", "watch", "watch", "list", "watch"]
    least_s = store_backoff.RETRY_S * (1 - store_backoff.JITTER_FRACTION)
    assert source.calls[4][1] - source.calls[3][1] >= 1.0 + least_s


# Guards against a watch from an old position after the store was away, which
# would remove entries that lapsed meanwhile at once.
@pytest.mark.parametrize(
    "error", [serving.SourceError, serving.SourceTimeoutError]
)
def test_other_failure_of_a_watch_is_followed_by_a_list(fake_clock, error):
    source, _context = run_cut(fake_clock, {2}, error)
    names = [name for name, _ in source.calls]
    assert names[:5] == ["list", "watch", "watch", "list", "watch"]
