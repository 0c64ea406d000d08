"""Tests of the choice of targets under the loads that they are meant for."""

from collections import Counter
import random

import serving_builders as builders

from rattanpulley_core import serving

DOMAINS = ("north", "south", "east", "west")
QUERY = serving.PlacementQuery("pool")


def _world(
    own_domain: str = "north", each: int = 3
) -> tuple[serving.TargetRegistry, serving.LoadTable, serving.Placement]:
    roster = serving.TargetRegistry()
    for domain in DOMAINS:
        for index in range(each):
            roster.upsert(
                builders.target(
                    f"{domain}{index}",
                    domain,
                    host=f"10.0.{DOMAINS.index(domain)}.{index}",
                )
            )
    loads = serving.LoadTable()
    placement = serving.Placement(roster, loads, own_domain, random.Random(7))
    return roster, loads, placement


def test_crashed_domain_gets_no_work_while_others_live() -> None:
    """Nine tenths of a domain's engines die at once."""
    _, loads, placement = _world()
    for index in range(3):
        loads.record_fault(f"north{index}", 0.0, blocked_s=0.4)
    chosen = [placement.choose(QUERY, 0.1) for _ in range(50)]
    assert {entry.domain for entry in chosen if entry} <= set(DOMAINS[1:])


def test_blocked_targets_are_used_when_nothing_else_is_left() -> None:
    """A host that blocks everything would refuse what could be served."""
    _, loads, placement = _world()
    for domain in DOMAINS:
        for index in range(3):
            loads.record_fault(f"{domain}{index}", 0.0, blocked_s=9.0)
    assert placement.choose(QUERY, 0.1) is not None


def test_returning_target_is_used_again_soon() -> None:
    """A fault must not exclude a target for long after its return."""
    _, loads, placement = _world()
    loads.record_fault("north0", 0.0, blocked_s=0.4)
    chosen = {placement.choose(QUERY, 9.0) for _ in range(200)}
    assert "north0" in {entry.target_id for entry in chosen if entry}


def test_target_that_fails_answers_gets_little_work() -> None:
    """A grey target fails requests although its health is good."""
    _, loads, placement = _world()
    for step in range(5):
        loads.record_fault("north0", step * 0.1)
    counts = Counter(
        entry.target_id
        for entry in (placement.choose(QUERY, 0.6) for _ in range(300))
        if entry
    )
    assert counts["north0"] == 0


def test_equal_knowledge_does_not_choose_one_target() -> None:
    """Hosts with the same stale reports must not rush to one target."""
    roster, loads, _ = _world()
    loads.record_report("south0", 0, 0.0)
    chosen = set()
    for seed in range(40):
        placement = serving.Placement(
            roster, loads, "north", random.Random(seed)
        )
        entry = placement.choose(QUERY, 0.1)
        assert entry is not None
        chosen.add(entry.target_id)
    assert len(chosen) >= 3


def test_long_prompts_spread_over_targets() -> None:
    """Prompts that are read at one engine delay each other."""
    _, loads, placement = _world()
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


def test_copy_is_kept_in_another_domain() -> None:
    """The loss of a failure domain must leave one of run and copy."""
    roster, _, placement = _world()
    for entry in roster.usable("pool"):
        holder = placement.choose_copy_holder("pool", entry, 0.0)
        assert holder is not None
        assert holder.domain != entry.domain
        assert "north" in (holder.domain, entry.domain)


def test_leaving_target_keeps_no_copy() -> None:
    """A copy on a leaving target is lost with it."""
    roster, _, placement = _world(each=1)
    runs_on = roster.entry("north0")
    assert runs_on is not None
    for domain in ("south", "east"):
        known = roster.entry(f"{domain}0")
        assert known is not None
        roster.upsert(
            builders.target(f"{domain}0", domain, host=known.host, leaving=True)
        )
    holder = placement.choose_copy_holder("pool", runs_on, 0.0)
    assert holder is not None
    assert holder.target_id == "west0"


def _reported(
    roster: serving.TargetRegistry, waiting_by_id: dict[str, int]
) -> list[tuple[serving.TargetEntry, serving.TargetReport]]:
    rows = []
    for target_id, waiting in waiting_by_id.items():
        entry = roster.entry(target_id)
        assert entry is not None
        rows.append((entry, serving.TargetReport({}, waiting)))
    return rows


def test_prompt_goes_where_none_waits_although_it_is_further() -> None:
    """Prompts of other hosts wait at the near engine, a second each."""
    roster, _, placement = _world()
    rows = _reported(roster, {"north0": 2, "south0": 0})
    assert placement.choose_by_reports(rows, 0.0).target_id == "south0"


def test_own_prompt_counts_before_the_report_shows_it() -> None:
    """Reports are some hundred milliseconds old."""
    roster, loads, placement = _world()
    loads.load_of("north0").prefills = 2
    rows = _reported(roster, {"north0": 0, "south0": 1})
    assert placement.choose_by_reports(rows, 0.0).target_id == "south0"


def test_prompt_that_is_read_counts_as_one_that_waits() -> None:
    """An engine that reads a prompt has none waiting and looks idle."""
    roster, _, placement = _world()
    near, far = roster.entry("north0"), roster.entry("south0")
    assert near is not None
    assert far is not None
    rows = [
        (near, serving.TargetReport({}, running=1)),
        (far, serving.TargetReport({"run": 3}, running=1)),
    ]
    assert placement.choose_by_reports(rows, 0.0) is far


def test_prompt_slows_as_few_streams_as_possible() -> None:
    """Streams slow down while a prompt is read at their engine."""
    roster, _, placement = _world()
    near, far = roster.entry("north0"), roster.entry("south0")
    assert near is not None
    assert far is not None
    rows = [
        (near, serving.TargetReport({"a": 1, "b": 1}, running=2)),
        (far, serving.TargetReport({}, running=0)),
    ]
    assert placement.choose_by_reports(rows, 0.0) is far


def test_hosts_that_lose_one_engine_spread_over_the_others() -> None:
    """Three prompts of one crash met at the engine that looked best."""
    roster, loads, _ = _world()
    rows = _reported(roster, {"east0": 0, "east1": 0, "east2": 0})
    rows[0] = (rows[0][0], serving.TargetReport({}, memory_share=0.1))
    rows[1] = (rows[1][0], serving.TargetReport({"a": 1}, running=1))
    rows[2] = (rows[2][0], serving.TargetReport({"a": 1}, running=1))
    chosen = {
        serving.Placement(roster, loads, "north", random.Random(seed))
        .choose_by_reports(rows, 0.0, after_loss=True)
        .target_id
        for seed in range(40)
    }
    assert len(chosen) == 3


def test_engine_with_full_memory_is_avoided() -> None:
    """An engine without memory puts requests off in mid-stream."""
    roster, _, placement = _world()
    near, far = roster.entry("north0"), roster.entry("south0")
    assert near is not None
    assert far is not None
    rows = [
        (near, serving.TargetReport({}, memory_share=0.95)),
        (far, serving.TargetReport({}, waiting=1)),
    ]
    assert placement.choose_by_reports(rows, 0.0) is far


def test_shortlist_asks_the_own_domain_and_no_lost_target() -> None:
    """A cut-off domain must find its own engines among the few asked."""
    _, loads, placement = _world()
    loads.record_fault("north0", 0.0, blocked_s=1.0)
    for _ in range(30):
        few = placement.shortlist(QUERY, 3, 0.1)
        assert any(entry.domain == "north" for entry in few)
        assert "north0" not in {entry.target_id for entry in few}
