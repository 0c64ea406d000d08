"""Drives one move with several daemons or with a baseline."""

import dataclasses
import random

from rattanpulley_core import moves
from rattanpulley_core import tables
from rattanpulley_standins._internal.moves_drive import fleet
from rattanpulley_standins._internal.moves_drive import kinds

DAEMONS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Result of one move.

    Attributes:
        kind: Name of the kind.
        traffic: Name of the traffic.
        strategy: Name of the strategy.
        seed: Seed of the move.
        is_bad: Whether the version is bad.
        is_done: Whether the old version was empty everywhere by the date.
        is_taken_back: Whether there was a verdict.
        verdict_part: Part of the window at the verdict, or None.
        evidence: Text of the verdict; empty without one.
        requests: Requests of the whole window.
        harmed: Requests that the version harmed.
        shares: Share of the new version at 50 times of the window.
    """

    kind: str
    traffic: str
    strategy: str
    seed: int
    is_bad: bool
    is_done: bool
    is_taken_back: bool
    verdict_part: float | None
    evidence: str
    requests: int
    harmed: int
    shares: tuple[float, ...]


class Daemons:
    """Move systems of all daemons; facts arrive at the next tick."""

    def __init__(self, traffic: kinds.Traffic, exchange: bool) -> None:
        names = [f"entry-{index}" for index in range(DAEMONS)]
        self.systems = [moves.MoveManager(name, "boot") for name in names]
        self._exchange = exchange
        pools = tables.PoolTable(1, {"p": fleet.pool_row(traffic)})
        for system in self.systems:
            system.set_tables(_routes(traffic), pools)
            system.set_daemons(names)

    def shares(self) -> list[float]:
        """Returns the share of each daemon."""
        return [system.share("p") or 0.0 for system in self.systems]

    def tick(self, now_s: float, source: fleet.Fleet) -> None:
        """Ticks every daemon and passes the facts on."""
        facts: list[tuple[int, moves.Event]] = []
        for index, system in enumerate(self.systems):
            running = {"p": source.old_running(index)}
            actions = system.tick(now_s, fleet.START_S + now_s, running)
            facts.extend((index, fact) for fact in map(_fact, actions))
        for sender, fact in facts:
            if self._exchange or not isinstance(fact, moves.EvidenceBatch):
                self._pass_on(sender, fact, now_s)

    def _pass_on(self, sender: int, fact: moves.Event, now_s: float) -> None:
        for index, system in enumerate(self.systems):
            if index != sender:
                system.handle(fact, now_s)

    def is_done(self, source: fleet.Fleet) -> bool:
        """Returns whether every daemon sees the move as done."""
        return all(
            status.state is moves.MoveState.DONE
            for index, system in enumerate(self.systems)
            for status in system.statuses({"p": source.old_running(index)})
        )


def _fact(action: moves.Action) -> moves.Event:
    if isinstance(action, moves.PublishEvidence):
        return action.batch
    if isinstance(action, moves.PublishVerdict):
        return action.verdict
    return action.report


def _routes(traffic: kinds.Traffic) -> tables.RouteTable:
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
    kind: kinds.Kind, traffic: kinds.Traffic, seed: int, exchange: bool
) -> Outcome:
    """Runs one move with the daemons' own shares."""
    rng = random.Random(f"{kind.name} {traffic.name} {seed}")
    source = fleet.Fleet(kind, traffic, rng)
    daemons = Daemons(traffic, exchange)
    verdict: moves.Verdict | None = None
    is_done = False
    shares: list[float] = []
    now_s = 0.0
    while now_s <= traffic.window_s:
        daemons.tick(now_s, source)
        present = daemons.shares()
        _record(shares, sum(present) / DAEMONS, now_s, traffic)
        _start_requests(source, present, now_s, traffic, rng)
        now_s += traffic.tick_s
        for request in source.take_ended(now_s):
            daemons.systems[request.daemon].handle(request.ended, now_s)
        if verdict is None:
            verdict = next(iter(daemons.systems[0].verdicts), None)
        is_done = is_done or daemons.is_done(source)
    return Outcome(
        kind.name,
        traffic.name,
        "evidence" if exchange else "evidence_alone",
        seed,
        kind.is_bad,
        is_done,
        verdict is not None,
        _part(verdict, traffic),
        verdict.evidence if verdict else "",
        source.total,
        source.harmed,
        tuple(shares),
    )


def run_baseline(
    kind: kinds.Kind,
    traffic: kinds.Traffic,
    seed: int,
    name: str,
    schedule: kinds.Schedule,
) -> Outcome:
    """Runs one move by a schedule that looks at no evidence."""
    rng = random.Random(f"{kind.name} {traffic.name} {seed}")
    source = fleet.Fleet(kind, traffic, rng)
    shares: list[float] = []
    now_s = 0.0
    while now_s <= traffic.window_s:
        share = schedule(now_s / traffic.window_s)
        _record(shares, share, now_s, traffic)
        _start_requests(source, [share] * DAEMONS, now_s, traffic, rng)
        now_s += traffic.tick_s
        source.take_ended(now_s)
    return Outcome(
        kind.name,
        traffic.name,
        name,
        seed,
        kind.is_bad,
        True,
        False,
        None,
        "",
        source.total,
        source.harmed,
        tuple(shares),
    )


def _start_requests(
    source: fleet.Fleet,
    shares: list[float],
    now_s: float,
    traffic: kinds.Traffic,
    rng: random.Random,
) -> None:
    fleet_share = sum(shares) / len(shares)
    at_s = now_s + rng.expovariate(traffic.requests_per_s)
    while at_s < now_s + traffic.tick_s:
        daemon = rng.randrange(DAEMONS)
        source.start_request(daemon, shares[daemon], fleet_share, at_s)
        at_s += rng.expovariate(traffic.requests_per_s)


def _record(
    shares: list[float], share: float, now_s: float, traffic: kinds.Traffic
) -> None:
    if now_s >= len(shares) * traffic.window_s / 50:
        shares.append(round(share, 5))


def _part(
    verdict: moves.Verdict | None, traffic: kinds.Traffic
) -> float | None:
    if verdict is None:
        return None
    return round((verdict.wall_s - fleet.START_S) / traffic.window_s, 4)
