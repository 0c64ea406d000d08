"""Tests of what the sharing of crash reports asks of hosts and of the store."""

import types

import pytest
import relay_builders

from rattanpulley_core import serving
from rattanpulley_core import suspects
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import suspect_sharing


class Store:
    """Records of refused requests, and the calls."""

    def __init__(self):
        self.found_by_fingerprint = {}
        self.calls = []
        self.fails = False

    def record_suspect(self, fingerprint, found, timeout_s):
        self._call("write")
        self.found_by_fingerprint[fingerprint] = found

    def read_suspects(self, timeout_s, may_be_old):
        self._call("cheap read" if may_be_old else "read")
        return dict(self.found_by_fingerprint)

    def remove_suspect(self, fingerprint, timeout_s):
        self._call("remove")
        del self.found_by_fingerprint[fingerprint]

    def _call(self, name):
        self.calls.append(name)
        if self.fails:
            raise serving.SourceError("down")


class Peers:
    """The host that this one queries, if any."""

    def __init__(self, queries_peers):
        self.queries_peers = queries_peers
        self.batches = []

    def send_crashes(self, batch):
        if self.queries_peers:
            self.batches.append(batch)
        return self.queries_peers


@pytest.fixture
def parts(monkeypatch):
    """Store, context and clock of a host."""
    state = types.SimpleNamespace(now_s=100.0, store=Store())
    monkeypatch.setattr(clock, "suspend_aware_now_s", lambda: state.now_s)
    state.context = relay_builders.make_context("b")
    return state


def make_sharing(parts, queries_peers):
    parts.peers = Peers(queries_peers)
    return suspect_sharing.SuspectSharing(
        parts.context, parts.store, parts.peers
    )


def run(parts, sharing, seconds):
    for _ in range(round(seconds / suspect_sharing.STEP_INTERVAL_S)):
        sharing.step()
        parts.now_s += suspect_sharing.STEP_INTERVAL_S


def crash(parts, fingerprint, targets):
    for target in targets:
        parts.context.suspects.record_crash(
            fingerprint, target, "boot", 0, 0.1, parts.now_s
        )
        parts.now_s += 0.2


def test_host_with_peers_reads_the_store_only_at_its_start(parts):
    # Guards against store calls that grow with the number of hosts.
    run(parts, make_sharing(parts, queries_peers=True), 20.0)
    assert parts.store.calls == ["read"]


def test_host_without_peers_reads_cheaply_each_second(parts):
    run(parts, make_sharing(parts, queries_peers=False), 5.0)
    assert parts.store.calls[0] == "read"
    assert set(parts.store.calls[1:]) == {"cheap read"}
    assert len(parts.store.calls) <= 6


def test_refused_request_is_recorded_once_in_spite_of_failures(parts):
    # Guards against a record that is lost with a call to the store.
    sharing = make_sharing(parts, queries_peers=True)
    run(parts, sharing, 1.0)
    crash(parts, "cause", ["t1", "t2", "t3"])
    parts.store.fails = True
    run(parts, sharing, 5.0)
    assert 3 <= parts.store.calls.count("write") <= 7
    parts.store.fails = False
    parts.store.calls.clear()
    run(parts, sharing, 3.0)
    assert parts.store.calls == ["write"]
    assert len(parts.store.found_by_fingerprint["cause"]) == 3


def test_record_outlasts_the_hosts_that_made_it(parts):
    # Guards against hosts that all start again and run the request again.
    crash(parts, "cause", ["t1", "t2", "t3"])
    run(parts, make_sharing(parts, queries_peers=True), 3.0)
    parts.context = relay_builders.make_context("c")
    run(parts, make_sharing(parts, queries_peers=True), 1.0)
    assert parts.context.suspects.is_refused("cause", parts.now_s)
    # Only a host that saw a crash writes.
    assert parts.store.calls.count("write") == 1


def test_request_that_was_cleared_loses_its_record(parts):
    crash(parts, "beside", ["t1", "t2", "t3"])
    sharing = make_sharing(parts, queries_peers=False)
    run(parts, sharing, 3.0)
    assert "beside" in parts.store.found_by_fingerprint
    parts.context.suspects.record_success("beside", parts.now_s)
    run(parts, sharing, 3.0)
    assert not parts.store.found_by_fingerprint


def test_expired_record_is_removed(parts):
    old = suspects.SharedReport(
        "cause", "t", "boot", 0, suspects.SHARED_REPORT_TTL_S, 0.1
    )
    parts.store.found_by_fingerprint["cause"] = (old,)
    run(parts, make_sharing(parts, queries_peers=False), 1.0)
    assert not parts.store.found_by_fingerprint


def test_report_is_sent_once_to_the_queried_host(parts):
    sharing = make_sharing(parts, queries_peers=True)
    crash(parts, "cause", ["t1"])
    run(parts, sharing, 2.0)
    assert [len(batch.reports) for batch in parts.peers.batches] == [1]
