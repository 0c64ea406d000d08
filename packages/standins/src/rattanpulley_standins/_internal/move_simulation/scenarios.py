"""Scenarios, traffic profiles and baseline schedules of simulated moves."""

from collections.abc import Callable
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class TrafficProfile:
    """Request load and duration of a move.

    Attributes:
        name: Name in the results.
        requests_per_s: Request rate of all daemons together.
        window_s: Seconds from the start of the move to its due date.
        tick_s: Seconds between two ticks of a daemon.
        deadline_s: Deadline of the routes, in seconds.
        mean_duration_s: Mean duration of a request, in seconds.
    """

    name: str
    requests_per_s: float
    window_s: float
    tick_s: float
    deadline_s: float
    mean_duration_s: float


LOW = TrafficProfile("low", 5 / 60, 8 * 3600.0, 10.0, 600.0, 10.0)
HEAVY = TrafficProfile("heavy", 40.0, 1800.0, 1.0, 120.0, 5.0)


@dataclasses.dataclass(frozen=True, slots=True)
class FaultEffect:
    """Effect of the new version's fault on one request.

    Attributes:
        error_rate: Probability of an error beyond the usual rate.
        crash_rate: Probability that the request crashes its target.
        first_token_factor: Factor of the time to the first token.
        interval_factor: Factor of the time between tokens.
    """

    error_rate: float = 0.0
    crash_rate: float = 0.0
    first_token_factor: float = 1.0
    interval_factor: float = 1.0


NO_EFFECT = FaultEffect()


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """A new version and the disturbances during its move.

    Attributes:
        name: Name in the results.
        is_bad: Whether the version should be rolled back.
        effect: Effect of the version on its requests.
        has_late_onset: Whether the effect begins at a random time of the
            window rather than at its start.
        min_share: Share of the new version from which the effect occurs.
        route: The only route with the effect; None for all routes.
        disturbance: Failure that the version does not cause; None for none.
    """

    name: str
    is_bad: bool
    effect: FaultEffect = NO_EFFECT
    has_late_onset: bool = False
    min_share: float = 0.0
    route: str | None = None
    disturbance: str | None = None


_ALL_REQUESTS_FAIL = FaultEffect(error_rate=1.0)
_SOME_REQUESTS_FAIL = FaultEffect(error_rate=0.2)
_CRASHES = FaultEffect(crash_rate=0.5)
_SLOW_FIRST_TOKEN = FaultEffect(first_token_factor=2.5)
_SLOW_TOKENS = FaultEffect(interval_factor=2.0)

SCENARIOS = (
    Scenario("good", False),
    Scenario("good_10_percent_slower", False, FaultEffect(0, 0, 1.1, 1.1)),
    Scenario("good_lost_rack", False, disturbance="lost_rack"),
    Scenario("good_overloaded_domain", False, disturbance="overloaded_domain"),
    Scenario("good_errors_of_both", False, disturbance="errors_of_both"),
    Scenario("errors_all", True, _ALL_REQUESTS_FAIL),
    Scenario("errors_20_percent", True, _SOME_REQUESTS_FAIL),
    Scenario("crashes", True, _CRASHES),
    Scenario("slow_first_token", True, _SLOW_FIRST_TOKEN),
    Scenario("slow_tokens", True, _SLOW_TOKENS),
    Scenario("errors_later", True, _ALL_REQUESTS_FAIL, has_late_onset=True),
    Scenario("crashes_later", True, _CRASHES, has_late_onset=True),
    Scenario("slow_tokens_later", True, _SLOW_TOKENS, has_late_onset=True),
    Scenario(
        "errors_under_load", True, FaultEffect(error_rate=0.5), min_share=0.3
    ),
    Scenario("errors_on_one_route", True, _ALL_REQUESTS_FAIL, route="minor"),
    Scenario(
        "errors_in_overloaded_domain",
        True,
        _ALL_REQUESTS_FAIL,
        disturbance="overloaded_domain",
    ),
)

# Share of the new version by elapsed fraction of the window.
Schedule = Callable[[float], float]


def fixed_steps(window_fraction: float) -> float:
    """Baseline: five steps of equal duration, without regard to errors."""
    steps = (0.01, 0.05, 0.25, 0.5, 1.0)
    return steps[min(int(window_fraction * len(steps)), len(steps) - 1)]


def flip(window_fraction: float) -> float:
    """Baseline: all requests go to the new version from the start."""
    return 1.0
