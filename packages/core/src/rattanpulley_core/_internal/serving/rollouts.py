"""Evaluation of a new version of a pool's targets that the operator rolls out.

Hosts send a small share of the requests to the new version and count successful
and failed responses of both versions. The counts of all hosts are added up and
compared by the same sequential test that evaluates the moves of the daemons.
"""

from collections.abc import Iterable, Mapping
import dataclasses
import enum
import math

from rattanpulley_core._internal.moves import messages
from rattanpulley_core._internal.moves import sequential_test

# A version is rejected at odds of 20 to 1 that it is worse. Rolling back a good
# version costs a delay; completing the rollout of a bad one fails its clients.
REJECTION_LOG_ODDS = math.log(20.0)
# A version is not accepted if the odds that it is worse are 3 to 1 or more.
ACCEPTANCE_LOG_ODDS = math.log(3.0)
# A single failed response may be chance.
MIN_FAILURES = 2
# A version that fails a third of its requests has a 2 % chance of no failure in
# this many responses.
MIN_RESPONSES = 10
ALL_ROUTES = "*"

RouteCounts = messages.Counts


class OrderState(enum.Enum):
    """State of a rollout order.

    Attributes:
        OPEN: The new version is under evaluation.
        COMPLETED: The new version replaces the stable one.
        ROLLED_BACK: The new version was rejected.
    """

    OPEN = "open"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


@dataclasses.dataclass(frozen=True, slots=True)
class EarlierOrder:
    """What an order still says of the one that it replaced.

    Attributes:
        version: Version that the earlier order named.
        state: State that was last recorded for it.
    """

    version: str
    state: OrderState


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutOrder:
    """Order of the operator to roll out a version to a pool.

    Attributes:
        pool: Name of the pool.
        version: New version.
        duration_s: Seconds from the order until it must be decided.
        state: State of the order.
        revision: Revision of the order in the store. A state change is
            conditional on it, so that hosts do not overwrite each other's
            changes.
        earlier: State of the order that this one replaced, or None if it is
            not known.
    """

    pool: str
    version: str
    duration_s: float
    state: OrderState
    revision: int
    earlier: EarlierOrder | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutEvidence:
    """Response counts of one host.

    Attributes:
        host: Name of the host.
        version: The new version.
        counts_by_route: Response counts of both versions, by route.
    """

    host: str
    version: str
    counts_by_route: Mapping[str, RouteCounts]


class Judgement(enum.Enum):
    """Conclusion from the evidence about a new version.

    Attributes:
        REJECTED: The new version is worse than the stable one.
        ACCEPTABLE: Nothing significant speaks against the new version.
        UNDECIDED: The evidence is too weak for a conclusion.
    """

    REJECTED = "condemned"
    ACCEPTABLE = "acceptable"
    UNDECIDED = "undecided"


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """A judgement and the evidence behind it.

    Attributes:
        judgement: Conclusion from the evidence.
        log_odds: Natural logarithm of the highest odds that the new version is
            worse.
        route: Route with these odds; `*` for all routes together.
        counts: Response counts of all routes.
        counts_by_route: Response counts by route.
    """

    judgement: Judgement
    log_odds: float
    route: str
    counts: RouteCounts
    counts_by_route: Mapping[str, RouteCounts]


def judge(evidence: Iterable[RolloutEvidence]) -> Verdict:
    """Judges a version by the response counts of all hosts.

    The test of each route finds a fault that affects only this route. All
    routes together are judged by the sum of their log odds. Their counts must
    not be added up, because routes have different failure rates and different
    shares of requests to the new version.

    Args:
        evidence: Response counts of each host.

    Returns:
        The judgement with the strongest evidence against the version.
    """
    counts_by_route = _merge_counts(evidence)
    log_odds_by_route = {
        route: _log_odds(counts) for route, counts in counts_by_route.items()
    }
    total = RouteCounts()
    for counts in counts_by_route.values():
        total = add_counts(total, counts)
    log_odds_by_route[ALL_ROUTES] = sum(log_odds_by_route.values())
    route = max(log_odds_by_route, key=lambda name: log_odds_by_route[name])
    new_bad = counts_by_route.get(route, total).new_bad
    return Verdict(
        _judgement(
            log_odds_by_route[route], new_bad, total.new_ok + total.new_bad
        ),
        log_odds_by_route[route],
        route,
        total,
        counts_by_route,
    )


def _judgement(log_odds: float, bad: int, responses: int) -> Judgement:
    """Returns the conclusion from the strongest evidence.

    Args:
        log_odds: Natural logarithm of the odds that the new version is worse.
        bad: Failed responses of the new version that these odds include.
        responses: All responses of the new version.
    """
    if log_odds >= REJECTION_LOG_ODDS and bad >= MIN_FAILURES:
        return Judgement.REJECTED
    if log_odds < ACCEPTANCE_LOG_ODDS and responses >= MIN_RESPONSES:
        return Judgement.ACCEPTABLE
    return Judgement.UNDECIDED


def add_counts(one: RouteCounts, other: RouteCounts) -> RouteCounts:
    """Returns the sum of two counts."""
    return RouteCounts(
        one.new_ok + other.new_ok,
        one.new_bad + other.new_bad,
        one.old_ok + other.old_ok,
        one.old_bad + other.old_bad,
    )


def _merge_counts(
    evidence: Iterable[RolloutEvidence],
) -> dict[str, RouteCounts]:
    """Returns the counts of all hosts, by route."""
    merged: dict[str, RouteCounts] = {}
    for row in evidence:
        for route, counts in row.counts_by_route.items():
            merged[route] = add_counts(merged.get(route, RouteCounts()), counts)
    return merged


def _log_odds(counts: RouteCounts) -> float:
    """Returns the natural log odds that the new version is worse."""
    new = counts.new_ok + counts.new_bad
    old = counts.old_ok + counts.old_bad
    if new == 0:
        return 0.0
    test = sequential_test.SequentialTest(messages.Signal.ERRORS)
    test.invest_until(1.0)
    # A share of 0 only sets the baseline failure rate of the test.
    baseline = RouteCounts(old_ok=counts.old_ok, old_bad=counts.old_bad)
    test.update(baseline, 0.0)
    test.update(counts, new / max(1, new + old))
    return test.log_capital
