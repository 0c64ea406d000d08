"""Tests the exchange of tables with peers."""

import json
import zlib

import pytest

from rattanpulley_core import interfaces
from rattanpulley_core import peers
from rattanpulley_core import tables
from rattanpulleyd._internal.peers import table_exchange

KIND = tables.TableKind.ROUTES


class FakeClock(interfaces.Clock):
    """Clock that the test sets."""

    def __init__(self) -> None:
        self.now_s = 100.0

    def monotonic_s(self) -> float:
        return self.now_s

    def wall_s(self) -> float:
        return self.now_s


class Exchange:
    """A table exchange with recorded events and updates."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        self.config = tables.ConfigState()
        self.events: list[peers.Event] = []
        self.updates: list[tuple] = []
        self.tables = table_exchange.TableExchange(
            clock=self.clock,
            config=self.config,
            update_table=lambda *update: self.updates.append(update),
            feed=self.events.append,
        )


@pytest.fixture
def exchange() -> Exchange:
    return Exchange()


def test_table_of_a_peer_is_passed_on(exchange: Exchange) -> None:
    # Guards against a table that only the object API can deliver.
    content = zlib.compress(json.dumps({"schema": 1}).encode())
    exchange.tables.on_table(peers.TableReceived("routes", 4, content))
    assert exchange.updates == [(KIND, 4, {"schema": 1}, "peer")]


def test_table_of_an_unknown_kind_is_ignored(exchange: Exchange) -> None:
    # Guards against a peer of a later version whose table ends this daemon.
    exchange.tables.on_table(peers.TableReceived("later", 4, b"?"))
    assert exchange.updates == []


@pytest.mark.parametrize(
    "content",
    [
        b"not zlib data",
        zlib.compress(b"not JSON"),
        zlib.compress(b"\xff"),
        zlib.compress(b" " * table_exchange.MAX_TABLE_BYTES + b"{}"),
    ],
)
def test_malformed_table_is_an_error(
    exchange: Exchange, content: bytes
) -> None:
    # Guards against content of a peer that ends the greenlet of its stream or
    # fills the memory.
    with pytest.raises(table_exchange.MalformedTableError):
        exchange.tables.on_table(peers.TableReceived("routes", 4, content))
    assert exchange.updates == []


def test_announced_table_is_requested_after_the_grace_period(
    exchange: Exchange,
) -> None:
    # Guards against requests for each table that the store is about to
    # deliver, and against a table that is never requested.
    fact = peers.Fact(peers.FactKind.TABLE, "routes", 4, b"", None)
    exchange.tables.on_version(fact)
    grace_s = table_exchange.STORE_GRACE_PERIOD_S
    exchange.tables.request_missing(exchange.clock.now_s + 0.9 * grace_s)
    assert exchange.events == []
    exchange.tables.request_missing(exchange.clock.now_s + grace_s)
    assert exchange.events == [peers.TableWanted("routes", 0)]


def test_active_table_is_announced_and_no_longer_requested(
    exchange: Exchange,
) -> None:
    # Guards against repeated requests for a table that is active already.
    fact = peers.Fact(peers.FactKind.TABLE, "routes", 4, b"", None)
    exchange.tables.on_version(fact)
    value = {"schema": 1, "rows": {}}
    exchange.config.update(KIND, 4, value, "store", exchange.clock.now_s)
    exchange.tables.announce(KIND)
    available, published = exchange.events
    assert isinstance(available, peers.TableAvailable)
    assert json.loads(zlib.decompress(available.content)) == value
    assert isinstance(published, peers.FactPublished)
    assert (published.key, published.version) == ("routes", 4)
    exchange.tables.request_missing(exchange.clock.now_s + 60.0)
    assert exchange.events == [available, published]
