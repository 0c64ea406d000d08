"""Tests of which versions take requests."""

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


def versions_of(found: list[serving.TargetEntry]) -> list[str]:
    return [entry.version for entry in found]


def examined(gate: serving.VersionGate, *orders: serving.RolloutOrder) -> None:
    rows = entries("v1", "v2")
    gate.apply_orders(orders, {(row.pool, row.version) for row in rows})


def test_only_version_is_used_before_the_orders_are_read() -> None:
    gate = serving.VersionGate()
    assert versions_of(gate.stable(entries("v1"))) == ["v1"]
    assert gate.stable([]) == []


def test_of_several_versions_none_is_used_before_the_orders_are_read() -> None:
    # Guards against a host that starts during a trial and cannot read orders.
    gate = serving.VersionGate()
    assert gate.stable(entries("v1", "v2")) == []


def test_new_version_that_is_left_alone_waits_as_well() -> None:
    gate = serving.VersionGate()
    gate.apply_orders((), {("pool", "v1")})
    assert gate.stable(entries("v2")) == []


def test_new_version_waits_for_the_orders() -> None:
    # Guards against requests to a bad version in the moments before its order
    # is read.
    gate = serving.VersionGate()
    gate.apply_orders((), {("pool", "v1")})
    rows = entries("v1", "v2")
    assert gate.unexamined(rows) == {("pool", "v2")}
    assert versions_of(gate.stable(rows)) == ["v1"]


def test_version_without_an_order_is_usual() -> None:
    gate = serving.VersionGate()
    examined(gate)
    assert versions_of(gate.stable(entries("v1", "v2"))) == ["v1", "v2"]


def test_ordered_version_is_on_trial_until_it_is_completed() -> None:
    gate = serving.VersionGate()
    examined(gate, order())
    rows = entries("v1", "v2")
    assert versions_of(gate.stable(rows)) == ["v1"]
    assert versions_of(gate.canaries(rows)) == ["v2"]
    assert gate.accepted(rows) == []
    examined(gate, order(state=serving.OrderState.COMPLETED))
    assert versions_of(gate.stable(rows)) == ["v1", "v2"]


def test_version_that_was_taken_back_stays_out() -> None:
    # Guards against a bad version that comes back when the operator orders
    # another one while its targets still leave.
    gate = serving.VersionGate()
    examined(gate, order(state=serving.OrderState.ROLLED_BACK))
    examined(gate, order("v3"))
    assert versions_of(gate.stable(entries("v1", "v2"))) == ["v1"]
    examined(gate, order())
    assert versions_of(gate.canaries(entries("v2"))) == ["v2"]


def test_acceptance_lasts_until_it_is_doubted() -> None:
    gate = serving.VersionGate()
    gate.accept("pool", "v2")
    assert gate.status_of("pool", "v2") is serving.VersionStatus.UNEXAMINED
    examined(gate, order())
    gate.accept("pool", "v2")
    examined(gate, order())
    assert versions_of(gate.accepted(entries("v1", "v2"))) == ["v2"]
    gate.revoke_acceptance("pool", "v2")
    assert gate.accepted(entries("v1", "v2")) == []
