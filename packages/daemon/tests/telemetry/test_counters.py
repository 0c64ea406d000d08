"""Tests of the counters."""

import pathlib
import re
import socket

from rattanpulleyd._internal.settings import model
from rattanpulleyd._internal.telemetry import counters

PAGE = pathlib.Path(__file__).parents[4] / "docs" / "counters.md"


def test_page_lists_every_counter() -> None:
    """Guards against counters that operators do not know of."""
    listed = re.findall(r"^\| `([a-z_.]+)` \|", PAGE.read_text(), re.MULTILINE)
    assert listed == [counter.value for counter in counters.Counter]


def test_flush_sends_changes_once() -> None:
    """Guards against counts that are lost or sent twice."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        server.settimeout(5)
        port = server.getsockname()[1]
        counts = counters.Counters(model.Address("127.0.0.1", port))
        counts.count(counters.Counter.REQUESTS)
        counts.count(counters.Counter.REQUESTS)
        counts.flush()
        first = server.recv(2000)
        counts.count(counters.Counter.REQUESTS)
        counts.gauge(counters.Counter.GENERATIONS_ACTIVE, 3)
        counts.flush()
        second = server.recv(2000)
    assert first == b"rattanpulleyd.requests:2|c"
    assert second.splitlines() == [
        b"rattanpulleyd.requests:1|c",
        b"rattanpulleyd.generations.active:3|g",
    ]
    assert counts.totals_by_name() == {"generations.active": 3, "requests": 3}
