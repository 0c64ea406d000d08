"""Tests of the counters."""

import dataclasses
import pathlib
import random
import re
import socket

from rattanpulley_core import generations
from rattanpulley_core import peers
from rattanpulley_core import resume_token
from rattanpulley_core import suspects
from rattanpulley_core import targets
from rattanpulleyd._internal.peers import tcp_streams
from rattanpulleyd._internal.settings import model
from rattanpulleyd._internal.telemetry import counters

COUNTERS_PAGE = pathlib.Path(__file__).parents[4] / "docs" / "counters.md"


def test_documentation_lists_every_counter() -> None:
    """Guards against undocumented counters."""
    listed = re.findall(
        r"^\| `([a-z_.]+)` \|", COUNTERS_PAGE.read_text(), re.MULTILINE
    )
    table = targets.TargetTable("north")
    rng = random.Random(0)
    core = generations.GenerationCore(
        target_table=table,
        chooser=targets.LeastOutstandingChooser(table, rng),
        signer=resume_token.Signer([b"k" * 16]),
        suspect_table=suspects.SuspectTable(),
        rng=rng,
    )
    names = [counter.value for counter in counters.Counter]
    names += core.status(0.0).counters_by_name
    for part in (peers.PeerCounters, tcp_streams.Counters):
        names += [field.name for field in dataclasses.fields(part)]
    assert listed == names


def test_component_totals_are_sent_as_changes() -> None:
    """Guards against totals that are counted again at each flush."""
    counts = counters.Counters(None)
    for total in (3, 3, 5):
        counts.add_component_totals("part", {"x": total})
        counts.flush()
    assert counts.totals_by_name() == {"part.x": 5}


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
