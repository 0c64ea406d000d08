"""Tests of what hosts tell each other."""

from hypothesis import given
from hypothesis import strategies as st
import serving_builders

from rattanpulley_core import serving


def changes(
    position: int, changed: tuple[str, ...] = (), removed: tuple[str, ...] = ()
) -> serving.TargetChanges:
    rows = tuple(serving_builders.target(name) for name in changed)
    return serving.TargetChanges(rows, removed, position)


def applied(roster: serving.TargetRegistry, update: serving.TargetChanges):
    for target_id in update.removed_ids:
        roster.remove(target_id)
    for entry in update.changed:
        roster.upsert(entry)
    return {entry.target_id for entry in roster.all_entries()}


@given(
    st.lists(st.tuples(st.booleans(), st.sampled_from("abcd")), max_size=30),
    st.integers(0, 30),
)
def test_host_that_asks_learns_what_the_other_one_knows(
    steps: list[tuple[bool, str]], asked_at: int
) -> None:
    # Guards against targets that stay in use, or are missed, at hosts that do
    # not ask the store.
    log = serving.ChangeLog()
    log.restart(0)
    leader, follower = serving.TargetRegistry(), serving.TargetRegistry()
    position = 0
    for number, (is_added, name) in enumerate(steps, 1):
        update = (
            changes(number, changed=(name,))
            if is_added
            else changes(number, removed=(name,))
        )
        known = applied(leader, update)
        log.append(update)
        if number == asked_at:
            told = log.since(position)
            assert told is not None
            assert applied(follower, told) == known
            position = told.position
    told = log.since(position)
    assert told is not None
    assert applied(follower, told) == {
        entry.target_id for entry in leader.all_entries()
    }


def test_host_with_later_knowledge_is_told_nothing() -> None:
    # Guards against a host that goes back to what another one still believes.
    log = serving.ChangeLog()
    log.restart(5)
    assert log.since(6) is None
    assert log.since(4) is None
    assert log.since(5) == changes(5)


def test_position_before_the_kept_changes_needs_a_listing() -> None:
    log = serving.ChangeLog()
    log.restart(0)
    for position in range(1, 500):
        log.append(changes(position, changed=("a",)))
    assert log.since(0) is None
    assert log.since(300) is not None


def host(name: str, domain: str = "north") -> serving.HostEntry:
    return serving.HostEntry(name, domain, f"10.0.0.1:{len(name)}")


def order_of(own: serving.HostEntry, *entries: serving.HostEntry):
    fleet = serving.Fleet(own.name)
    fleet.replace_all(entries)
    return serving.PeerSelector(fleet, own)


def names(order: serving.PeerSelector, now_s: float = 0.0) -> list[str]:
    return [entry.name for entry in order.peers(now_s)]


def test_hosts_ask_the_first_ones_before_them() -> None:
    # Guards against a circle in which nobody asks the store.
    rows = [host(name) for name in "abcd"]
    assert names(order_of(rows[0], *rows)) == []
    assert names(order_of(rows[1], *rows)) == ["a"]
    assert names(order_of(rows[3], *rows)) == ["a", "b"]


def test_large_fleets_ask_in_their_own_domain() -> None:
    # Guards against domains that lose each other.
    rows = [
        host(f"h{number:02}", "north" if number % 2 else "south")
        for number in range(40)
    ]
    assert names(order_of(rows[39], *rows)) == ["h01", "h03"]


def test_silent_hosts_are_passed_over_for_a_while() -> None:
    # Guards against every host asking the store once the first two are lost.
    rows = [host(name) for name in "abcde"]
    order = order_of(rows[4], *rows)
    order.mark_unresponsive("a", 10.0)
    order.mark_unresponsive("b", 10.0)
    assert names(order, 11.0) == ["c", "d"]
    assert names(order, 13.5) == ["a", "b"]


def test_host_without_an_address_is_not_asked() -> None:
    rows = [serving.HostEntry("a", "north", ""), host("b")]
    assert names(order_of(rows[1], *rows)) == []
