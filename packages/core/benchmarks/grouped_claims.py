"""Compares grouped claims with one object per key, in simulated time.

Runs both implementations against a fake store in one process:

    PYTHONPATH=packages/core/src:. python -m \
        packages.core.benchmarks.grouped_claims

Arrivals follow a Poisson process (seed 1), a store call takes 2 to 8 ms, a
service call 50 ms. One lease holder serves all keys of the grouped run. Added
latency is the time from arrival to answer without the service call.
"""

from collections.abc import Callable
import heapq
import itertools
import json
import random
from typing import Any

from rattanpulley_core import claims
from rattanpulley_core import interfaces
from rattanpulley_core import leases

SEED = 1
RATES_PER_S = (1, 10, 100, 500)
RUN_S = 60.0
SERVICE_S = 0.050
STORE_MIN_S = 0.002
STORE_MAX_S = 0.008
TICK_S = 0.5
SERVED = interfaces.ServiceAnswer(200, (), b"served")
ORDER = interfaces.ServiceRequest("t", "u", "/", "POST", (), b"", 10.0, True)


class Simulation:
    """Simulated time, a fault-free store and the collected measurements."""

    def __init__(self) -> None:
        self.random = random.Random(SEED)
        self.now_s = 0.0
        self.writes = 0
        self.bytes_written = 0
        self.added_s: list[float] = []
        self._values: dict[str, interfaces.StoredObject] = {}
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], object]]] = []

    def schedule(self, delay_s: float, function: Callable[[], object]) -> None:
        """Schedules a function call after a delay of simulated time."""
        entry = (self.now_s + delay_s, next(self._order), function)
        heapq.heappush(self._events, entry)

    def run(self) -> None:
        """Runs all scheduled events."""
        while self._events:
            self.now_s, _, function = heapq.heappop(self._events)
            function()

    def call_store(
        self, action: claims.Action, callback: Callable[[claims.Event], None]
    ) -> None:
        """Applies a store action and schedules the callback with its result."""
        event = self._apply(action)
        delay_s = self.random.uniform(STORE_MIN_S, STORE_MAX_S)
        self.schedule(delay_s, lambda: callback(event))

    def _apply(self, action: claims.Action) -> claims.Event:
        if isinstance(action, claims.StoreGet):
            return claims.StoreAnswered(self._values.get(action.key))
        assert isinstance(action, claims.StorePut)
        old = self._values.get(action.key)
        version = old.version if old else 0
        if version != action.expected_version:
            return claims.StoreConflict()
        self.writes += 1
        self.bytes_written += len(json.dumps(action.value))
        stored = interfaces.StoredObject(
            action.key, action.value, version + 1, self.writes
        )
        self._values[action.key] = stored
        return claims.StoreAnswered(stored)

    def schedule_arrivals(
        self, rate_per_s: int, arrive: Callable[[], object]
    ) -> None:
        """Schedules the arrivals of a run."""
        at_s = self.random.expovariate(rate_per_s)
        while at_s < RUN_S:
            self.schedule(at_s, arrive)
            at_s += self.random.expovariate(rate_per_s)


class KeyedCall:
    """One claim call with its own store object."""

    def __init__(self, simulation: Simulation, token: str) -> None:
        self._simulation = simulation
        self._arrived_s = simulation.now_s
        self._call = claims.ClaimCall(
            claims.ClaimRequest(
                "account", token, "0" * 64, token, "entry-1", 10.0, ORDER
            )
        )
        self._perform(self._call.begin(simulation.now_s, simulation.now_s))

    def _perform(self, actions: list[claims.Action]) -> None:
        for action in actions:
            if isinstance(action, claims.Answer):
                waited_s = self._simulation.now_s - self._arrived_s
                self._simulation.added_s.append(waited_s - SERVICE_S)
            elif isinstance(action, claims.CallService):
                self._simulation.schedule(SERVICE_S, self._on_served)
            else:
                self._simulation.call_store(action, self._on_event)

    def _on_served(self) -> None:
        self._on_event(claims.ServiceAnswered(SERVED))

    def _on_event(self, event: claims.Event) -> None:
        self._perform(self._call.handle(event, self._simulation.now_s))


def one_object_per_key(rate_per_s: int) -> Simulation:
    """Simulates one `ClaimCall` for each action."""
    simulation = Simulation()
    numbers = itertools.count()
    simulation.schedule_arrivals(
        rate_per_s, lambda: KeyedCall(simulation, f"{next(numbers):032x}")
    )
    simulation.run()
    return simulation


