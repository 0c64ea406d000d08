"""Tests of the hosts' reads of replaced orders and of their records."""

import dataclasses
import random
import types

import pytest
import relay_builders

from rattanpulley_core import serving
from rattanpulleyd._internal.relay.rollouts import order_watch
from rattanpulleyd._internal.relay.rollouts import version_recorder

OPEN = serving.OrderState.OPEN
# Steps of a host in 6 s, before the counts are judged.
STEPS = 30
STEP_S = 0.2


class FakeStore:
    """One order and the records, and the calls for them.

    Attributes:
        order: The order, or None.
        records_by_key: Records by pool and version.
        calls: Names of the calls.
    """

    def __init__(self) -> None:
        self.order: serving.RolloutOrder | None = None
        self.records_by_key: dict[tuple[str, str], serving.VersionRecord] = {}
        self.calls: list[str] = []

    def read_orders(self, _timeout_s: float):
        self.calls.append("orders")
        return () if self.order is None else (self.order,)

    def read_version_records(self, _timeout_s: float):
        self.calls.append("records")
        return tuple(self.records_by_key.values())

    def record_version(self, record, _timeout_s: float) -> None:
        self.calls.append("write")
        if record.supersedes(self.records_by_key.get(record.key)):
            self.records_by_key[record.key] = record

    def remove_version_record(self, record, _timeout_s: float) -> None:
        self.calls.append("remove")
        del self.records_by_key[record.key]


def make_host(
    store: FakeStore, name: str, seed: int, hosts: int
) -> tuple[types.SimpleNamespace, order_watch.RolloutWatch]:
    """Returns the context and the watch of a host of a fleet."""
    context = relay_builders.make_context(name)
    context.rng = random.Random(seed)
    context.fleet = types.SimpleNamespace(hosts=hosts, listed=True)
    context.log = types.SimpleNamespace(
        change=lambda *_, **__: None, failure=lambda *_, **__: None
    )
    context.trials = serving.TrialTable(
        serving.VersionGate(), 0.1, 50.0, context.rng
    )
    return context, order_watch.RolloutWatch(context, store, name)  # type: ignore[arg-type]


def list_versions(context: types.SimpleNamespace, *versions: str) -> None:
    """Lists a target of each of some versions."""
    entries = [
        serving.TargetEntry(
            f"t-{v}", "pool", "10.0.0.1", 80, "north", v, 6, False, 0.0, 1
        )
        for v in versions
    ]
    context.targets.replace_all(entries, 0.0, False)


def status_of(context: types.SimpleNamespace, version: str) -> str:
    return context.trials.gate.status_of("pool", version).name


def order(version: str, revision: int) -> serving.RolloutOrder:
    return serving.RolloutOrder("pool", version, 12.0, OPEN, revision)


@pytest.mark.parametrize("hosts", [1, 8, 380])
def test_order_is_recorded_by_a_few_hosts(fake_clock, hosts: int) -> None:
    # Guards against one write for each host, and against an order that no host
    # records before the next one hides it.
    store = FakeStore()
    fleet = [make_host(store, f"h{n}", n, hosts) for n in range(hosts)]
    for context, watch in fleet:
        list_versions(context, "v1")
        watch.step(fake_clock.now)
    store.order = order("v2", 5)
    store.calls.clear()
    for context, _ in fleet:
        list_versions(context, "v1", "v2")
    for _ in range(STEPS):
        fake_clock.now += STEP_S
        for _, watch in fleet:
            watch.step(fake_clock.now)
    assert store.records_by_key["pool", "v2"].order_revision == 5
    assert store.calls.count("write") <= min(hosts, 30)
    # One read for each host, and one for each that writes.
    assert store.calls.count("records") <= hosts + min(hosts, 30)


def test_host_that_was_cut_off_during_both_orders_uses_neither(
    fake_clock,
) -> None:
    # Guards against full traffic to a version whose order this host missed.
    store = FakeStore()
    present, present_watch = make_host(store, "present", 1, 1)
    absent, absent_watch = make_host(store, "absent", 2, 1)
    late, late_watch = make_host(store, "late", 3, 1)
    for context, watch in (
        (present, present_watch),
        (absent, absent_watch),
    ):
        list_versions(context, "v1")
        watch.step(fake_clock.now)
    store.order = order("v2", 5)
    list_versions(present, "v1", "v2")
    present_watch.step(fake_clock.now + 1)
    store.order = order("v3", 6)
    for context, watch in (
        (present, present_watch),
        (absent, absent_watch),
        (late, late_watch),
    ):
        list_versions(context, "v1", "v2", "v3")
        watch.step(fake_clock.now + 3)
        assert [status_of(context, v) for v in ("v1", "v2", "v3")] == [
            "STABLE",
            "UNDECIDED",
            "CANARY",
        ]


def test_record_is_written_when_the_store_is_back(fake_clock) -> None:
    # Guards against a record that is lost with the call that was to write it.
    store = FakeStore()
    context, watch = make_host(store, "host", 1, 1)
    list_versions(context, "v1")
    watch.step(fake_clock.now)
    store.order = order("v2", 5)
    list_versions(context, "v1", "v2")

    def fail_write(*_: object) -> None:
        raise serving.SourceError("lost")

    store.record_version = fail_write  # type: ignore[method-assign]
    with pytest.raises(serving.SourceError):
        watch.step(fake_clock.now)
    del store.record_version  # type: ignore[misc]
    fake_clock.now += version_recorder.ROUND_INTERVAL_S
    watch.step(fake_clock.now)
    assert ("pool", "v2") in store.records_by_key


def test_host_that_decided_writes_the_record(fake_clock) -> None:
    # Guards against a completion that no host records, because the one that
    # decided reads it back and draws like all others.
    store = FakeStore()
    context, _ = make_host(store, "host", 1, 10_000)
    recorder = version_recorder.VersionRecorder(context, store)  # type: ignore[arg-type]
    opened = order("v2", 5)
    completed = dataclasses.replace(
        opened, state=serving.OrderState.COMPLETED, revision=7
    )
    recorder.expect_own_decision(opened, completed.state)
    change = ("pool", "v2", serving.VersionStatus.STABLE)
    recorder.expect_changes([completed], [change])
    recorder.step(fake_clock.now)
    assert store.records_by_key["pool", "v2"].state is completed.state


def test_record_of_an_earlier_order_does_not_undo_a_rollback(
    fake_clock,
) -> None:
    # Guards against full traffic to a version that was completed, ordered again
    # and rolled back, where the record of the later order was not written.
    store = FakeStore()
    context, watch = make_host(store, "host", 1, 10_000)
    list_versions(context, "v1")
    watch.step(fake_clock.now)
    completed = serving.VersionRecord(
        "pool", "v2", serving.OrderState.COMPLETED, 3, 1.0
    )
    store.records_by_key[completed.key] = completed
    store.order = dataclasses.replace(
        order("v2", 8), state=serving.OrderState.ROLLED_BACK
    )
    for row, versions in (
        (store.order, ("v1", "v2")),
        (order("v3", 9), ("v1", "v2", "v3", "v4")),
    ):
        store.order = row
        fake_clock.now += order_watch.UNUSED_POLL_S
        list_versions(context, *versions)
        watch.step(fake_clock.now)
        assert status_of(context, "v2") == "REJECTED"
