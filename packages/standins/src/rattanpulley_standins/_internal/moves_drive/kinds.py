"""Kinds of versions and of traffic that the moves are measured with."""

from collections.abc import Callable
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Traffic:
    """Load and length of a move.

    Attributes:
        name: Name in the results.
        requests_per_s: Rate of all daemons together.
        window_s: Time from the start of the move to its date.
        tick_s: Seconds between two ticks of a daemon.
        deadline_s: Deadline of the routes.
        mean_duration_s: Mean time of a request.
    """

    name: str
    requests_per_s: float
    window_s: float
    tick_s: float
    deadline_s: float
    mean_duration_s: float


LOW = Traffic("low", 5 / 60, 8 * 3600.0, 10.0, 600.0, 10.0)
HEAVY = Traffic("heavy", 40.0, 1800.0, 1.0, 120.0, 5.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Harm:
    """What a fault does to one request of the new version.

    Attributes:
        error_rate: Added rate of errors.
        crash_rate: Rate of requests that crash their target.
        first_token_factor: Factor of the time to the first token.
        interval_factor: Factor of the token interval.
    """

    error_rate: float = 0.0
    crash_rate: float = 0.0
    first_token_factor: float = 1.0
    interval_factor: float = 1.0


NO_HARM = Harm()


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A version and what else happens during its move.

    Attributes:
        name: Name in the results.
        is_bad: Whether the version is to be taken back.
        harm: Effect of the version on its requests.
        later: Whether the effect begins at a random time.
        above_share: Effect only while the new version's share is larger.
        route: Effect only on this route; None for all.
        disturbance: Failure that is no fault of the version; None for none.
    """

    name: str
    is_bad: bool
    harm: Harm = NO_HARM
    later: bool = False
    above_share: float = 0.0
    route: str | None = None
    disturbance: str | None = None


_ALL_FAIL = Harm(error_rate=1.0)
_SOME_FAIL = Harm(error_rate=0.2)
_CRASHES = Harm(crash_rate=0.5)
_SLOW_START = Harm(first_token_factor=2.5)
_SLOW_TOKENS = Harm(interval_factor=2.0)

KINDS = (
    Kind("good", False),
    Kind("good_10_percent_slower", False, Harm(0, 0, 1.1, 1.1)),
    Kind("good_lost_rack", False, disturbance="lost_rack"),
    Kind("good_overloaded_domain", False, disturbance="overloaded_domain"),
    Kind("good_errors_of_both", False, disturbance="errors_of_both"),
    Kind("errors_all", True, _ALL_FAIL),
    Kind("errors_20_percent", True, _SOME_FAIL),
    Kind("crashes", True, _CRASHES),
    Kind("slow_first_token", True, _SLOW_START),
    Kind("slow_tokens", True, _SLOW_TOKENS),
    Kind("errors_later", True, _ALL_FAIL, later=True),
    Kind("crashes_later", True, _CRASHES, later=True),
    Kind("slow_tokens_later", True, _SLOW_TOKENS, later=True),
    Kind("errors_under_load", True, Harm(error_rate=0.5), above_share=0.3),
    Kind("errors_on_one_route", True, _ALL_FAIL, route="minor"),
    Kind(
        "errors_in_overloaded_domain",
        True,
        _ALL_FAIL,
        disturbance="overloaded_domain",
    ),
)

# Share by part of the window.
Schedule = Callable[[float], float]


def fixed_steps(part: float) -> float:
    """Baseline: five steps of equal length, whatever happens."""
    steps = (0.01, 0.05, 0.25, 0.5, 1.0)
    return steps[min(int(part * len(steps)), len(steps) - 1)]


def flip(part: float) -> float:
    """Baseline: all requests at once."""
    return 1.0
