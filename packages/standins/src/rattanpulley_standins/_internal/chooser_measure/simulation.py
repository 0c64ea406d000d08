"""Compares choosers in one seeded simulation.

Eight daemons choose for themselves among 24 engines in four failure domains.
Requests share prefixes; one engine is slow for a while, one refuses, and one is
lost and comes back with a cold cache.
"""

import collections
from collections.abc import Callable
import hashlib
import heapq
import itertools
import random
from typing import Any

from rattanpulley_core import tables
from rattanpulley_core import targets

DURATION_S = 240.0
REQUESTS_PER_S = 60.0
DAEMONS = 8
ENGINES = 24
DOMAINS = 4
GROUPS = 60
PREFIX_TOKENS = 2000
OWN_TOKENS = 200
CACHED_GROUPS = 12
MAX_RUNNING = 64
REPORT_INTERVAL_S = 2.0
SLOW = ("e3", 60.0, 120.0, 5.0)
REFUSING = ("e7", 100.0, 160.0)
LOST = ("e11", 150.0, 170.0)


# Target's row, group, length of the answer, times of arrival and sending.
_Waiting = tuple[targets.Target, int, int, float, float]


class RoundRobinChooser(targets.TargetChooser):
    """Baseline: each target in turn."""

    def __init__(self, table: targets.TargetTable, rng: random.Random) -> None:
        self._table = table
        self._start = rng.randrange(ENGINES)

    def choose(self, query: targets.TargetQuery, now_s: float) -> str | None:
        """Returns the next eligible target."""
        found = targets.eligible_targets(self._table, query)
        if not found:
            return None
        self._start += 1
        return found[self._start % len(found)].name


class HashingChooser(targets.TargetChooser):
    """Baseline: rendezvous hashing on the prefix without regard to load."""

    def __init__(self, table: targets.TargetTable, rng: random.Random) -> None:
        self._table = table

    def choose(self, query: targets.TargetQuery, now_s: float) -> str | None:
        """Returns the eligible target with the largest weight."""
        found = targets.eligible_targets(self._table, query)
        if not found:
            return None
        key = str(query.prefix_block_hashes[-1])
        return max(found, key=lambda target: self._weight(key, target)).name

    def _weight(self, key: str, target: targets.Target) -> bytes:
        return hashlib.blake2b((key + target.name).encode()).digest()


