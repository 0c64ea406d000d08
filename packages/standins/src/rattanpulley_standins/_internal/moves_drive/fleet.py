"""Fake targets and requests of one pool during a move."""

import dataclasses
import heapq
import itertools
import random

from rattanpulley_core import moves
from rattanpulley_core import tables
from rattanpulley_standins._internal.moves_drive import kinds

START_S = 1_800_000_000.0
DOMAINS = ("north", "south", "east", "west")
# Two old targets in each domain; the new ones are spread unevenly, so that a
# failure of a domain does not hit both versions alike.
NEW_TARGETS = ("north", "north", "south", "east")
BASE_ERROR_RATE = 0.005
RESTART_S = 30.0
RACK_REPAIR_S = 600.0
MINOR_ROUTE_PART = 0.2
# A request counts as harmed by slowness from this factor on.
HARMFUL_FACTOR = 1.5


@dataclasses.dataclass(slots=True)
class Target:
    """A fake target.

    Attributes:
        spec: Its row.
        down_until_s: Time from which it answers.
        running: Requests that it runs, by number.
    """

    spec: tables.TargetSpec
    down_until_s: float = 0.0
    running: dict[int, "Request"] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Request:
    """A fake request.

    Attributes:
        daemon: Number of its daemon.
        ended: What its daemon will report.
        harmed: Whether the version harmed it.
        crashes: Whether it crashes its target at its end.
        is_over: Whether it has ended.
    """

    daemon: int
    ended: moves.RequestEnded
    harmed: bool
    crashes: bool = False
    is_over: bool = False


def pool_row(traffic: kinds.Traffic) -> tables.Pool:
    """Returns the pool with its move."""
    targets = {}
    for index, domain in enumerate((*DOMAINS, *DOMAINS)):
        targets[f"old-{index}"] = tables.TargetSpec(
            f"old-{index}", f"http://127.0.0.1:{9000 + index}", domain, "v1"
        )
    for index, domain in enumerate(NEW_TARGETS):
        targets[f"new-{index}"] = tables.TargetSpec(
            f"new-{index}", f"http://127.0.0.1:{9100 + index}", domain, "v2"
        )
    versions = {
        "v1": tables.VersionSpec("v1", 1.0),
        "v2": tables.VersionSpec("v2", 0.0),
    }
    move = tables.Move("m1", "v1", "v2", START_S, START_S + traffic.window_s)
    return tables.Pool("p", tables.TargetKind.ENGINE, versions, targets, move)


