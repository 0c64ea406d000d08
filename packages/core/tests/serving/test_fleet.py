"""Tests of the list of hosts and of what is divided among them."""

from rattanpulley_core import serving


def entries(*names: str) -> list[serving.HostEntry]:
    return [serving.HostEntry(name, "north", "10.0.0.1:1") for name in names]


def test_fleet_that_was_not_listed_assumes_some_hosts() -> None:
    # Guards against a host that takes a whole budget before it knows others.
    fleet = serving.Fleet("a")
    assert (fleet.listed, fleet.has_peers) == (False, False)
    assert fleet.hosts == 10


def test_listing_tells_whether_the_number_changed() -> None:
    fleet = serving.Fleet("a")
    assert fleet.replace_all(entries("b", "a", "a"))
    assert [entry.name for entry in fleet.entries] == ["a", "b"]
    assert not fleet.replace_all(entries("a", "c"))
    assert (fleet.hosts, fleet.has_peers) == (2, True)


def test_slack_of_resends_is_divided_again() -> None:
    # Guards the bound over all hosts when the fleet is large.
    budget = serving.PoolRetryBudget(10.0, 0.0, 12.0)
    window = budget.window_of("pool")
    budget.set_host_count(4)
    assert sum(window.try_acquire(0.0) for _ in range(20)) == 3
    assert (
        sum(budget.window_of("other").try_acquire(0.0) for _ in range(20)) == 3
    )
