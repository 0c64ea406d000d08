"""Tests of the selection of targets under load and after failures."""

from collections import Counter
import random

import serving_builders as builders

from rattanpulley_core import serving

DOMAINS = ("north", "south", "east", "west")
QUERY = serving.PlacementQuery("pool")


def _make_placement(
    own_domain: str = "north", targets_per_domain: int = 3
) -> tuple[serving.TargetRegistry, serving.LoadTable, serving.Placement]:
    registry = serving.TargetRegistry()
    for domain in DOMAINS:
        for index in range(targets_per_domain):
            registry.upsert(
                builders.target(
                    f"{domain}{index}",
                    domain,
                    host=f"10.0.{DOMAINS.index(domain)}.{index}",
                )
            )
    loads = serving.LoadTable()
    placement = serving.Placement(registry, loads, own_domain, random.Random(7))
    return registry, loads, placement


def test_crashed_domain_gets_no_work() -> None:
    """Nine tenths of the engines of a domain may fail at the same time."""
    _, loads, placement = _make_placement()
    for index in range(3):
        loads.record_fault(f"north{index}", 0.0, blocked_s=0.4)
    chosen = [placement.choose(QUERY, 0.1) for _ in range(50)]
    assert {entry.domain for entry in chosen if entry} <= set(DOMAINS[1:])


def test_blocked_targets_are_used_as_a_last_resort() -> None:
    """Guards against refusing requests when every target is blocked."""
    _, loads, placement = _make_placement()
    for domain in DOMAINS:
        for index in range(3):
            loads.record_fault(f"{domain}{index}", 0.0, blocked_s=9.0)
    assert placement.choose(QUERY, 0.1) is not None


def test_recovered_target_is_used_again() -> None:
    """A failure must not exclude a target long after its recovery."""
    _, loads, placement = _make_placement()
    loads.record_fault("north0", 0.0, blocked_s=0.4)
    chosen = {placement.choose(QUERY, 9.0) for _ in range(200)}
    assert "north0" in {entry.target_id for entry in chosen if entry}


def test_target_with_repeated_failures_is_avoided() -> None:
    """A target can fail requests although its health check succeeds."""
    _, loads, placement = _make_placement()
    for step in range(5):
        loads.record_fault("north0", step * 0.1)
    counts = Counter(
        entry.target_id
        for entry in (placement.choose(QUERY, 0.6) for _ in range(300))
        if entry
    )
    assert counts["north0"] == 0


def test_hosts_with_equal_reports_select_different_targets() -> None:
    """Hosts with the same stale reports must not all select one target."""
    registry, loads, _ = _make_placement()
    loads.record_report("south0", 0, 0.0)
    chosen = set()
    for seed in range(40):
        placement = serving.Placement(
            registry, loads, "north", random.Random(seed)
        )
        entry = placement.choose(QUERY, 0.1)
        assert entry is not None
        chosen.add(entry.target_id)
    assert len(chosen) >= 3


def test_long_prompts_are_distributed_over_targets() -> None:
    """Prompts in prefill at the same engine delay each other."""
    _, loads, placement = _make_placement()
    query = serving.PlacementQuery("pool", needs_prefill=True)
    for _ in range(12):
        entry = placement.choose(query, 0.0)
        assert entry is not None
        load = loads.load_of(entry.target_id)
        load.in_flight += 1
        load.prefills += 1
    most = max(
        loads.load_of(f"{domain}{index}").prefills
        for domain in DOMAINS
        for index in range(3)
    )
    assert most <= 2


def test_copy_is_stored_in_another_domain() -> None:
    """The loss of a failure domain must not remove both run and copy."""
    registry, _, placement = _make_placement()
    for entry in registry.in_pool("pool"):
        holder = placement.choose_copy_holder("pool", entry, 0.0)
        assert holder is not None
        assert holder.domain != entry.domain
        assert "north" in (holder.domain, entry.domain)


