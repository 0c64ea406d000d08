"""Cost of membership and of facts, by the number of daemons."""

import tracemalloc

from rattanpulley_core import peers
from rattanpulley_standins import peer_fleet
from rattanpulley_standins._internal.measure import samples

PEER_COUNTS = (8, 32, 96)
FAILURE_DOMAINS = 11
WARM_UP_S = 25.0
STEADY_S = 60.0
FACT_COUNTS = (500, 1_000, 2_000)
COMMAND = "make measure"
US_PER_S = 1e6


def measure() -> list[samples.Slope]:
    """Returns the slopes of the peer component."""
    steady = [_steady_costs(count) for count in PEER_COUNTS]
    memory = [_fact_memory_bytes(count) for count in FACT_COUNTS]
    evidence = [_evidence_copies(count) for count in PEER_COUNTS]
    return [
        samples.fit(
            "peers.sent_bytes_per_s",
            "daemons",
            "bytes/s at each daemon",
            COMMAND,
            [row[0] for row in steady],
        ),
        samples.fit(
            "peers.cpu_us_per_s",
            "daemons",
            "us of processor time per s at each daemon",
            COMMAND,
            [row[1] for row in steady],
        ),
        samples.fit(
            "peers.restart_bytes",
            "daemons",
            "bytes sent by all daemons for one restart, per daemon",
            COMMAND,
            [row[2] for row in steady],
        ),
        samples.fit(
            "peers.evidence_copies",
            "daemons",
            "messages sent at each daemon for one fact of evidence",
            COMMAND,
            evidence,
        ),
        samples.fit(
            "peers.fact_memory_bytes",
            "facts",
            "bytes",
            COMMAND,
            memory,
        ),
    ]


def _start_fleet(count: int) -> peer_fleet.Fleet:
    fleet = peer_fleet.Fleet()
    for index in range(count):
        domain = f"domain{index % FAILURE_DOMAINS}"
        member = peer_fleet.make_member(f"d{index}", domain)
        fleet.add(member, seeds=("d0:1", "d1:1"))
    fleet.run(WARM_UP_S)
    return fleet


def _steady_costs(
    count: int,
) -> tuple[samples.Sample, samples.Sample, samples.Sample]:
    """Returns the sent bytes/s, the processor time and a restart's bytes."""
    fleet = _start_fleet(count)
    bytes_before, cpu_before = fleet.sent_bytes, fleet.cpu_s
    fleet.run(STEADY_S)
    steady_bytes = fleet.sent_bytes - bytes_before
    per_daemon_s = count * STEADY_S
    cpu_us = (fleet.cpu_s - cpu_before) * US_PER_S
    bytes_before = fleet.sent_bytes
    fleet.kill("d3")
    fleet.add(
        peer_fleet.make_member("d3", "domain3", incarnation=2),
        seeds=("d0:1", "d1:1"),
    )
    fleet.run(STEADY_S)
    restart_bytes = fleet.sent_bytes - bytes_before - steady_bytes
    return (
        samples.Sample(count, steady_bytes / per_daemon_s),
        samples.Sample(count, cpu_us / per_daemon_s),
        samples.Sample(count, restart_bytes / count),
    )


def _evidence_copies(count: int) -> samples.Sample:
    """Returns how many messages with one evidence fact a daemon sends."""
    fleet = _start_fleet(count)
    before = fleet.sent_messages["Facts"]
    event = peers.FactPublished(
        peers.FactKind.EVIDENCE, "d0/boot/1", 1, b"evidence", 60.0
    )
    fleet.post("d0", event)
    fleet.run(5.0)
    copies = fleet.sent_messages["Facts"] - before
    return samples.Sample(count, copies / count)


def _fact_memory_bytes(count: int) -> samples.Sample:
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    table = peers.FactTable()
    for index in range(count):
        key = f"assistant/entry-{index:05}"
        value = f'["domain-{index % 11}", "127.0.0.1:{index}"]'.encode()
        fact = peers.Fact(peers.FactKind.MEMBER, key, index, value, None)
        table.merge(fact)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return samples.Sample(count, float(after - before))
