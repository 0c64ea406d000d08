"""Tests of registering a host and listing the others."""

import types

import gevent
import pytest
import relay_builders

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay.refresh import fleet_refresh

OWN = serving.HostEntry("h07", "north", "10.0.0.7:1")


class EndOfTestError(Exception):
    """Ends `run_forever`."""


class Directory:
    """A registry whose listings lack the newest entries.

    Attributes:
        listings: The listings in order; the last one is repeated.
        calls: Names of the calls so far.
    """

    def __init__(
        self, *listings: tuple[serving.HostEntry, ...], max_lists: int = 3
    ) -> None:
        self.listings = list(listings)
        self.calls: list[str] = []
        self._max_lists = max_lists

    def announce_host(self, entry: serving.HostEntry, timeout_s: float) -> None:
        self.calls.append("announce")

    def list_hosts(self, timeout_s: float) -> tuple[serving.HostEntry, ...]:
        if self.calls.count("list") == self._max_lists:
            raise EndOfTestError
        self.calls.append("list")
        if len(self.listings) > 1:
            return self.listings.pop(0)
        return self.listings[0]


@pytest.fixture
def context(monkeypatch):
    """Shared state of the host, with a clock that advances during sleeps."""
    now = [100.0]

    def sleep(seconds: float) -> None:
        now[0] += seconds

    monkeypatch.setattr(clock, "now_s", lambda: now[0])
    monkeypatch.setattr(gevent, "sleep", sleep)
    built = relay_builders.make_context(OWN.name)
    built.retry_budget = types.SimpleNamespace(hosts=[])
    built.retry_budget.set_host_count = built.retry_budget.hosts.append
    return built


def hosts(count: int) -> tuple[serving.HostEntry, ...]:
    return tuple(
        serving.HostEntry(f"h{number:02}", "north", f"10.0.0.{number}:1")
        for number in range(count)
    )


def run(context, directory: Directory) -> list[str]:
    refresh = fleet_refresh.FleetRefresh(context, directory, OWN)
    with pytest.raises(EndOfTestError):
        refresh.run_forever()
    return directory.calls


def test_restarted_host_makes_one_cheap_call_for_each_listing(context):
    # Guards against ten calls of each of 195 hosts that return at once.
    directory = Directory(hosts(40))
    assert run(context, directory) == ["list"] * 3
    assert context.fleet.has_peers


def test_new_host_registers_once_while_listings_are_old(context):
    # Guards against repeated writes, since a listing may be seconds old.
    directory = Directory((), hosts(5), max_lists=3)
    calls = run(context, directory)
    assert calls.count("announce") == 1


def test_entry_that_was_removed_is_written_again(context):
    # Guards against a host that nobody counts: its stop removed the entry while
    # an old listing still showed it.
    others = tuple(entry for entry in hosts(40) if entry != OWN)
    directory = Directory(hosts(40), others)
    assert "announce" in run(context, directory)


def test_short_old_listing_gives_no_larger_share_of_budgets(context):
    # Guards against a common budget that is exceeded because each host divides
    # it by the few hosts of an old listing.
    directory = Directory(hosts(3), hosts(40), max_lists=2)
    run(context, directory)
    assert context.retry_budget.hosts == [40]


def test_long_old_listing_tells_whom_to_ask(context):
    # Guards against hosts that all read the store until they are listed.
    others = tuple(entry for entry in hosts(40) if entry != OWN)
    directory = Directory(others, max_lists=1)
    run(context, directory)
    assert context.fleet.has_peers
    assert context.retry_budget.hosts == [40]
