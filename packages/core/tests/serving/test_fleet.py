"""Tests of the list of hosts and of the budget that they share."""

from rattanpulley_core import serving


def entries(*names: str) -> list[serving.HostEntry]:
    return [serving.HostEntry(name, "north", "10.0.0.1:1") for name in names]


def test_unlisted_fleet_assumes_default_host_count() -> None:
    # Guards against a host that uses the whole budget before it knows the other
    # hosts.
    fleet = serving.Fleet("a")
    assert (fleet.listed, fleet.has_peers) == (False, False)
    assert fleet.hosts == 10


def test_replace_all_returns_whether_host_count_changed() -> None:
    fleet = serving.Fleet("a")
    assert fleet.replace_all(entries("b", "a", "a"))
    assert [entry.name for entry in fleet.entries] == ["a", "b"]
    assert not fleet.replace_all(entries("a", "c"))
    assert (fleet.hosts, fleet.has_peers) == (2, True)


def test_retry_slack_is_divided_among_hosts() -> None:
    # Guards against exceeding the limit over all hosts in a large fleet.
    budget = serving.PoolRetryBudget(10.0, 0.0, 12.0)
    window = budget.window_of("pool")
    budget.set_host_count(4)
    assert sum(bool(window.try_acquire(0.0)) for _ in range(20)) == 3
    other = budget.window_of("other")
    assert sum(bool(other.try_acquire(0.0)) for _ in range(20)) == 3