class Fleet:
    """Runs requests on the targets and reports how they end.

    Attributes:
        total: Requests so far.
        harmed: Requests that the new version harmed.
    """

    def __init__(
        self, kind: kinds.Kind, traffic: kinds.Traffic, rng: random.Random
    ) -> None:
        self.total = 0
        self.harmed = 0
        self._kind = kind
        self._traffic = traffic
        self._rng = rng
        self._numbers = itertools.count()
        self._ends: list[tuple[float, int, Target, Request]] = []
        self._targets = [
            Target(spec) for spec in pool_row(traffic).targets_by_name.values()
        ]
        self._onset_part = rng.uniform(0.15, 0.85) if kind.later else 0.0
        self._disturbed_part = rng.uniform(0.2, 0.7)
        self._rack_is_lost = False
        self._old_running: dict[int, int] = {}

    def old_running(self, daemon: int) -> int:
        """Returns the requests of a daemon on the old version."""
        return self._old_running.get(daemon, 0)

    def start_request(
        self, daemon: int, share: float, fleet_share: float, now_s: float
    ) -> None:
        """Starts a request.

        Args:
            daemon: Number of the daemon.
            share: The daemon's share for the new version.
            fleet_share: Share over all daemons.
            now_s: Seconds since the start of the move.
        """
        self.total += 1
        version = "v2" if self._rng.random() < share else "v1"
        target = self._choose(daemon, version, now_s)
        if target is None:
            return
        is_new = target.spec.version == "v2"
        route = "main"
        if self._rng.random() < MINOR_ROUTE_PART:
            route = "minor"
        harm = kinds.NO_HARM
        if is_new:
            harm = self._harm(route, fleet_share, now_s)
        self._run(daemon, target, route, share, harm, now_s)

    def take_ended(self, now_s: float) -> list[Request]:
        """Returns the requests that have ended, also by crashes."""
        done: list[Request] = []
        self._lose_rack(now_s, done)
        while self._ends and self._ends[0][0] <= now_s:
            end_s, number, target, request = heapq.heappop(self._ends)
            if request.is_over:
                continue
            if request.crashes:
                self._crash(target, end_s + RESTART_S, True, done)
            else:
                self._end(target, number, request, done)
        return done

    def _choose(self, daemon: int, version: str, now_s: float) -> Target | None:
        """Prefers the daemon's domain, then the version, then any target."""
        live = [t for t in self._targets if t.down_until_s <= now_s]
        wanted = [t for t in live if t.spec.version == version] or live
        domain = DOMAINS[daemon % len(DOMAINS)]
        near = [t for t in wanted if t.spec.failure_domain == domain]
        choices = near or wanted
        return self._rng.choice(choices) if choices else None

    def _harm(self, route: str, fleet_share: float, now_s: float) -> kinds.Harm:
        kind = self._kind
        is_active = (
            now_s >= self._onset_part * self._traffic.window_s
            and fleet_share >= kind.above_share
            and kind.route in (None, route)
        )
        return kind.harm if is_active else kinds.NO_HARM

    def _run(
        self,
        daemon: int,
        target: Target,
        route: str,
        share: float,
        harm: kinds.Harm,
        now_s: float,
    ) -> None:
        rng = self._rng
        error_rate, slow = self._disturbance(target, now_s)
        fails = rng.random() < error_rate
        harm_fails = rng.random() < harm.error_rate
        crashes = rng.random() < harm.crash_rate
        first_s = 0.4 * rng.lognormvariate(0, 0.4) * slow
        interval_s = 0.03 * rng.lognormvariate(0, 0.15) * slow
        failed = fails or harm_fails
        ended = moves.RequestEnded(
            pool="p",
            route=route,
            failure_domain=target.spec.failure_domain,
            target=target.spec.name,
            version=target.spec.version,
            share=share,
            result=moves.Result.ERROR if failed else moves.Result.OK,
            first_token_s=None if failed else first_s * harm.first_token_factor,
            token_interval_s=(
                None if failed else interval_s * harm.interval_factor
            ),
        )
        is_slowed = (
            max(harm.first_token_factor, harm.interval_factor) >= HARMFUL_FACTOR
        )
        request = Request(
            daemon, ended, (harm_fails and not fails) or is_slowed, crashes
        )
        duration_s = rng.expovariate(1 / self._traffic.mean_duration_s)
        if failed:
            duration_s = min(duration_s, 0.5)
        number = next(self._numbers)
        target.running[number] = request
        if target.spec.version == "v1":
            self._old_running[daemon] = self.old_running(daemon) + 1
        heapq.heappush(
            self._ends, (now_s + duration_s, number, target, request)
        )

    def _disturbance(self, target: Target, now_s: float) -> tuple[float, float]:
        """Returns the error rate and the slowness of a target now."""
        name = self._kind.disturbance
        part = now_s / self._traffic.window_s - self._disturbed_part
        is_near = target.spec.failure_domain == "north"
        if name == "overloaded_domain" and 0 <= part < 0.2 and is_near:
            return 0.3, 3.0
        if name == "errors_of_both" and 0 <= part < 0.1:
            return 0.5, 2.0
        return BASE_ERROR_RATE, 1.0

    def _lose_rack(self, now_s: float, done: list[Request]) -> None:
        at_s = self._disturbed_part * self._traffic.window_s
        if self._kind.disturbance != "lost_rack" or self._rack_is_lost:
            return
        if now_s < at_s:
            return
        self._rack_is_lost = True
        for target in self._targets:
            # The rack holds one old and both new targets of the domain.
            in_rack = target.spec.name in ("old-0", "new-0", "new-1")
            if in_rack:
                self._crash(target, now_s + RACK_REPAIR_S, False, done)

    def _crash(
        self,
        target: Target,
        until_s: float,
        is_fault: bool,
        done: list[Request],
    ) -> None:
        target.down_until_s = until_s
        for number, request in list(target.running.items()):
            request.harmed = request.harmed or is_fault
            request.ended = dataclasses.replace(
                request.ended, result=moves.Result.CRASH
            )
            self._end(target, number, request, done)

    def _end(
        self,
        target: Target,
        number: int,
        request: Request,
        done: list[Request],
    ) -> None:
        request.is_over = True
        del target.running[number]
        self.harmed += request.harmed
        if target.spec.version == "v1":
            self._old_running[request.daemon] -= 1
        done.append(request)