class SimulatedEngine:
    """Serial prefills with a prefix cache, and streams that share steps."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.cache: collections.OrderedDict[int, bool] = (
            collections.OrderedDict()
        )
        self.free_at_s = 0.0
        self.running = 0
        self.waiting: collections.deque[_Waiting] = collections.deque()
        self.uncached_tokens = 0

    def is_refusing(self, now_s: float) -> bool:
        """Returns whether it refuses every request."""
        return self.name == REFUSING[0] and REFUSING[1] <= now_s < REFUSING[2]

    def slowness(self, now_s: float) -> float:
        """Returns the factor of its times."""
        is_slow = self.name == SLOW[0] and SLOW[1] <= now_s < SLOW[2]
        return SLOW[3] if is_slow else 1.0

    def prefill(self, group: int, now_s: float) -> float:
        """Returns the time of the first token."""
        tokens = OWN_TOKENS
        if group not in self.cache:
            tokens += PREFIX_TOKENS
        self.cache[group] = True
        self.cache.move_to_end(group)
        if len(self.cache) > CACHED_GROUPS:
            self.cache.popitem(last=False)
        self.uncached_tokens += tokens
        cost_s = (0.005 + 0.00005 * tokens) * self.slowness(now_s)
        self.free_at_s = max(now_s, self.free_at_s) + cost_s
        return self.free_at_s

    def interval_s(self, now_s: float) -> float:
        """Returns the time between tokens, which grows with the batch."""
        groups = 1.0 + max(0, self.running - 32) / 32
        return 0.03 * groups * self.slowness(now_s)


class Simulation:
    """One run with one kind of chooser."""

    def __init__(self, chooser_class: Any, seed: int) -> None:
        self.rng = random.Random(seed)
        self.engines = {
            f"e{i}": SimulatedEngine(f"e{i}") for i in range(ENGINES)
        }
        self.tables = [self._new_table(i % DOMAINS) for i in range(DAEMONS)]
        self.choosers: list[targets.TargetChooser] = [
            chooser_class(table, random.Random(number))
            for number, table in enumerate(self.tables)
        ]
        self.heap: list[
            tuple[float, int, Callable[..., None], tuple[Any, ...]]
        ] = []
        self.sequence = itertools.count()
        self.first_token_s: list[float] = []
        self.refusals = 0
        self.without_target = 0
        self.sent = 0
        self.foreign = 0
        self.max_running = 0

    def _new_table(self, domain: int) -> targets.TargetTable:
        specs = {
            name: tables.TargetSpec(name, "", f"z{i % DOMAINS}", "v1")
            for i, name in enumerate(self.engines)
        }
        versions = {"v1": tables.VersionSpec("v1")}
        kind = tables.TargetKind.ENGINE
        pool = tables.Pool("pool", kind, versions, specs)
        table = targets.TargetTable(f"z{domain}")
        table.apply_pools(tables.PoolTable(1, {"pool": pool}), 0.0)
        return table

    def _at(
        self, time_s: float, action: Callable[..., None], *arguments: Any
    ) -> None:
        entry = (time_s, next(self.sequence), action, arguments)
        heapq.heappush(self.heap, entry)

    def run(self) -> None:
        """Runs to the end of the simulated time."""
        self._at(0.0, self._arrive)
        self._at(REPORT_INTERVAL_S, self._report)
        self._at(LOST[1], self._lose)
        self._at(LOST[2], self._restore)
        while self.heap and self.heap[0][0] < DURATION_S:
            now_s, _, action, arguments = heapq.heappop(self.heap)
            action(now_s, *arguments)

    def _arrive(self, now_s: float) -> None:
        self._at(now_s + self.rng.expovariate(REQUESTS_PER_S), self._arrive)
        group = min(GROUPS - 1, int(self.rng.paretovariate(0.7)) - 1)
        is_long = self.rng.random() < 0.13
        length = 2000 + self.rng.randrange(2000) if is_long else 100
        daemon = self.rng.randrange(DAEMONS)
        self._dispatch(now_s, daemon, group, length, now_s, frozenset())

    def _dispatch(
        self,
        now_s: float,
        daemon: int,
        group: int,
        length: int,
        arrived_s: float,
        excluded: frozenset[str],
    ) -> None:
        name = self.choosers[daemon].choose(_query(group, excluded), now_s)
        row = self.tables[daemon].get(name) if name else None
        if row is None:
            self.without_target += 1
            return
        engine = self.engines[row.name]
        if engine.is_refusing(now_s):
            self.refusals += 1
            row.consecutive_failures += 1
            row.load.record_refusal()
            self._dispatch(
                now_s, daemon, group, length, arrived_s, excluded | {row.name}
            )
            return
        self.foreign += row.failure_domain != f"z{daemon % DOMAINS}"
        self.sent += 1
        row.in_flight += 1
        row.awaiting_first_token += 1
        engine.waiting.append((row, group, length, arrived_s, now_s))
        self._admit(now_s, engine)

    def _admit(self, now_s: float, engine: SimulatedEngine) -> None:
        while engine.waiting and engine.running < MAX_RUNNING:
            row, group, length, arrived_s, sent_s = engine.waiting.popleft()
            engine.running += 1
            self.max_running = max(self.max_running, engine.running)
            token_s = engine.prefill(group, now_s)
            self._at(
                token_s, self._stream, engine, row, length, arrived_s, sent_s
            )

    def _stream(
        self,
        now_s: float,
        engine: SimulatedEngine,
        row: targets.Target,
        length: int,
        arrived_s: float,
        sent_s: float,
    ) -> None:
        self.first_token_s.append(now_s - arrived_s)
        row.awaiting_first_token -= 1
        row.consecutive_failures = 0
        row.record_first_token(now_s - sent_s)
        end_s = now_s + length * engine.interval_s(now_s)
        self._at(end_s, self._finish, engine, row)

    def _finish(
        self, now_s: float, engine: SimulatedEngine, row: targets.Target
    ) -> None:
        engine.running -= 1
        row.in_flight -= 1
        self._admit(now_s, engine)

    def _report(self, now_s: float) -> None:
        self._at(now_s + REPORT_INTERVAL_S, self._report)
        for table, engine in itertools.product(
            self.tables, self.engines.values()
        ):
            report = targets.LoadReport(
                engine.running, len(engine.waiting), 0.0
            )
            table.apply_load(engine.name, report, now_s)

    def _lose(self, now_s: float) -> None:
        self.engines[LOST[0]].cache.clear()
        for table in self.tables:
            table.targets_by_name[LOST[0]].mark_lost()

    def _restore(self, now_s: float) -> None:
        for table in self.tables:
            table.targets_by_name[LOST[0]].mark_alive(now_s)

    def result(self, name: str) -> dict[str, Any]:
        """Returns the figures of the run."""
        times = sorted(self.first_token_s)
        uncached = sum(e.uncached_tokens for e in self.engines.values())
        return {
            "chooser": name,
            "requests": len(times),
            "first_token_ms": {
                f"p{share}": round(times[len(times) * share // 100] * 1e3, 1)
                for share in (50, 95, 99)
            },
            "uncached_tokens_per_request": round(uncached / len(times)),
            "refusals": self.refusals,
            "without_target": self.without_target,
            "other_domain_share": round(self.foreign / self.sent, 3),
            "max_running": self.max_running,
        }


def _query(group: int, excluded: frozenset[str]) -> targets.TargetQuery:
    """Returns the query of a request whose group shares a prefix."""
    return targets.TargetQuery(
        "pool",
        prefix_block_hashes=targets.prefix_block_hashes(
            "model", f"{group} " * 2000
        ),
        excluded=excluded,
        prompt_tokens=PREFIX_TOKENS + OWN_TOKENS,
    )


CHOOSERS = (
    RoundRobinChooser,
    targets.LeastOutstandingChooser,
    HashingChooser,
    targets.ExpectedCostChooser,
)


def run(chooser_class: Any, seed: int) -> dict[str, Any]:
    """Returns the figures of one chooser."""
    simulation = Simulation(chooser_class, seed)
    simulation.run()
    return simulation.result(chooser_class.__name__)
