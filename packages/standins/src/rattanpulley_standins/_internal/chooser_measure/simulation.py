"""Compares choosers in one seeded simulation.

Eight daemons choose independently among 24 engines in four failure domains.
Requests share prefixes. One engine is slow for a while, one refuses requests
for a while, and one fails and restarts with a cold cache.
"""

from collections.abc import Callable
import heapq
import itertools
import random
from typing import Any

from rattanpulley_core import tables
from rattanpulley_core import targets
from rattanpulley_standins._internal.chooser_measure import baseline_choosers
from rattanpulley_standins._internal.chooser_measure import simulated_engine

DURATION_S = 240.0
REQUESTS_PER_S = 60.0
DAEMON_COUNT = 8
DOMAIN_COUNT = 4
GROUP_COUNT = 60
MAX_RUNNING = 64
REPORT_INTERVAL_S = 2.0
# Name, start and end in seconds.
FAILED_ENGINE = ("e11", 150.0, 170.0)


class Simulation:
    """One simulated run of a chooser class."""

    def __init__(self, chooser_class: Any, seed: int) -> None:
        self.rng = random.Random(seed)
        self.engines = {
            f"e{i}": simulated_engine.SimulatedEngine(f"e{i}")
            for i in range(simulated_engine.ENGINE_COUNT)
        }
        self.tables = [
            self._make_table(i % DOMAIN_COUNT) for i in range(DAEMON_COUNT)
        ]
        self.choosers: list[targets.TargetChooser] = [
            chooser_class(table, random.Random(number))
            for number, table in enumerate(self.tables)
        ]
        self.events: list[
            tuple[float, int, Callable[..., None], tuple[Any, ...]]
        ] = []
        self.sequence = itertools.count()
        self.first_token_times_s: list[float] = []
        self.refusals = 0
        self.without_target = 0
        self.sent_count = 0
        self.other_domain_count = 0
        self.max_running = 0

    def _make_table(self, domain: int) -> targets.TargetTable:
        specs = {
            name: tables.TargetSpec(name, "", f"z{i % DOMAIN_COUNT}", "v1")
            for i, name in enumerate(self.engines)
        }
        versions = {"v1": tables.VersionSpec("v1")}
        kind = tables.TargetKind.ENGINE
        pool = tables.Pool("pool", kind, versions, specs)
        table = targets.TargetTable(f"z{domain}")
        table.apply_pools(tables.PoolTable(1, {"pool": pool}), 0.0)
        return table

    def _schedule(
        self, time_s: float, action: Callable[..., None], *arguments: Any
    ) -> None:
        entry = (time_s, next(self.sequence), action, arguments)
        heapq.heappush(self.events, entry)

    def run(self) -> None:
        """Runs the simulation until its duration has elapsed."""
        self._schedule(0.0, self._handle_arrival)
        self._schedule(REPORT_INTERVAL_S, self._report_load)
        self._schedule(FAILED_ENGINE[1], self._fail_engine)
        self._schedule(FAILED_ENGINE[2], self._restore_engine)
        while self.events and self.events[0][0] < DURATION_S:
            now_s, _, action, arguments = heapq.heappop(self.events)
            action(now_s, *arguments)

    def _handle_arrival(self, now_s: float) -> None:
        self._schedule(
            now_s + self.rng.expovariate(REQUESTS_PER_S), self._handle_arrival
        )
        group = min(GROUP_COUNT - 1, int(self.rng.paretovariate(0.7)) - 1)
        is_long = self.rng.random() < 0.13
        length = 2000 + self.rng.randrange(2000) if is_long else 100
        daemon = self.rng.randrange(DAEMON_COUNT)
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
        name = self.choosers[daemon].choose(_make_query(group, excluded), now_s)
        target = self.tables[daemon].get(name) if name else None
        if target is None:
            self.without_target += 1
            return
        engine = self.engines[target.name]
        if engine.is_refusing(now_s):
            self.refusals += 1
            target.consecutive_failures += 1
            target.load.record_refusal()
            self._dispatch(
                now_s,
                daemon,
                group,
                length,
                arrived_s,
                excluded | {target.name},
            )
            return
        self.other_domain_count += (
            target.failure_domain != f"z{daemon % DOMAIN_COUNT}"
        )
        self.sent_count += 1
        target.in_flight += 1
        target.awaiting_first_token += 1
        engine.waiting.append((target, group, length, arrived_s, now_s))
        self._admit_queued(now_s, engine)

    def _admit_queued(
        self, now_s: float, engine: simulated_engine.SimulatedEngine
    ) -> None:
        while engine.waiting and engine.running < MAX_RUNNING:
            target, group, length, arrived_s, sent_s = engine.waiting.popleft()
            engine.running += 1
            self.max_running = max(self.max_running, engine.running)
            token_s = engine.prefill(group, now_s)
            self._schedule(
                token_s,
                self._start_stream,
                engine,
                target,
                length,
                arrived_s,
                sent_s,
            )

    def _start_stream(
        self,
        now_s: float,
        engine: simulated_engine.SimulatedEngine,
        target: targets.Target,
        length: int,
        arrived_s: float,
        sent_s: float,
    ) -> None:
        self.first_token_times_s.append(now_s - arrived_s)
        target.awaiting_first_token -= 1
        target.consecutive_failures = 0
        target.record_first_token(now_s - sent_s)
        end_s = now_s + length * engine.interval_s(now_s)
        self._schedule(end_s, self._finish_stream, engine, target)

    def _finish_stream(
        self,
        now_s: float,
        engine: simulated_engine.SimulatedEngine,
        target: targets.Target,
    ) -> None:
        engine.running -= 1
        target.in_flight -= 1
        self._admit_queued(now_s, engine)

    def _report_load(self, now_s: float) -> None:
        self._schedule(now_s + REPORT_INTERVAL_S, self._report_load)
        for table, engine in itertools.product(
            self.tables, self.engines.values()
        ):
            report = targets.LoadReport(
                engine.running, len(engine.waiting), 0.0
            )
            table.apply_load(engine.name, report, now_s)

    def _fail_engine(self, now_s: float) -> None:
        self.engines[FAILED_ENGINE[0]].cache.clear()
        for table in self.tables:
            table.targets_by_name[FAILED_ENGINE[0]].mark_lost()

    def _restore_engine(self, now_s: float) -> None:
        for table in self.tables:
            table.targets_by_name[FAILED_ENGINE[0]].mark_alive(now_s)

    def result(self, name: str) -> dict[str, Any]:
        """Returns the results of the run."""
        times = sorted(self.first_token_times_s)
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
            "other_domain_share": round(
                self.other_domain_count / self.sent_count, 3
            ),
            "max_running": self.max_running,
        }


def _make_query(group: int, excluded: frozenset[str]) -> targets.TargetQuery:
    """Returns the query of a request with the prefix of its group."""
    return targets.TargetQuery(
        "pool",
        prefix_block_hashes=targets.prefix_block_hashes(
            "model", f"{group} " * 2000
        ),
        excluded=excluded,
        prompt_tokens=simulated_engine.PREFIX_TOKENS
        + simulated_engine.OWN_TOKENS,
    )


CHOOSERS = (
    baseline_choosers.RoundRobinChooser,
    targets.LeastOutstandingChooser,
    baseline_choosers.HashingChooser,
    targets.ExpectedCostChooser,
)


def run(chooser_class: Any, seed: int) -> dict[str, Any]:
    """Simulates one chooser class and returns its results."""
    simulation = Simulation(chooser_class, seed)
    simulation.run()
    return simulation.result(chooser_class.__name__)
