"""Tests of the exchange of state between hosts."""

import collections
import random

from hypothesis import given
from hypothesis import strategies as st
import pytest
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


def large_fleet(
    domains: int, hosts_per_domain: int
) -> tuple[serving.Fleet, list[serving.HostEntry]]:
    rows = [
        host(f"d{domain}-h{number:03}", f"d{domain}")
        for domain in range(domains)
        for number in range(hosts_per_domain)
    ]
    fleet = serving.Fleet(rows[0].name)
    fleet.replace_all(rows)
    return fleet, rows


@pytest.mark.parametrize(
    ("domains", "hosts_per_domain"),
    [(1, 8), (6, 3), (3, 25), (6, 33), (5, 60), (6, 167)],
)
def test_one_host_reads_the_store_at_every_size(domains, hosts_per_domain):
    # Guards against calls to the store that grow with the failure domains: 18
    # hosts in six domains made ten times the calls of a fleet in one.
    fleet, rows = large_fleet(domains, hosts_per_domain)
    readers = [
        row.name
        for row in rows
        if not serving.PeerSelector(fleet, row).peers(0.0)
    ]
    assert readers == [rows[0].name]


@pytest.mark.parametrize(
    ("domains", "hosts_per_domain"), [(6, 3), (6, 33), (6, 167)]
)
def test_each_host_is_queried_by_one_domain_and_the_leaders(
    domains, hosts_per_domain
):
    # Guards against a single host that answers the queries of all others.
    fleet, rows = large_fleet(domains, hosts_per_domain)
    queries = collections.Counter(
        serving.PeerSelector(fleet, row).peers(0.0)[0].name for row in rows[1:]
    )
    assert max(queries.values()) <= hosts_per_domain - 1 + domains - 1


def test_domain_without_its_leaders_still_shares():
    # Guards against a domain in which every host reads the store after its
    # leader is lost.
    fleet, rows = large_fleet(6, 10)
    lost = {"d2-h000", "d2-h001"}
    readers = []
    for row in rows:
        selector = serving.PeerSelector(fleet, row)
        for name in lost:
            selector.mark_unresponsive(name, 0.0)
        if not selector.peers(1.0) and row.name not in lost:
            readers.append(row.name)
    assert readers == ["d0-h000"]


def test_change_reaches_every_host_before_denials_become_unsafe():
    # Guards against a chain of hosts whose ages add up to more than a denial
    # may be old.
    period_s = 1.8
    leader, member = (
        serving.DOMAIN_LEADER_PERIODS,
        serving.DOMAIN_MEMBER_PERIODS,
    )
    longest_s = period_s * (leader.store + leader.query + member.query)
    assert longest_s < serving.DENIAL_AGE_LIMIT_S - 0.2
    margin_s = 0.1
    assert (
        period_s * (leader.store + leader.query)
        < period_s * member.max_age + margin_s
    )


def test_host_that_the_store_turns_away_queries_any_other():
    # Guards against a leader that nobody but the store can confirm.
    fleet, rows = large_fleet(3, 10)
    selector = serving.PeerSelector(fleet, rows[0])
    assert selector.peers(0.0) == []
    others = selector.other_hosts(0.0, random.Random(1))
    assert len(others) == 2
    assert rows[0] not in others
