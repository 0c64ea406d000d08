"""Simulates one version move, by the daemons or by a baseline schedule."""

import dataclasses
import random

from rattanpulley_core import moves
from rattanpulley_core import tables
from rattanpulley_standins._internal.move_simulation import scenarios
from rattanpulley_standins._internal.move_simulation import target_simulator

DAEMON_COUNT = 8


@dataclasses.dataclass(frozen=True, slots=True)
class MoveResult:
    """Result of one move.

    Attributes:
        scenario: Name of the scenario.
        traffic: Name of the traffic profile.
        strategy: Name of the strategy.
        seed: Seed of the move.
        is_bad: Whether the version is bad.
        is_done: Whether no daemon had a request on the old version any more
            by the move's due date.
        is_rolled_back: Whether a daemon reached a verdict against the new
            version.
        verdict_fraction: Elapsed fraction of the window at the verdict; None
            without a verdict.
        evidence: Text of the verdict; empty without one.
        requests: Number of requests in the window.
        harmed: Number of requests that failed, crashed or were slowed down
            because of the new version.
        shares: Share of the new version, sampled at 50 evenly spaced times of
            the window.
    """

    scenario: str
    traffic: str
    strategy: str
    seed: int
    is_bad: bool
    is_done: bool
    is_rolled_back: bool
    verdict_fraction: float | None
    evidence: str
    requests: int
    harmed: int
    shares: tuple[float, ...]


class DaemonGroup:
    """Move managers of all daemons; facts arrive before the next tick.

    Attributes:
        managers: Move managers, by daemon number.
    """

    def __init__(
        self, traffic: scenarios.TrafficProfile, exchanges_evidence: bool
    ) -> None:
        names = [f"entry-{index}" for index in range(DAEMON_COUNT)]
        self.managers = [moves.MoveManager(name, "boot") for name in names]
        self._exchanges_evidence = exchanges_evidence
        pools = tables.PoolTable(1, {"p": target_simulator.make_pool(traffic)})
        for manager in self.managers:
            manager.set_tables(_make_route_table(traffic), pools)
            manager.set_daemons(names)

    def shares(self) -> list[float]:
        """Returns each daemon's share for the new version."""
        return [manager.share("p") or 0.0 for manager in self.managers]

    def tick(
        self, now_s: float, simulator: target_simulator.TargetSimulator
    ) -> None:
        """Ticks every daemon and broadcasts the facts that they publish."""
        facts: list[tuple[int, moves.Event]] = []
        for index, manager in enumerate(self.managers):
            running = {"p": simulator.old_running(index)}
            actions = manager.tick(
                now_s, target_simulator.MOVE_START_S + now_s, running
            )
            facts.extend(
                (index, fact) for fact in map(_fact_from_action, actions)
            )
        for sender, fact in facts:
            if self._exchanges_evidence or not isinstance(
                fact, moves.EvidenceBatch
            ):
                self._broadcast(sender, fact, now_s)

    def _broadcast(self, sender: int, fact: moves.Event, now_s: float) -> None:
        for index, manager in enumerate(self.managers):
            if index != sender:
                manager.handle(fact, now_s)

    def is_done(self, simulator: target_simulator.TargetSimulator) -> bool:
        """Returns whether every daemon reports the move as done."""
        return all(
            status.state is moves.MoveState.DONE
            for index, manager in enumerate(self.managers)
            for status in manager.statuses({"p": simulator.old_running(index)})
        )


def _fact_from_action(action: moves.Action) -> moves.Event:
    if isinstance(action, moves.PublishEvidence):
        return action.batch
    if isinstance(action, moves.PublishVerdict):
        return action.verdict
    return action.report


def _make_route_table(traffic: scenarios.TrafficProfile) -> tables.RouteTable:
    return tables.RouteTable(
        1,
        {
            name: tables.Route(
                name,
                tables.Match(model=name),
                "p",
                tables.TargetKind.ENGINE,
                deadline_s=traffic.deadline_s,
            )
            for name in ("main", "minor")
        },
    )


