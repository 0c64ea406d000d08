"""Tests of the targets that a host uses."""

import serving_builders as builders

from rattanpulley_core import serving


def _ids(roster: serving.TargetRegistry) -> set[str]:
    return {entry.target_id for entry in roster.usable("pool")}


def test_leaving_target_takes_no_new_work() -> None:
    """New work on a leaving target would be cut off."""
    roster = serving.TargetRegistry()
    roster.upsert(builders.target("a"))
    roster.upsert(builders.target("a", leaving=True))
    assert _ids(roster) == set()


def test_entry_missing_from_a_listing_is_gone() -> None:
    """Some targets leave by the removal of their entry alone."""
    roster = serving.TargetRegistry()
    roster.replace_all([builders.target("a")], 0.0, interrupted=False)
    roster.replace_all([], 1.0, interrupted=False)
    assert _ids(roster) == set()


def test_entries_that_lapsed_with_the_store_return_or_expire() -> None:
    """After an outage of the store all targets would be lost for seconds."""
    roster = serving.TargetRegistry()
    both = [builders.target("a"), builders.target("b")]
    roster.replace_all(both, 0.0, interrupted=False)
    roster.replace_all([], 10.0, interrupted=True)
    assert _ids(roster) == {"a", "b"}
    roster.upsert(builders.target("a"))
    roster.expire(12.3)
    assert _ids(roster) == {"a"}


def test_second_listing_does_not_end_the_grace() -> None:
    """A cut watch lists again while entries are still coming back."""
    roster = serving.TargetRegistry()
    roster.replace_all([builders.target("a")], 0.0, interrupted=False)
    roster.replace_all([], 10.0, interrupted=True)
    roster.replace_all([], 10.5, interrupted=False)
    assert _ids(roster) == {"a"}


def test_new_start_at_an_address_replaces_the_earlier_one() -> None:
    """The entry of a crashed target stays for seconds beside the new one."""
    roster = serving.TargetRegistry()
    roster.upsert(builders.target("a", port=1, started_ms=1))
    changes = roster.upsert(builders.target("b", port=1, started_ms=2))
    assert _ids(roster) == {"b"}
    assert [change.kind for change in changes] == ["removed", "added"]


def test_late_entry_of_an_earlier_start_removes_nothing() -> None:
    """Entries may arrive in another order than the starts."""
    roster = serving.TargetRegistry()
    roster.upsert(builders.target("b", port=1, started_ms=2))
    roster.upsert(builders.target("a", port=1, started_ms=1))
    assert "b" in _ids(roster)


def test_same_id_with_another_start_is_a_restart() -> None:
    """A restarted target holds nothing of before."""
    roster = serving.TargetRegistry()
    roster.upsert(builders.target("a", started_ms=1))
    changes = roster.upsert(builders.target("a", started_ms=2))
    assert [change.kind for change in changes] == ["restarted"]


def test_target_that_changes_its_pool_leaves_the_old_one() -> None:
    """A request must not run at a service of another route."""
    roster = serving.TargetRegistry()
    roster.upsert(builders.target("a"))
    roster.upsert(builders.target("a", pool="other"))
    assert _ids(roster) == set()


def test_later_start_takes_the_place_of_an_earlier_one() -> None:
    """The store may be away when an engine returns under a new id."""
    roster = serving.TargetRegistry()
    roster.upsert(builders.target("a", port=1, started_ms=1))
    roster.replace_restarted("a", "b", started_ms=2)
    entry = roster.entry("b")
    assert entry is not None
    assert (entry.address, entry.started_ms) == ("10.0.0.1:1", 2)
    assert _ids(roster) == {"b"}
    assert roster.upsert(builders.target("b", port=1, started_ms=2)) == []


def test_adopted_target_that_the_store_does_not_name_is_gone() -> None:
    """A wrong guess must not outlive the next listing."""
    roster = serving.TargetRegistry()
    roster.upsert(builders.target("a", started_ms=1))
    roster.replace_restarted("a", "b", started_ms=2)
    roster.replace_all([], 5.0, interrupted=False)
    assert _ids(roster) == set()


def test_target_that_refuses_other_weights_stays() -> None:
    """It answers with its own id, and is sound."""
    roster = serving.TargetRegistry()
    roster.upsert(builders.target("a"))
    assert roster.replace_restarted("a", "a", started_ms=2) == []
    assert _ids(roster) == {"a"}
