"""Tests of the status of versions."""

import serving_builders

from rattanpulley_core import serving

OPEN = serving.OrderState.OPEN


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
