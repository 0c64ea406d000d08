"""Tests of the status of versions."""

from collections.abc import Iterable

import pytest
import serving_builders

from rattanpulley_core import serving

OPEN = serving.OrderState.OPEN
COMPLETED = serving.OrderState.COMPLETED
ROLLED_BACK = serving.OrderState.ROLLED_BACK
STABLE = serving.VersionStatus.STABLE
CANARY = serving.VersionStatus.CANARY
REJECTED = serving.VersionStatus.REJECTED
UNDECIDED = serving.VersionStatus.UNDECIDED


def order(version: str = "v2", state: serving.OrderState = OPEN):
    return serving.RolloutOrder("pool", version, 12.0, state, 5)


def entries(*versions: str) -> list[serving.TargetEntry]:
    return [
        serving_builders.target(f"t-{version}", version=version)
        for version in versions
    ]


def versions_of(targets: list[serving.TargetEntry]) -> list[str]:
    return [entry.version for entry in targets]


def apply_orders(
    gate: serving.VersionGate, *orders: serving.RolloutOrder
) -> None:
    rows = entries("v1", "v2")
    gate.apply_orders(orders, {(row.pool, row.version) for row in rows})


def test_single_version_is_stable_before_orders_are_read() -> None:
    gate = serving.VersionGate()
    assert versions_of(gate.stable(entries("v1"))) == ["v1"]
    assert gate.stable([]) == []


def test_no_version_of_several_is_stable_before_orders_are_read() -> None:
    # Guards against using a canary version on a host that starts during a
    # trial and cannot read the orders.
    gate = serving.VersionGate()
    assert gate.stable(entries("v1", "v2")) == []


def test_remaining_new_version_is_not_stable() -> None:
    gate = serving.VersionGate()
    gate.apply_orders((), {("pool", "v1")})
    assert gate.stable(entries("v2")) == []


def test_new_version_is_not_stable_before_orders_are_read() -> None:
    # Guards against requests to a bad version before its order has been read.
    gate = serving.VersionGate()
    gate.apply_orders((), {("pool", "v1")})
    rows = entries("v1", "v2")
    assert gate.unexamined(rows) == {("pool", "v2")}
    assert versions_of(gate.stable(rows)) == ["v1"]


def test_version_without_an_order_is_stable() -> None:
    gate = serving.VersionGate()
    apply_orders(gate)
    assert versions_of(gate.stable(entries("v1", "v2"))) == ["v1", "v2"]


def test_ordered_version_is_a_canary_until_completed() -> None:
    gate = serving.VersionGate()
    apply_orders(gate, order())
    rows = entries("v1", "v2")
    assert versions_of(gate.stable(rows)) == ["v1"]
    assert versions_of(gate.canaries(rows)) == ["v2"]
    assert gate.accepted(rows) == []
    apply_orders(gate, order(state=serving.OrderState.COMPLETED))
    assert versions_of(gate.stable(rows)) == ["v1", "v2"]


def test_rolled_back_version_is_not_used_again() -> None:
    # Guards against using a rolled-back version again when the operator orders
    # another one while the old targets are still being removed.
    gate = serving.VersionGate()
    apply_orders(gate, order(state=serving.OrderState.ROLLED_BACK))
    apply_orders(gate, order("v3"))
    assert versions_of(gate.stable(entries("v1", "v2"))) == ["v1"]
    apply_orders(gate, order())
    assert versions_of(gate.canaries(entries("v2"))) == ["v2"]


def test_acceptance_lasts_until_it_is_revoked() -> None:
    gate = serving.VersionGate()
    gate.accept("pool", "v2")
    assert gate.status_of("pool", "v2") is serving.VersionStatus.UNEXAMINED
    apply_orders(gate, order())
    gate.accept("pool", "v2")
    apply_orders(gate, order())
    assert versions_of(gate.accepted(entries("v1", "v2"))) == ["v2"]
    gate.revoke_acceptance("pool", "v2")
    assert gate.accepted(entries("v1", "v2")) == []


def next_order(*earlier: object) -> serving.RolloutOrder:
    """Returns an open order for v3, with the state of the one before."""
    replaced = serving.EarlierOrder(*earlier) if earlier else None  # type: ignore[arg-type]
    return serving.RolloutOrder("pool", "v3", 12.0, OPEN, 9, replaced)


def record(version: str, state: serving.OrderState) -> serving.VersionRecord:
    return serving.VersionRecord("pool", version, state, 5, 1.0)


