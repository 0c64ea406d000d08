"""Simulated targets and requests of one pool during a move."""

import dataclasses
import heapq
import itertools
import random

from rattanpulley_core import moves
from rattanpulley_core import tables
from rattanpulley_standins._internal.move_simulation import scenarios

MOVE_START_S = 1_800_000_000.0
DOMAINS = ("north", "south", "east", "west")
# Failure domains of the new version's targets; the old version has two targets
# in each domain. The uneven placement makes the failure of a domain affect the
# two versions differently.
NEW_TARGETS = ("north", "north", "south", "east")
BASE_ERROR_RATE = 0.005
TARGET_RESTART_S = 30.0
RACK_RECOVERY_S = 600.0
MINOR_ROUTE_FRACTION = 0.2
# Factor of a latency from which a request counts as harmed.
HARMFUL_SLOWDOWN = 1.5


@dataclasses.dataclass(slots=True)
class SimulatedTarget:
    """A simulated target.

    Attributes:
        spec: Its entry in the pools table.
        down_until_s: Time until which it is down, in seconds since the start
            of the move.
        running: Requests that it runs, by number.
    """

    spec: tables.TargetSpec
    down_until_s: float = 0.0
    running: dict[int, "SimulatedRequest"] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class SimulatedRequest:
    """A simulated request.

    Attributes:
        daemon: Number of its daemon.
        end_event: Event that its daemon receives when the request ends.
        harmed: Whether the new version made it fail, crash or slow down.
        crashes: Whether it crashes its target when it ends.
        is_finished: Whether it has ended.
    """

    daemon: int
    end_event: moves.RequestEnded
    harmed: bool
    crashes: bool = False
    is_finished: bool = False


def make_pool(traffic: scenarios.TrafficProfile) -> tables.Pool:
    """Returns the pool, with both versions' targets and the move."""
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
    move = tables.Move(
        "m1", "v1", "v2", MOVE_START_S, MOVE_START_S + traffic.window_s
    )
    return tables.Pool("p", tables.TargetKind.ENGINE, versions, targets, move)