def run_move(
    scenario: scenarios.Scenario,
    traffic: scenarios.TrafficProfile,
    seed: int,
    exchanges_evidence: bool,
) -> MoveResult:
    """Simulates one move in which the daemons set their shares themselves.

    Args:
        scenario: New version and the faults during its move.
        traffic: Traffic profile.
        seed: Seed of the move.
        exchanges_evidence: Whether the daemons send their evidence to each
            other.
    """
    rng = random.Random(f"{scenario.name} {traffic.name} {seed}")
    simulator = target_simulator.TargetSimulator(scenario, traffic, rng)
    daemons = DaemonGroup(traffic, exchanges_evidence)
    verdict: moves.Verdict | None = None
    is_done = False
    shares: list[float] = []
    now_s = 0.0
    while now_s <= traffic.window_s:
        daemons.tick(now_s, simulator)
        current = daemons.shares()
        _record_share(shares, sum(current) / DAEMON_COUNT, now_s, traffic)
        _start_requests(simulator, current, now_s, traffic, rng)
        now_s += traffic.tick_s
        for request in simulator.pop_finished(now_s):
            daemons.managers[request.daemon].handle(request.end_event, now_s)
        if verdict is None:
            verdict = next(iter(daemons.managers[0].verdicts), None)
        is_done = is_done or daemons.is_done(simulator)
    return MoveResult(
        scenario.name,
        traffic.name,
        "evidence" if exchanges_evidence else "evidence_alone",
        seed,
        scenario.is_bad,
        is_done,
        verdict is not None,
        _window_fraction(verdict, traffic),
        verdict.evidence if verdict else "",
        simulator.total,
        simulator.harmed,
        tuple(shares),
    )


def run_baseline(
    scenario: scenarios.Scenario,
    traffic: scenarios.TrafficProfile,
    seed: int,
    name: str,
    schedule: scenarios.Schedule,
) -> MoveResult:
    """Simulates one move by a schedule that ignores evidence."""
    rng = random.Random(f"{scenario.name} {traffic.name} {seed}")
    simulator = target_simulator.TargetSimulator(scenario, traffic, rng)
    shares: list[float] = []
    now_s = 0.0
    while now_s <= traffic.window_s:
        share = schedule(now_s / traffic.window_s)
        _record_share(shares, share, now_s, traffic)
        _start_requests(simulator, [share] * DAEMON_COUNT, now_s, traffic, rng)
        now_s += traffic.tick_s
        simulator.pop_finished(now_s)
    return MoveResult(
        scenario.name,
        traffic.name,
        name,
        seed,
        scenario.is_bad,
        True,
        False,
        None,
        "",
        simulator.total,
        simulator.harmed,
        tuple(shares),
    )


def _start_requests(
    simulator: target_simulator.TargetSimulator,
    shares: list[float],
    now_s: float,
    traffic: scenarios.TrafficProfile,
    rng: random.Random,
) -> None:
    fleet_share = sum(shares) / len(shares)
    at_s = now_s + rng.expovariate(traffic.requests_per_s)
    while at_s < now_s + traffic.tick_s:
        daemon = rng.randrange(DAEMON_COUNT)
        simulator.start_request(daemon, shares[daemon], fleet_share, at_s)
        at_s += rng.expovariate(traffic.requests_per_s)


def _record_share(
    shares: list[float],
    share: float,
    now_s: float,
    traffic: scenarios.TrafficProfile,
) -> None:
    if now_s >= len(shares) * traffic.window_s / 50:
        shares.append(round(share, 5))


def _window_fraction(
    verdict: moves.Verdict | None, traffic: scenarios.TrafficProfile
) -> float | None:
    if verdict is None:
        return None
    return round(
        (verdict.wall_s - target_simulator.MOVE_START_S) / traffic.window_s, 4
    )
