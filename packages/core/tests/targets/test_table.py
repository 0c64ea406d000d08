"""Tests of the target table and of the selection of targets."""

import random

import pytest

from rattanpulley_core import tables
from rattanpulley_core import targets

ENGINE = tables.TargetKind.ENGINE


def pool_table(weights=None, **versions_by_target):
    specs = {
        name: tables.TargetSpec(name, f"http://{name}", f"z{name[1]}", version)
        for name, version in versions_by_target.items()
    }
    weights = weights or dict.fromkeys(versions_by_target.values(), 1.0)
    versions = {v: tables.VersionSpec(v, w) for v, w in weights.items()}
    pool = tables.Pool("pool", ENGINE, versions, specs)
    return tables.PoolTable(1, {"pool": pool})


def entry(name, state):
    return targets.HostEntry(name, "z", "", "engine", "v1", state)


def choose_names(table, count=200, **query):
    chooser = targets.LeastOutstandingChooser(table, random.Random(1))
    query = targets.TargetQuery("pool", **query)
    return {chooser.choose(query, 0.0) for _ in range(count)}


@pytest.fixture
def table():
    table = targets.TargetTable("z0")
    table.apply_pools(pool_table(a0="v1", b0="v1", a1="v1"), 0.0)
    return table


def test_leaving_follows_the_host_list_but_not_absence(table):
    # Guards G7 (a leaving target gets no new work), and against targets that
    # are lost through a lagging host list.
    table.apply_hosts([entry("a0", targets.HostState.LEAVING)], 1.0)
    assert choose_names(table) == {"b0"}
    assert table.get("a0").leaving_since_s == 1.0
    table.apply_hosts([], 2.0)
    assert table.get("a0").leaving_since_s == 1.0
    table.apply_hosts([entry("a0", targets.HostState.LIVE)], 3.0)
    assert choose_names(table) == {"a0", "b0"}


def test_removed_target_finishes_its_work(table):
    # Guards against streams in flight that a change of the pools table ends.
    table.get("a0").in_flight = 1
    table.apply_pools(pool_table(a1="v1"), 1.0)
    assert set(table.targets_by_name) == {"a0", "a1"}
    assert choose_names(table) == {"a1"}
    assert not table.has_version("pool", "v2")


def test_own_domain_first_then_fewest_in_flight(table):
    # Guards against unnecessary traffic between failure domains.
    assert choose_names(table) == {"a0", "b0"}
    table.get("a0").in_flight = 3
    assert choose_names(table) == {"b0"}
    table.get("b0").awaiting_probe = True
    assert choose_names(table) == {"a0"}
    table.get("a0").mark_lost()
    assert choose_names(table) == {"a1"}
    assert choose_names(table, excluded=frozenset({"a1"})) == {None}


def test_resume_slots_and_suspects(table):
    # Guards against many resumes on one target, and against suspects that share
    # a target.
    table.get("a0").resumes_awaiting_first_token = 4
    assert choose_names(table, is_resume=True) == {"b0"}
    table.get("b0").suspects_in_flight = 1
    assert choose_names(table, is_resume=True, suspect=True) == {"a1"}


def test_versions_are_drawn_by_weight():
    # Guards G3: a version without a share gets no new work.
    table = targets.TargetTable("z0")
    weights = {"v1": 0.9, "v2": 0.1}
    table.apply_pools(pool_table(weights, a0="v1", b0="v2"), 0.0)
    chooser = targets.LeastOutstandingChooser(table, random.Random(1))
    query = targets.TargetQuery("pool")
    names = [chooser.choose(query, 0.0) for _ in range(2000)]
    assert names.count("b0") == pytest.approx(200, abs=50)
    table.set_version_weights("pool", {"v1": 1.0, "v2": 0.0})
    assert choose_names(table) == {"a0"}
    assert choose_names(table, version="v2") == {"b0"}
    table.set_version_weights("pool", None)
    assert choose_names(table) == {"a0", "b0"}


def test_lost_and_leaving_target_returns_as_leaving(table):
    # Guards G7 for a target that answers a probe while it is leaving.
    target = table.get("a0")
    target.mark_lost()
    target.leaving_by_health = True
    target.mark_alive(5.0)
    assert target.state is targets.TargetState.LEAVING


def test_false_alarms_raise_the_stall_margin_for_a_while():
    # Guards against a probe at each pause of a healthy target, and against a
    # margin that never decays.
    target = targets.Target("a", "http://127.0.0.1:1", "n", ENGINE, "p", "v1")
    assert target.stall_margin(0.0) == 1.0
    for _ in range(10):
        target.record_false_alarm(100.0)
    assert target.stall_margin(100.0) == targets.MAX_STALL_MARGIN
    assert target.stall_margin(160.0) == targets.MAX_STALL_MARGIN / 2
    assert target.stall_margin(1_000.0) == 1.0