class TargetSimulator:
    """Runs requests on the simulated targets and returns how they ended.

    Attributes:
        total: Requests so far.
        harmed: Requests that the new version harmed.
    """

    def __init__(
        self,
        scenario: scenarios.Scenario,
        traffic: scenarios.TrafficProfile,
        rng: random.Random,
    ) -> None:
        self.total = 0
        self.harmed = 0
        self._scenario = scenario
        self._traffic = traffic
        self._rng = rng
        self._numbers = itertools.count()
        self._pending_ends: list[
            tuple[float, int, SimulatedTarget, SimulatedRequest]
        ] = []
        self._targets = [
            SimulatedTarget(spec)
            for spec in make_pool(traffic).targets_by_name.values()
        ]
        self._onset_fraction = (
            rng.uniform(0.15, 0.85) if scenario.has_late_onset else 0.0
        )
        self._disturbance_fraction = rng.uniform(0.2, 0.7)
        self._rack_has_failed = False
        self._old_running: dict[int, int] = {}

    def old_running(self, daemon: int) -> int:
        """Returns a daemon's number of running requests on the old version."""
        return self._old_running.get(daemon, 0)

    def start_request(
        self, daemon: int, share: float, fleet_share: float, now_s: float
    ) -> None:
        """Starts a request.

        Args:
            daemon: Number of the daemon.
            share: The daemon's share for the new version.
            fleet_share: Mean share over all daemons.
            now_s: Seconds since the start of the move.
        """
        self.total += 1
        version = "v2" if self._rng.random() < share else "v1"
        target = self._choose_target(daemon, version, now_s)
        if target is None:
            return
        is_new = target.spec.version == "v2"
        route = "main"
        if self._rng.random() < MINOR_ROUTE_FRACTION:
            route = "minor"
        effect = scenarios.NO_EFFECT
        if is_new:
            effect = self._effect_on_request(route, fleet_share, now_s)
        self._run_request(daemon, target, route, share, effect, now_s)

    def pop_finished(self, now_s: float) -> list[SimulatedRequest]:
        """Removes and returns the requests that have ended or crashed."""
        done: list[SimulatedRequest] = []
        self._fail_rack(now_s, done)
        while self._pending_ends and self._pending_ends[0][0] <= now_s:
            end_s, number, target, request = heapq.heappop(self._pending_ends)
            if request.is_finished:
                continue
            if request.crashes:
                self._crash(target, end_s + TARGET_RESTART_S, True, done)
            else:
                self._finish_request(target, number, request, done)
        return done

    def _choose_target(
        self, daemon: int, version: str, now_s: float
    ) -> SimulatedTarget | None:
        """Chooses a running target at random.

        A target of the version is preferred to one of the other version, and
        among these one in the daemon's failure domain.
        """
        live = [t for t in self._targets if t.down_until_s <= now_s]
        wanted = [t for t in live if t.spec.version == version] or live
        domain = DOMAINS[daemon % len(DOMAINS)]
        same_domain = [t for t in wanted if t.spec.failure_domain == domain]
        choices = same_domain or wanted
        return self._rng.choice(choices) if choices else None

    def _effect_on_request(
        self, route: str, fleet_share: float, now_s: float
    ) -> scenarios.FaultEffect:
        scenario = self._scenario
        is_active = (
            now_s >= self._onset_fraction * self._traffic.window_s
            and fleet_share >= scenario.min_share
            and scenario.route in (None, route)
        )
        return scenario.effect if is_active else scenarios.NO_EFFECT

    def _run_request(
        self,
        daemon: int,
        target: SimulatedTarget,
        route: str,
        share: float,
        effect: scenarios.FaultEffect,
        now_s: float,
    ) -> None:
        rng = self._rng
        error_rate, slow = self._disturbance_effect(target, now_s)
        fails = rng.random() < error_rate
        effect_fails = rng.random() < effect.error_rate
        crashes = rng.random() < effect.crash_rate
        first_s = 0.4 * rng.lognormvariate(0, 0.4) * slow
        interval_s = 0.03 * rng.lognormvariate(0, 0.15) * slow
        failed = fails or effect_fails
        end_event = moves.RequestEnded(
            pool="p",
            route=route,
            failure_domain=target.spec.failure_domain,
            target=target.spec.name,
            version=target.spec.version,
            share=share,
            result=moves.Result.ERROR if failed else moves.Result.OK,
            first_token_s=None
            if failed
            else first_s * effect.first_token_factor,
            token_interval_s=(
                None if failed else interval_s * effect.interval_factor
            ),
        )
        is_slowed = (
            max(effect.first_token_factor, effect.interval_factor)
            >= HARMFUL_SLOWDOWN
        )
        request = SimulatedRequest(
            daemon,
            end_event,
            (effect_fails and not fails) or is_slowed,
            crashes,
        )
        duration_s = rng.expovariate(1 / self._traffic.mean_duration_s)
        if failed:
            duration_s = min(duration_s, 0.5)
        number = next(self._numbers)
        target.running[number] = request
        if target.spec.version == "v1":
            self._old_running[daemon] = self.old_running(daemon) + 1
        heapq.heappush(
            self._pending_ends, (now_s + duration_s, number, target, request)
        )

    def _disturbance_effect(
        self, target: SimulatedTarget, now_s: float
    ) -> tuple[float, float]:
        """Returns the error rate and the latency factor of a target now."""
        name = self._scenario.disturbance
        window_fraction = (
            now_s / self._traffic.window_s - self._disturbance_fraction
        )
        is_disturbed_domain = target.spec.failure_domain == "north"
        if (
            name == "overloaded_domain"
            and 0 <= window_fraction < 0.2
            and is_disturbed_domain
        ):
            return 0.3, 3.0
        if name == "errors_of_both" and 0 <= window_fraction < 0.1:
            return 0.5, 2.0
        return BASE_ERROR_RATE, 1.0

    def _fail_rack(self, now_s: float, done: list[SimulatedRequest]) -> None:
        at_s = self._disturbance_fraction * self._traffic.window_s
        if self._scenario.disturbance != "lost_rack" or self._rack_has_failed:
            return
        if now_s < at_s:
            return
        self._rack_has_failed = True
        for target in self._targets:
            # The rack has one of the domain's old targets and both new ones.
            is_in_rack = target.spec.name in ("old-0", "new-0", "new-1")
            if is_in_rack:
                self._crash(target, now_s + RACK_RECOVERY_S, False, done)

    def _crash(
        self,
        target: SimulatedTarget,
        down_until_s: float,
        is_version_fault: bool,
        done: list[SimulatedRequest],
    ) -> None:
        target.down_until_s = down_until_s
        for number, request in list(target.running.items()):
            request.harmed = request.harmed or is_version_fault
            request.end_event = dataclasses.replace(
                request.end_event, result=moves.Result.CRASH
            )
            self._finish_request(target, number, request, done)

    def _finish_request(
        self,
        target: SimulatedTarget,
        number: int,
        request: SimulatedRequest,
        done: list[SimulatedRequest],
    ) -> None:
        request.is_finished = True
        del target.running[number]
        self.harmed += request.harmed
        if target.spec.version == "v1":
            self._old_running[request.daemon] -= 1
        done.append(request)
