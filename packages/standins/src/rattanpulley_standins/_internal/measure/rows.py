"""Rows of the capacity table: a formula over measured slopes each."""

from collections.abc import Callable, Mapping
import dataclasses

from rattanpulley_core import claims
from rattanpulley_standins._internal.measure import design_size as size
from rattanpulley_standins._internal.measure import samples

Slopes = Mapping[str, samples.Slope]


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One line of the capacity table.

    Attributes:
        duty: Role or duty that has the cost.
        resource: What is spent, with its unit.
        formula: The formula, for readers.
        compute: The formula over the measured slopes; None when the duty does
            not exist, so that nothing could be measured.
        limit: Share of the limit that the duty may take, in the same unit.
        mechanism: What keeps the cost at this level.
    """

    duty: str
    resource: str
    formula: str
    compute: Callable[[Slopes], float] | None
    limit: float | None
    mechanism: str


def _changes_per_s() -> float:
    return size.CONFIG_CHANGES_PER_DAY / size.SECONDS_PER_DAY


TICKS_PER_S = 20
# 13 % of the generations run for minutes; 5 min at 30 ms a token.
LONG_STREAM_TOKENS = 10_000
JOURNAL_BYTES_PER_TOKEN = 12

# The process runs all duties, so it is left out of their sums.
WHOLE_DAEMON = "whole daemon without requests"

ROWS: tuple[Row, ...] = (
    Row(
        "streams (data path)",
        "processor of the core part, us/s",
        "streams.token_us at 77 streams x 2,316 tokens/s",
        lambda slopes: (
            slopes["streams.token_us"].at(size.STREAMS_PER_NODE)
            * size.TOKENS_PER_NODE_S
        ),
        None,
        "no wait for a tick; one event for all tokens of a read",
    ),
    Row(
        "streams (control)",
        "processor of the ticks, us/s",
        "streams.tick_us at 77 streams x 20 ticks/s",
        lambda slopes: (
            slopes["streams.tick_us"].at(size.STREAMS_PER_NODE) * TICKS_PER_S
        ),
        size.CPU_LIMIT_US_PER_S,
        "systems look only at rows that are due",
    ),
    Row(
        "streams (control)",
        "processor of target choice, us/s",
        "targets.choice_us at 600 targets x 7.6 requests/s",
        lambda slopes: (
            slopes["targets.choice_us"].at(size.TARGETS)
            * size.REQUESTS_PER_NODE_S
        ),
        size.CPU_LIMIT_US_PER_S,
        "one pass over the pool's targets a request",
    ),
    Row(
        "streams (data path)",
        "memory, bytes",
        "streams.memory_bytes at 77 + 13 % of 77 x 10,000 tokens x 12",
        lambda slopes: (
            slopes["streams.memory_bytes"].at(size.STREAMS_PER_NODE)
            + 0.13
            * size.STREAMS_PER_NODE
            * LONG_STREAM_TOKENS
            * JOURNAL_BYTES_PER_TOKEN
        ),
        None,
        "journal as bytes and offsets",
    ),
    Row(
        "claims, one object a key",
        "unrepeatable actions/s that the platform carries",
        "300 writes/s / slope of claims.store_writes",
        lambda slopes: (
            size.PLATFORM_WRITES_PER_S / slopes["claims.store_writes"].slope
        ),
        None,
        "claim and outcome are one write each",
    ),
    Row(
        "claims, one object a key",
        "unrepeatable actions/s that the platform carries, deletes included",
        "300 writes/s / slope of claims.writes_with_delete",
        lambda slopes: (
            size.PLATFORM_WRITES_PER_S
            / slopes["claims.writes_with_delete"].slope
        ),
        None,
        "one conditional delete an action, in a budget of 100/s for the fleet",
    ),
    Row(
        "claims, retention",
        "platform deletes/s of the fleet, at most",
        "100 writes/s x (slope of claims.writes_with_delete - slope of "
        "claims.store_writes)",
        lambda slopes: (
            claims.FLEET_DELETES_PER_S
            * (
                slopes["claims.writes_with_delete"].slope
                - slopes["claims.store_writes"].slope
            )
        ),
        size.PLATFORM_WRITES_PER_S,
        "a token bucket at each daemon, sized by the number of live daemons",
    ),
    Row(
        "claims, retention",
        "memory, bytes",
        "claims.own_memory_bytes at 50,000 remembered records",
        lambda slopes: slopes["claims.own_memory_bytes"].at(
            claims.OWN_RECORD_LIMIT
        ),
        size.MEMORY_LIMIT_BYTES,
        "a full memory takes no further record",
    ),
    Row(
        "claims, retention",
        "loop gap, ms, of one listing",
        "claims.listing_parse_us at 3,000 records",
        lambda slopes: (
            slopes["claims.listing_parse_us"].at(claims.LISTING_LIMIT_RECORDS)
            / 1_000
        ),
        30.0,
        "one listing an hour of the whole fleet; larger ones are rarer",
    ),
    Row(
        "claims, one object a key",
        "stored bytes of an action",
        "slope of claims.stored_bytes",
        lambda slopes: slopes["claims.stored_bytes"].slope,
        None,
        "the outcome is bounded at 256 KB",
    ),
    Row(
        WHOLE_DAEMON,
        "processor, us/s, of the process",
        "largest daemon.idle_cpu_us_per_s",
        lambda slopes: max(
            p.cost for p in slopes["daemon.idle_cpu_us_per_s"].samples
        ),
        size.CPU_LIMIT_US_PER_S,
        "ticks of 50 ms; the systems look at rows that are due",
    ),
    Row(
        WHOLE_DAEMON,
        "memory, bytes, of the process",
        "largest daemon.idle_memory_bytes",
        lambda slopes: max(
            p.cost for p in slopes["daemon.idle_memory_bytes"].samples
        ),
        size.MEMORY_LIMIT_BYTES,
        "no state but tables, facts and journals",
    ),
    Row(
        "membership",
        "network, bytes/s",
        "peers.sent_bytes_per_s at 380 daemons",
        lambda slopes: slopes["peers.sent_bytes_per_s"].at(size.NODES),
        size.NETWORK_LIMIT_BYTES_PER_S,
        "four opened streams a daemon, reconciliation by digest",
    ),
    Row(
        "membership",
        "processor, us/s",
        "peers.cpu_us_per_s at 380 daemons",
        lambda slopes: slopes["peers.cpu_us_per_s"].at(size.NODES),
        size.CPU_LIMIT_US_PER_S,
        "neighbours computed only when a member changes",
    ),
    Row(
        "membership",
        "network, bytes/s, restarts",
        "largest peers.restart_bytes x 380 a day",
        lambda slopes: (
            max(point.cost for point in slopes["peers.restart_bytes"].samples)
            * size.RESTARTS_PER_DAY
            / size.SECONDS_PER_DAY
        ),
        size.NETWORK_LIMIT_BYTES_PER_S,
        "only buckets of facts that differ are sent",
    ),
    Row(
        "membership",
        "memory, bytes",
        "peers.fact_memory_bytes at 2,000 facts",
        lambda slopes: slopes["peers.fact_memory_bytes"].at(2_000),
        size.MEMORY_LIMIT_BYTES,
        "facts expire, except verdicts and tables",
    ),
    Row(
        "version moves, while one is under way",
        "network, bytes/s",
        "moves.batch_bytes at 12 x 1 batch/s x largest peers.evidence_copies",
        lambda slopes: (
            slopes["moves.batch_bytes"].at(12)
            * max(p.cost for p in slopes["peers.evidence_copies"].samples)
        ),
        size.NETWORK_LIMIT_BYTES_PER_S,
        "one batch a second over the whole fleet, at any size",
    ),
    Row(
        "configuration watch",
        "network, bytes/s",
        "(tables.pools_bytes at 600 targets) x 1,400 a day",
        lambda slopes: (
            slopes["tables.pools_bytes"].at(size.TARGETS) * _changes_per_s()
        ),
        size.NETWORK_LIMIT_BYTES_PER_S,
        "each daemon reads a changed table once",
    ),
    Row(
        "configuration watch",
        "processor, us/s",
        "(tables.pools_offer_us at 600 + tables.routes_offer_us at 25,000) "
        "x 1,400 a day",
        lambda slopes: (
            (
                slopes["tables.pools_offer_us"].at(size.TARGETS)
                + slopes["tables.routes_offer_us"].at(size.ACCOUNTS)
            )
            * _changes_per_s()
        ),
        size.CPU_LIMIT_US_PER_S,
        "a table is parsed only when its version is greater",
    ),
    Row(
        "configuration watch",
        "loop gap, ms, of one routes change",
        "tables.routes_offer_us at 25,000",
        lambda slopes: (
            slopes["tables.routes_offer_us"].at(size.ACCOUNTS) / 1_000
        ),
        30.0,
        "default limits; only exceptions have rows",
    ),
    Row(
        "host list",
        "network, bytes/s",
        "hosts.unchanged / 2 s + hosts.whole at 600 targets x 2 x 387 a day",
        lambda slopes: (
            slopes["hosts.unchanged"].at(size.TARGETS) / size.HOST_POLL_S
            + slopes["hosts.whole"].at(size.TARGETS)
            * 2
            * (size.RESTARTS_PER_DAY + size.HOST_FAILURES_PER_DAY)
            / size.SECONDS_PER_DAY
        ),
        size.NETWORK_LIMIT_BYTES_PER_S,
        "entity tags; the rows are sent only after a change",
    ),
    Row(
        "platform",
        "host list calls/s",
        "380 daemons / 2 s",
        lambda slopes: size.NODES / size.HOST_POLL_S,
        size.PLATFORM_READS_PER_S,
        "random delays of 20 %",
    ),
    Row(
        "platform",
        "watch calls/s",
        "380 daemons / 8 s",
        lambda slopes: size.NODES / size.WATCH_S,
        size.PLATFORM_READS_PER_S,
        "long polls; a waiting watch counts as one call",
    ),
    Row(
        "platform",
        "configuration writes/s",
        "1,400 a day x 2 (table and audit copy)",
        lambda slopes: 2 * _changes_per_s(),
        size.PLATFORM_WRITES_PER_S,
        "the audit entry travels in the table's own write",
    ),
    Row(
        "leases and orders",
        "platform writes/s",
        "not measured",
        None,
        size.PLATFORM_WRITES_PER_S,
        "not built",
    ),
    Row(
        "account limits",
        "network, bytes/s",
        "none",
        lambda slopes: 0.0,
        size.NETWORK_LIMIT_BYTES_PER_S,
        "shares follow from the number of daemons alive",
    ),
)
