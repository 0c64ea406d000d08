"""Tests of beliefs that come from other hosts."""

import threading
from wsgiref import simple_server

import pytest
import relay_builders

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import belief_exchange
from rattanpulleyd._internal.relay import belief_peers
from rattanpulleyd._internal.relay import clock


class SilentHandler(simple_server.WSGIRequestHandler):
    """Logs nothing."""

    def log_message(self, *_arguments: object) -> None:
        pass


@pytest.fixture
def leader():
    """A host with a configuration and targets, and its pages."""
    context = relay_builders.make_context("a")
    now_s = clock.suspend_aware_now_s()
    context.belief.accept(relay_builders.config(7), now_s - 0.5)
    context.shared_targets.log.restart(10)
    context.shared_targets.confirmed_at_s = now_s - 1.0
    app = belief_exchange.BeliefPages(context).app()
    # The test process is not patched, so that the pages need a thread.
    server = simple_server.make_server(
        "127.0.0.1", 0, app, handler_class=SilentHandler
    )
    threading.Thread(
        target=server.serve_forever, args=(0.02,), daemon=True
    ).start()
    context.entry = serving.HostEntry(
        "a", "north", f"127.0.0.1:{server.server_port}"
    )
    yield context
    server.shutdown()
    server.server_close()


@pytest.fixture
def follower(leader, monkeypatch):
    """A host that asks the leader; its steady clock is the test's."""
    context = relay_builders.make_context("b")
    context.fake_now = [100.0]
    monkeypatch.setattr(clock, "now_s", lambda: context.fake_now[0])
    own = serving.HostEntry("b", "north", "")
    context.fleet.replace_all([leader.entry, own])
    context.peers = belief_peers.BeliefPeers(context, own)
    return context


def test_confirmation_is_as_old_as_the_read_behind_it(leader, follower):
    # Guards against keys that live longer because hosts confirm each other.
    follower.belief.accept(relay_builders.config(7), 0.0)
    before_s = clock.suspend_aware_now_s()
    at_s = follower.peers.config_confirmed_at_s(2.0)
    assert at_s is not None
    age_s = before_s - at_s
    assert age_s >= leader.belief.age_s(before_s) - 0.001


@pytest.mark.parametrize(
    "own",
    [
        relay_builders.config(6),
        relay_builders.config(8),
        relay_builders.config(7, limit=10),
    ],
    ids=["older", "newer", "other content"],
)
def test_other_configuration_confirms_nothing(leader, follower, own):
    follower.belief.accept(own, 0.0)
    assert follower.peers.config_confirmed_at_s(2.0) is None


def test_old_confirmation_is_not_taken(leader, follower):
    # Guards against a leader that is cut off from the store.
    follower.belief.accept(relay_builders.config(7), 0.0)
    assert follower.peers.config_confirmed_at_s(0.3) is None


def test_changes_of_targets_are_passed_on(leader, follower):
    update = serving.TargetChanges((relay_builders.target("t"),), ("u",), 12)
    leader.shared_targets.log.append(update)
    told = follower.peers.targets(10)
    assert told is not None
    assert told[0].changes == update
    assert told[1] <= clock.suspend_aware_now_s() - 1.0


def test_host_that_is_behind_says_so(leader, follower):
    # Guards against hosts that are ahead by a heartbeat of some target and
    # therefore all watch the store.
    told = follower.peers.targets(11)
    assert told is not None
    assert told[0].changes is None


def test_host_with_old_beliefs_is_passed_over(leader, follower):
    # Guards against a leader that is cut off from the store.
    leader.shared_targets.confirmed_at_s -= 5.0
    assert follower.peers.targets(10) is None
    leader.shared_targets.confirmed_at_s += 5.0
    assert follower.peers.targets(10) is None
    follower.fake_now[0] += 3.1
    assert follower.peers.targets(10) is not None


def test_host_that_does_not_answer_is_asked_once(leader, follower):
    # Guards against requests that wait for a lost host at every refresh.
    gone = serving.HostEntry("a", "north", "127.0.0.1:1")
    follower.fleet.replace_all([gone, serving.HostEntry("b", "north", "")])
    assert follower.peers.targets(10) is None
    assert follower.peers.targets(10) is None
    text = follower.metrics.text().decode()
    assert 'rattanpulley_peer_calls_total{result="failed"} 1.0' in text
