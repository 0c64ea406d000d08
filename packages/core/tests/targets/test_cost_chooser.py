"""Tests of the selection by expected cost."""

import collections
import random

import pytest

from rattanpulley_core import tables
from rattanpulley_core import targets
from rattanpulley_core._internal.targets import ejection
from rattanpulley_core._internal.targets import loads

COUNT = 10


def new_table():
    specs = {
        f"e{i}": tables.TargetSpec(f"e{i}", "", "z0", "v1")
        for i in range(COUNT)
    }
    kind = tables.TargetKind.ENGINE
    versions = {"v1": tables.VersionSpec("v1")}
    pool = tables.Pool("pool", kind, versions, specs)
    table = targets.TargetTable("z0")
    table.apply_pools(tables.PoolTable(1, {"pool": pool}), 0.0)
    return table


@pytest.fixture
def table():
    return new_table()


def count_selections(table, now_s=100.0, count=300, seed=1, **query):
    chooser = targets.ExpectedCostChooser(table, random.Random(seed))
    query = targets.TargetQuery("pool", prompt_tokens=2000, **query)
    return collections.Counter(
        chooser.choose(query, now_s) for _ in range(count)
    )


def hashes(prompt):
    return targets.prefix_block_hashes("model", prompt)


def test_a_prefix_keeps_its_targets(table):
    # Guards against daemons that select different targets for a prefix, which
    # defeats the prefix caches.
    found = [
        count_selections(
            table, seed=seed, prefix_block_hashes=hashes("a" * 9000)
        )
        for seed in (1, 2)
    ]
    assert set(found[0]) == set(found[1])
    assert len(found[0]) <= 2
    others = count_selections(table, prefix_block_hashes=hashes("b" * 9000))
    assert set(others) != set(found[0])


def test_a_popular_prefix_spills_over(table):
    # Guards against a target that receives all requests of one prefix.
    key = hashes("a" * 9000)
    chooser = targets.ExpectedCostChooser(table, random.Random(1))
    query = targets.TargetQuery(
        "pool", prefix_block_hashes=key, prompt_tokens=2000
    )
    for _ in range(200):
        table.get(chooser.choose(query, 100.0)).in_flight += 1
    counts = [row.in_flight for row in table.targets_by_name.values()]
    assert max(counts) <= 1.1 * 20 + 2


def test_prefix_hashes():
    # Guards against keys that differ between equal system prompts.
    assert hashes("short") == ()
    assert hashes("a" * 600 + "b") == hashes("a" * 600 + "c")
    assert hashes("a" * 9000) == hashes("a" * 9000 + "own question")
    other = targets.prefix_block_hashes("other", "a" * 600)
    assert other != hashes("a" * 600)


def test_ejection_is_bounded_and_grows(table):
    # Guards against a common fault that ejects every target.
    rows = list(table.targets_by_name.values())
    ejector = ejection.Ejector()
    rows[0].consecutive_failures = 5
    assert rows[0] not in ejector.retain(rows, 100.0)
    assert rows[0] in ejector.retain(rows, 105.1)
    rows[0].consecutive_failures = 6
    assert rows[0] not in ejector.retain(rows, 106.0)
    assert rows[0] not in ejector.retain(rows, 115.0)
    assert rows[0] in ejector.retain(rows, 116.1)
    for row in rows:
        row.consecutive_failures = 9
    assert len(ejector.retain(rows, 200.0)) == 7


def test_restored_target_starts_slowly(table):
    # Guards against a full load on a cold target.
    target = table.get("e0")
    target.mark_lost()
    target.mark_alive(100.0)
    early = count_selections(table, 101.0, count=2000)["e0"]
    late = count_selections(table, 111.0, count=2000)["e0"]
    assert early < 0.2 * late


def test_old_load_reports_lose_weight(table):
    # Guards against decisions from outdated load.
    table.apply_load("e0", targets.LoadReport(200, 50, 0.9), 100.0)
    fresh = count_selections(table, 100.1, count=2000)["e0"]
    old = count_selections(table, 160.0, count=2000)["e0"]
    assert fresh == 0
    assert old > 100


def test_limit_follows_refusals_and_late_tokens(table):
    # Guards against more work than a target accepts.
    load = table.get("e0").load
    load.record_refusal()
    assert load.limit == pytest.approx(loads.INITIAL_LIMIT * 0.7)
    before = load.limit
    load.record_first_token(3.0, 0.1, 40)
    assert load.limit == pytest.approx(before * 0.9)
    before = load.limit
    load.record_first_token(0.1, 0.1, 1)
    assert load.limit == before
    load.record_first_token(0.1, 0.1, 40)
    assert before < load.limit < before + 0.1
    for _ in range(100):
        load.record_refusal()
    assert load.limit == loads.MIN_LIMIT
    table.get("e0").in_flight = 4
    assert "e0" not in count_selections(table)
    # Resumes are limited by their slots instead.
    others = frozenset(table.targets_by_name) - {"e0"}
    assert set(count_selections(table, excluded=others)) == {None}
    assert set(count_selections(table, excluded=others, is_resume=True)) == {
        "e0"
    }


@pytest.mark.parametrize(("prompt", "spread"), [("", 10), ("a" * 9000, 5)])
def test_shared_stale_report_does_not_overload_the_idle_target(prompt, spread):
    # Guards against the overload of an idle target by daemons that all read
    # that it is idle and do not know each other's selections until the next
    # report.
    per_daemon = 10
    daemons = 30
    counts = collections.Counter()
    for seed in range(daemons):
        table = new_table()
        for i in range(COUNT):
            report = targets.LoadReport(0 if i == 0 else 20, 0, 0.0)
            table.apply_load(f"e{i}", report, 100.0)
        chooser = targets.ExpectedCostChooser(table, random.Random(seed))
        query = targets.TargetQuery(
            "pool", prefix_block_hashes=hashes(prompt), prompt_tokens=2000
        )
        for _ in range(per_daemon):
            name = chooser.choose(query, 101.0)
            table.get(name).in_flight += 1
            counts[name] += 1
    # Without the limits the target gets nearly all 300 requests; two random
    # candidates include the idle target with a probability of 2 / COUNT.
    assert max(counts.values()) < 2 * 2 / COUNT * per_daemon * daemons
    # A shared prefix uses the first targets of its order with spare capacity.
    assert len(counts) >= spread
