"""Tests of the exchange of state between hosts."""

from hypothesis import given
from hypothesis import strategies as st
import serving_builders

from rattanpulley_core import serving


def changes(
    position: int, changed: tuple[str, ...] = (), removed: tuple[str, ...] = ()
) -> serving.TargetChanges:
    rows = tuple(serving_builders.target(name) for name in changed)
    return serving.TargetChanges(rows, removed, position)


def apply_changes(
    registry: serving.TargetRegistry, update: serving.TargetChanges
):
    for target_id in update.removed_ids:
        registry.remove(target_id)
    for entry in update.changed:
        registry.upsert(entry)
    return {entry.target_id for entry in registry.all_entries()}


@given(
    st.lists(st.tuples(st.booleans(), st.sampled_from("abcd")), max_size=30),
    st.integers(0, 30),
)
def test_follower_reaches_the_state_of_the_leader(
    steps: list[tuple[bool, str]], queried_at: int
) -> None:
    # Guards against removed targets that stay in use, and against missing
    # targets, on hosts that do not read the store.
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
        expected_ids = apply_changes(leader, update)
        log.append(update)
        if number == queried_at:
            report = log.since(position)
            assert report is not None
            assert apply_changes(follower, report) == expected_ids
            position = report.position
    report = log.since(position)
    assert report is not None
    assert apply_changes(follower, report) == {
        entry.target_id for entry in leader.all_entries()
    }


def test_host_with_newer_state_gets_no_changes() -> None:
    # Guards against a host that reverts to the older state of another one.
    log = serving.ChangeLog()
    log.restart(5)
    assert log.since(6) is None
    assert log.since(4) is None
    assert log.since(5) == changes(5)


def test_position_before_the_kept_changes_is_unknown() -> None:
    log = serving.ChangeLog()
    log.restart(0)
    for position in range(1, 500):
        log.append(changes(position, changed=("a",)))
    assert log.since(0) is None
    assert log.since(300) is not None


def host(name: str, domain: str = "north") -> serving.HostEntry:
    return serving.HostEntry(name, domain, f"10.0.0.1:{len(name)}")


def make_selector(own: serving.HostEntry, *entries: serving.HostEntry):
    fleet = serving.Fleet(own.name)
    fleet.replace_all(entries)
    return serving.PeerSelector(fleet, own)


def peer_names(selector: serving.PeerSelector, now_s: float = 0.0) -> list[str]:
    return [entry.name for entry in selector.peers(now_s)]


def test_hosts_query_the_first_preceding_hosts() -> None:
    # Guards against a cycle of queries in which no host reads the store.
    rows = [host(name) for name in "abcd"]
    assert peer_names(make_selector(rows[0], *rows)) == []
    assert peer_names(make_selector(rows[1], *rows)) == ["a"]
    assert peer_names(make_selector(rows[3], *rows)) == ["a", "b"]


def test_hosts_of_large_fleets_query_their_own_domain() -> None:
    # Guards against querying an unreachable domain during a partition.
    rows = [
        host(f"h{number:02}", "north" if number % 2 else "south")
        for number in range(40)
    ]
    assert peer_names(make_selector(rows[39], *rows)) == ["h01", "h03"]


def test_unresponsive_hosts_are_skipped_temporarily() -> None:
    # Guards against every host reading the store when the first two hosts are
    # lost.
    rows = [host(name) for name in "abcde"]
    selector = make_selector(rows[4], *rows)
    selector.mark_unresponsive("a", 10.0)
    selector.mark_unresponsive("b", 10.0)
    assert peer_names(selector, 11.0) == ["c", "d"]
    assert peer_names(selector, 13.5) == ["a", "b"]


def test_host_without_an_address_is_not_queried() -> None:
    rows = [serving.HostEntry("a", "north", ""), host("b")]
    assert peer_names(make_selector(rows[1], *rows)) == []