def read(
    gate: serving.VersionGate,
    versions: str,
    orders: Iterable[serving.RolloutOrder] = (),
    records: Iterable[serving.VersionRecord] = (),
) -> None:
    """Applies a read of the orders while some versions are listed."""
    seen = {("pool", version) for version in versions.split()}
    gate.apply_orders(orders, seen, records)


# Reads of one process in turn, and the status of v1, v2 and v3 afterwards.
REPLACED_ORDERS = {
    "decision was read": (
        [("v1",), ("v1 v2", [order()]), ("v1 v2", [order(state=ROLLED_BACK)])],
        ("v1 v2 v3", [next_order()]),
        (STABLE, REJECTED, CANARY),
    ),
    "decision was never read": (
        [("v1",), ("v1 v2", [order()])],
        ("v1 v2 v3", [next_order()]),
        (STABLE, UNDECIDED, CANARY),
    ),
    "next order tells of the rollback": (
        [("v1",), ("v1 v2", [order()])],
        ("v1 v2 v3", [next_order("v2", ROLLED_BACK)]),
        (STABLE, REJECTED, CANARY),
    ),
    "next order tells of the completion": (
        [("v1",), ("v1 v2", [order()])],
        ("v1 v2 v3", [next_order("v2", COMPLETED)]),
        (STABLE, STABLE, CANARY),
    ),
    "record tells of the completion": (
        [("v1",), ("v1 v2", [order()])],
        ("v1 v2 v3", [next_order()], [record("v2", COMPLETED)]),
        (STABLE, STABLE, CANARY),
    ),
    "order was withdrawn": (
        [("v1",), ("v1 v2", [order()])],
        ("v1 v2",),
        (STABLE, UNDECIDED, None),
    ),
    "start after the next order": (
        [],
        ("v1 v2 v3", [next_order()], [record("v2", OPEN)]),
        (STABLE, UNDECIDED, CANARY),
    ),
    "start after the next order, which tells": (
        [],
        ("v1 v2 v3", [next_order("v2", ROLLED_BACK)]),
        (STABLE, REJECTED, CANARY),
    ),
    "start after the withdrawal": (
        [],
        ("v1 v2", [], [record("v2", OPEN)]),
        (STABLE, UNDECIDED, None),
    ),
    "start with versions that were never ordered": (
        [],
        ("v1 v2",),
        (STABLE, STABLE, None),
    ),
    "order was replaced before it was read": (
        [("v1",)],
        ("v1 v2 v3", [next_order()]),
        (STABLE, UNDECIDED, CANARY),
    ),
    "version without an order after a decided one": (
        [("v1",), ("v1 v2", [order(state=COMPLETED)])],
        ("v1 v2 v3", [order(state=COMPLETED)]),
        (STABLE, STABLE, STABLE),
    ),
    "completed version is ordered again": (
        [("v1",), ("v1 v2", [order(state=COMPLETED)])],
        ("v1 v2", [order()]),
        (STABLE, CANARY, None),
    ),
}


@pytest.mark.parametrize("name", REPLACED_ORDERS)
def test_only_a_completed_order_makes_an_ordered_version_stable(
    name: str,
) -> None:
    # Guards against full traffic to a version whose order another one hides.
    earlier_reads, last_read, expected = REPLACED_ORDERS[name]
    gate = serving.VersionGate()
    for arguments in earlier_reads:
        read(gate, *arguments)
    read(gate, *last_read)
    known = gate.status_by_version()
    statuses = tuple(known.get(("pool", v)) for v in ("v1", "v2", "v3"))
    assert statuses == expected


def test_records_are_read_for_what_the_orders_leave_open() -> None:
    # Guards against a call for each read of the orders of every host.
    gate = serving.VersionGate()
    assert gate.needs_records((), {("pool", "v1")})
    read(gate, "v1")
    assert not gate.needs_records((), {("pool", "v1")})
    read(gate, "v1 v2", [order()])
    assert not gate.needs_records([order()], {("pool", "v1"), ("pool", "v2")})
    assert gate.needs_records([next_order()], {("pool", "v1")})
    assert gate.needs_records((), {("pool", "v1")})
    told = next_order("v2", ROLLED_BACK)
    assert not gate.needs_records([told], {("pool", "v1")})


