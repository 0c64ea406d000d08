"""Tests of the registry of targets."""

import dataclasses

import pytest
import serving_builders as builders

from rattanpulley_core import serving


def _ids(registry: serving.TargetRegistry) -> set[str]:
    """Returns the targets that get new work."""
    available = serving.TargetAvailability().available(
        registry.in_pool("pool"), 0.0
    )
    return {entry.target_id for entry in available}


def test_leaving_target_gets_no_new_work() -> None:
    """New work on a leaving target would be aborted when it stops."""
    registry = serving.TargetRegistry()
    registry.upsert(builders.target("a"))
    registry.upsert(builders.target("a", leaving=True))
    assert _ids(registry) == set()


def test_target_missing_from_a_listing_is_removed() -> None:
    """For some targets, the removal of the entry is the only notice."""
    registry = serving.TargetRegistry()
    registry.replace_all([builders.target("a")], 0.0, interrupted=False)
    registry.replace_all([], 1.0, interrupted=False)
    assert _ids(registry) == set()


def test_entries_missing_after_an_outage_return_or_expire() -> None:
    """Guards against losing all targets for seconds after a store outage."""
    registry = serving.TargetRegistry()
    both = [builders.target("a"), builders.target("b")]
    registry.replace_all(both, 0.0, interrupted=False)
    registry.replace_all([], 10.0, interrupted=True)
    assert _ids(registry) == {"a", "b"}
    registry.upsert(builders.target("a"))
    registry.expire(12.3)
    assert _ids(registry) == {"a"}


def test_second_listing_does_not_end_the_grace_period() -> None:
    """A broken watch causes another listing while entries still return."""
    registry = serving.TargetRegistry()
    registry.replace_all([builders.target("a")], 0.0, interrupted=False)
    registry.replace_all([], 10.0, interrupted=True)
    registry.replace_all([], 10.5, interrupted=False)
    assert _ids(registry) == {"a"}


def test_new_target_at_an_address_replaces_the_old_one() -> None:
    """The entry of a crashed target remains for seconds beside the new one."""
    registry = serving.TargetRegistry()
    registry.upsert(builders.target("a", port=1, started_ms=1))
    changes = registry.upsert(builders.target("b", port=1, started_ms=2))
    assert _ids(registry) == {"b"}
    assert [change.kind for change in changes] == ["removed", "added"]


def test_late_entry_of_an_old_target_removes_nothing() -> None:
    """Entries may arrive in a different order than the targets started."""
    registry = serving.TargetRegistry()
    registry.upsert(builders.target("b", port=1, started_ms=2))
    registry.upsert(builders.target("a", port=1, started_ms=1))
    assert "b" in _ids(registry)


def test_same_id_with_another_start_time_is_a_restart() -> None:
    """A restarted target has lost its previous state."""
    registry = serving.TargetRegistry()
    registry.upsert(builders.target("a", started_ms=1))
    changes = registry.upsert(builders.target("a", started_ms=2))
    assert [change.kind for change in changes] == ["restarted"]


def test_target_that_changes_its_pool_leaves_the_old_pool() -> None:
    """A request must not reach a target of another route."""
    registry = serving.TargetRegistry()
    registry.upsert(builders.target("a"))
    registry.upsert(builders.target("a", pool="other"))
    assert _ids(registry) == set()


def test_restarted_target_replaces_the_old_one() -> None:
    """The store may be unavailable when an engine restarts with a new id."""
    registry = serving.TargetRegistry()
    registry.upsert(builders.target("a", port=1, started_ms=1))
    registry.replace_restarted("a", "b", started_ms=2)
    entry = registry.entry("b")
    assert entry is not None
    assert (entry.address, entry.started_ms) == ("10.0.0.1:1", 2)
    assert _ids(registry) == {"b"}
    assert registry.upsert(builders.target("b", port=1, started_ms=2)) == []


def test_unlisted_successor_is_removed() -> None:
    """A successor that does not exist must be removed by the next listing."""
    registry = serving.TargetRegistry()
    registry.upsert(builders.target("a", started_ms=1))
    registry.replace_restarted("a", "b", started_ms=2)
    registry.replace_all([], 5.0, interrupted=False)
    assert _ids(registry) == set()


def test_target_that_refuses_other_weights_is_kept() -> None:
    """Such a target answers with its own id and is healthy."""
    registry = serving.TargetRegistry()
    registry.upsert(builders.target("a"))
    assert registry.replace_restarted("a", "a", started_ms=2) == []
    assert _ids(registry) == {"a"}


# Guards against hosts that stand still for seconds while thousands of entries
# arrive, since each new one was compared with all others (CONFIG).
def test_work_for_a_new_target_does_not_grow_with_the_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    compared = []

    def counted(entry: serving.TargetEntry) -> str:
        compared.append(entry)
        return f"{entry.host}:{entry.port}"

    monkeypatch.setattr(serving.TargetEntry, "address", property(counted))
    registry = serving.TargetRegistry()
    entries = [
        serving.TargetEntry(
            f"t{number}", "p", f"10.0.0.{number}", 1, "d", "v", 1, False, 0.0, 1
        )
        for number in range(250)
    ]
    registry.replace_all(entries, 0.0, False)
    assert len(compared) <= 10 * len(entries)


def test_target_that_moves_is_found_at_its_new_address_only() -> None:
    registry = serving.TargetRegistry()
    first = serving.TargetEntry(
        "a", "p", "10.0.0.1", 1, "d", "v", 1, False, 0.0, 1
    )
    registry.upsert(first)
    registry.upsert(dataclasses.replace(first, host="10.0.0.2"))
    # A later start at the address that it has left does not replace it.
    other = dataclasses.replace(first, target_id="b", started_ms=9)
    registry.upsert(other)
    assert {row.target_id for row in registry.all_entries()} == {"a", "b"}
    registry.upsert(dataclasses.replace(other, target_id="c", host="10.0.0.2"))
    assert {row.target_id for row in registry.all_entries()} == {"b", "c"}