def test_leaving_target_stores_no_copy() -> None:
    """A copy on a leaving target is lost when the target stops."""
    registry, _, placement = _make_placement(targets_per_domain=1)
    runs_on = registry.entry("north0")
    assert runs_on is not None
    for domain in ("south", "east"):
        known = registry.entry(f"{domain}0")
        assert known is not None
        registry.upsert(
            builders.target(f"{domain}0", domain, host=known.host, leaving=True)
        )
    holder = placement.choose_copy_holder("pool", runs_on, 0.0)
    assert holder is not None
    assert holder.target_id == "west0"


def _reported(
    registry: serving.TargetRegistry, waiting_by_id: dict[str, int]
) -> list[tuple[serving.TargetEntry, serving.TargetReport]]:
    rows = []
    for target_id, waiting in waiting_by_id.items():
        entry = registry.entry(target_id)
        assert entry is not None
        rows.append((entry, serving.TargetReport({}, waiting)))
    return rows


def test_prompt_goes_to_remote_engine_without_queue() -> None:
    """Prompts of other hosts wait at the local engine, each for a second."""
    registry, _, placement = _make_placement()
    rows = _reported(registry, {"north0": 2, "south0": 0})
    assert placement.choose_by_reports(rows, 0.0).target_id == "south0"


def test_own_prompt_counts_before_it_is_reported() -> None:
    """Reports are a few hundred milliseconds old and lack recent prompts."""
    registry, loads, placement = _make_placement()
    loads.load_of("north0").prefills = 2
    rows = _reported(registry, {"north0": 0, "south0": 1})
    assert placement.choose_by_reports(rows, 0.0).target_id == "south0"


def test_prompt_in_prefill_counts_as_queued() -> None:
    """An engine that prefills its only prompt has none waiting."""
    registry, _, placement = _make_placement()
    local, remote = registry.entry("north0"), registry.entry("south0")
    assert local is not None
    assert remote is not None
    rows = [
        (local, serving.TargetReport({}, running=1)),
        (remote, serving.TargetReport({"run": 3}, running=1)),
    ]
    assert placement.choose_by_reports(rows, 0.0) is remote


def test_prompt_goes_to_engine_with_fewer_streams() -> None:
    """A prefill slows down the streams of the same engine."""
    registry, _, placement = _make_placement()
    local, remote = registry.entry("north0"), registry.entry("south0")
    assert local is not None
    assert remote is not None
    rows = [
        (local, serving.TargetReport({"a": 1, "b": 1}, running=2)),
        (remote, serving.TargetReport({}, running=0)),
    ]
    assert placement.choose_by_reports(rows, 0.0) is remote


def test_hosts_select_different_engines_after_a_crash() -> None:
    """Guards against all prompts of a crash going to the cheapest engine.

    Three prompts that lost their engine in one crash had selected the same one.
    """
    registry, loads, _ = _make_placement()
    rows = _reported(registry, {"east0": 0, "east1": 0, "east2": 0})
    rows[0] = (rows[0][0], serving.TargetReport({}, memory_share=0.1))
    rows[1] = (rows[1][0], serving.TargetReport({"a": 1}, running=1))
    rows[2] = (rows[2][0], serving.TargetReport({"a": 1}, running=1))
    chosen = {
        serving.Placement(registry, loads, "north", random.Random(seed))
        .choose_by_reports(rows, 0.0, after_loss=True)
        .target_id
        for seed in range(40)
    }
    assert len(chosen) == 3


def test_engine_with_full_memory_is_avoided() -> None:
    """An engine that runs out of memory preempts running streams."""
    registry, _, placement = _make_placement()
    local, remote = registry.entry("north0"), registry.entry("south0")
    assert local is not None
    assert remote is not None
    rows = [
        (local, serving.TargetReport({}, memory_share=0.95)),
        (remote, serving.TargetReport({}, waiting=1)),
    ]
    assert placement.choose_by_reports(rows, 0.0) is remote


def test_shortlist_has_own_domain_and_no_blocked_target() -> None:
    """A host in an isolated domain must query an engine of that domain."""
    _, loads, placement = _make_placement()
    loads.record_fault("north0", 0.0, blocked_s=1.0)
    for _ in range(30):
        shortlist = placement.shortlist(QUERY, 3, 0.1)
        assert any(entry.domain == "north" for entry in shortlist)
        assert "north0" not in {entry.target_id for entry in shortlist}