class GroupedRun:
    """Claims of all actions under one lease."""

    def __init__(self, simulation: Simulation) -> None:
        self._simulation = simulation
        self._lease = leases.Lease("range", "entry-1", leases.LeaseSettings())
        self._writer = leases.GroupWriter("range", 1, "entry-1")
        self._numbers = itertools.count()
        self._arrived_s_by_digest: dict[str, float] = {}

    def tick_lease(self) -> None:
        """Renews the lease until the end of the run."""
        self._perform_lease_actions(self._lease.tick(self._simulation.now_s))
        if self._simulation.now_s < RUN_S:
            self._simulation.schedule(TICK_S, self.tick_lease)

    def arrive(self) -> None:
        """Claims a new action."""
        digest = f"{next(self._numbers):064x}"
        self._arrived_s_by_digest[digest] = self._simulation.now_s
        self._add(digest, claims.ClaimState.STARTED, None)

    def _perform_lease_actions(self, actions: list[claims.Action]) -> None:
        for action in actions:
            self._simulation.call_store(action, self._on_lease_event)

    def _on_lease_event(self, event: claims.Event) -> None:
        self._perform_lease_actions(
            self._lease.handle(event, self._simulation.now_s)
        )

    def _add(
        self,
        digest: str,
        state: claims.ClaimState,
        outcome: claims.Outcome | None,
    ) -> None:
        now_s = self._simulation.now_s
        record = claims.ClaimRecord(
            digest, "0" * 64, state, "entry-1", now_s, 10.0, outcome
        )
        self._writer.add(digest, claims.to_json(record), now_s)
        self._schedule()

    def _schedule(self) -> None:
        due_s = self._writer.due_s()
        if due_s is not None:
            delay_s = max(0.0, due_s - self._simulation.now_s)
            self._simulation.schedule(delay_s, self._tick)

    def _tick(self) -> None:
        self._perform(self._writer.tick(self._simulation.now_s))

    def _perform(self, actions: list[claims.Action]) -> None:
        for action in actions:
            if isinstance(action, leases.GroupCommitted):
                for digest, record in action.entries:
                    self._on_committed(digest, record)
            else:
                self._simulation.call_store(action, self._on_event)

    def _on_event(self, event: claims.Event) -> None:
        self._perform(self._writer.handle(event, self._simulation.now_s))
        self._schedule()

    def _on_committed(self, digest: str, record: Any) -> None:
        now_s = self._simulation.now_s
        if record["outcome"] is not None:
            waited_s = now_s - self._arrived_s_by_digest.pop(digest)
            self._simulation.added_s.append(waited_s - SERVICE_S)
            return
        if not self._lease.may_act(now_s):
            raise RuntimeError("the lease lapsed in a run without faults")
        self._simulation.schedule(SERVICE_S, lambda: self._on_served(digest))

    def _on_served(self, digest: str) -> None:
        outcome = claims.outcome_from_answer(SERVED)
        self._add(digest, claims.ClaimState.DONE, outcome)


def grouped(rate_per_s: int) -> Simulation:
    """Simulates one `Lease` and one `GroupWriter` for all actions."""
    simulation = Simulation()
    run = GroupedRun(simulation)
    run.tick_lease()
    # The lease is held before the first arrival.
    simulation.schedule(
        1.0, lambda: simulation.schedule_arrivals(rate_per_s, run.arrive)
    )
    simulation.run()
    return simulation


def summarize(simulation: Simulation) -> dict[str, float]:
    """Returns the measurements of a run."""
    added_s = sorted(simulation.added_s)
    count = len(added_s)
    return {
        "actions": count,
        "writes_per_action": round(simulation.writes / count, 3),
        "bytes_per_action": round(simulation.bytes_written / count),
        "added_p50_ms": round(1000 * added_s[count // 2], 1),
        "added_p99_ms": round(1000 * added_s[int(0.99 * count)], 1),
    }


def main() -> None:
    """Prints one line of JSON for each rate."""
    for rate_per_s in RATES_PER_S:
        row = {
            "actions_per_s": rate_per_s,
            "one_object_per_key": summarize(one_object_per_key(rate_per_s)),
            "grouped": summarize(grouped(rate_per_s)),
        }
        print(json.dumps(row))


if __name__ == "__main__":
    main()