@pytest.mark.parametrize("is_noticed", [True, False])
def test_version_that_comes_back_waits_for_its_order(is_noticed: bool) -> None:
    # Guards against full traffic to the version before the present one, which
    # the operator orders again, and whose order was not looked for.
    gate = serving.VersionGate()
    read(gate, "v1 v2", [order(state=COMPLETED)])
    gate.forget_departed(entries("v1", "v2"))
    if is_noticed:
        assert gate.forget_departed(entries("v2")) == [("pool", "v1")]
    rows = [*entries("v2"), serving_builders.target("again", version="v1")]
    departed = gate.forget_departed(rows)
    assert departed == ([] if is_noticed else [("pool", "v1")])
    assert gate.unexamined(rows) == {("pool", "v1")}
    assert versions_of(gate.stable(rows)) == ["v2"]
    read(gate, "v1 v2", [order("v1")])
    assert versions_of(gate.canaries(rows)) == ["v1"]
    assert gate.forget_departed(rows) == []


def test_version_departs_before_the_completion_is_read() -> None:
    # Guards against a host that reads the completion after the old targets
    # have stopped, and takes their version for stable when it comes back.
    gate = serving.VersionGate()
    read(gate, "v1 v2", [order()])
    gate.accept("pool", "v2")
    gate.forget_departed(entries("v1", "v2"))
    assert gate.forget_departed(entries("v2")) == []
    assert gate.forget_departed(entries("v2")) == []
    read(gate, "v2", [order(state=COMPLETED)])
    assert gate.forget_departed(entries("v2")) == [("pool", "v1")]
    assert gate.forget_departed(entries("v2")) == []


def test_version_without_another_is_kept_when_all_targets_restart() -> None:
    # Guards against an outage when all targets crash while the store is away.
    gate = serving.VersionGate()
    read(gate, "v1 v2", [order()])
    gate.forget_departed(entries("v1", "v2"))
    again = [serving_builders.target("again", version="v1"), *entries("v2")]
    assert gate.forget_departed(again) == []
    assert gate.forget_departed(entries("v2")) == []
    assert versions_of(gate.stable(again)) == ["v1"]
    leaving = serving_builders.target("t-v2", version="v2", leaving=True)
    read(gate, "v1 v2", [order(state=COMPLETED)])
    gate.forget_departed([leaving])
    assert gate.forget_departed([leaving]) == []


def test_undecided_version_serves_only_alone() -> None:
    # Guards against an outage where the record of a completion was lost, and
    # against full traffic while the stable targets are merely busy.
    gate = serving.VersionGate()
    read(gate, "v1 v2 v3", [next_order()], [record("v2", OPEN)])
    [stable, undecided, canary] = entries("v1", "v2", "v3")
    every = [stable, undecided, canary]
    assert gate.last_resort([undecided, canary], every) == []
    alone = [undecided, canary]
    assert gate.last_resort(alone, alone) == [undecided]
    leaving = serving_builders.target("t-v1", version="v1", leaving=True)
    assert gate.last_resort(alone, [leaving, *alone]) == [undecided]


def test_record_of_a_later_order_is_kept() -> None:
    # Guards against a late write of the decision on an earlier order.
    later = serving.VersionRecord("pool", "v2", OPEN, 8, 1.0)
    assert later.supersedes(None)
    assert not record("v2", COMPLETED).supersedes(later)
    assert later.supersedes(record("v2", COMPLETED))
    assert record("v2", COMPLETED).supersedes(record("v2", OPEN))
    assert not record("v2", OPEN).supersedes(record("v2", ROLLED_BACK))
    assert not record("v2", OPEN).supersedes(record("v2", OPEN))


def test_old_records_of_versions_without_targets_expire() -> None:
    # Guards against a list of records that grows with every rollout.
    records = [record("v1", OPEN), record("v2", ROLLED_BACK)]
    listed = {("pool", "v1")}
    week_s = 7 * 24 * 3600.0
    assert serving.expired_records(records, listed, week_s) == []
    assert serving.expired_records(records, listed, week_s + 2) == records[1:]


def test_late_host_reads_when_an_open_order_began() -> None:
    # Guards against a verdict after the time limit of the order.
    records = {("pool", "v2"): record("v2", OPEN)}
    assert serving.order_elapsed_s(records, order(), 8.0) == 7.0
    # Another clock, or an earlier order of the version.
    assert serving.order_elapsed_s(records, order(), 0.5) == 0.0
    assert serving.order_elapsed_s(records, order(), 14.0) == 0.0
    assert serving.order_elapsed_s({}, order(), 8.0) == 0.0
