"""Judging a new version of a pool's targets that the operator has ordered.

Hosts send the new version a small share of the requests and count good and bad
answers of both versions. Their counts are added up and compared by the same
test that judges the moves of the daemons.
"""

from collections.abc import Iterable, Mapping
import dataclasses
import enum
import math

from rattanpulley_core._internal.moves import messages
from rattanpulley_core._internal.moves import sequential_test

# Odds of 20 to 1 that the new version is worse. A good version that is taken
# back costs a delay; a bad one that takes over fails its clients.
CONDEMNING_LOG = math.log(20.0)
# A version with odds above 3 to 1 against it is not let take over.
SUSPICIOUS_LOG = math.log(3.0)
# A single bad answer is chance.
MIN_BAD = 2
# A version that fails a third of its requests shows no fault in this many with
# a chance of 2 %.
MIN_JUDGED = 10
ALL_ROUTES = "*"

RouteCounts = messages.Counts


class OrderState(enum.Enum):
    """How far an order has come."""

    OPEN = "open"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutOrder:
    """The operator's order to move a pool to a version.

    Attributes:
        pool: Name of the pool.
        version: Version that is to take over.
        duration_s: Time from the order until it must be decided.
        state: How far it has come.
        revision: Revision of the order in the store; a change of its state
            names it, so that one host's change does not undo another's.
    """

    pool: str
    version: str
    duration_s: float
    state: OrderState
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutEvidence:
    """What one host has counted.

    Attributes:
        host: Name of the host.
        version: The new version.
        counts_by_route: Answers by route, of both versions.
    """

    host: str
    version: str
    counts_by_route: Mapping[str, RouteCounts]


class Judgement(enum.Enum):
    """What the evidence says of a new version."""

    CONDEMNED = "condemned"
    ACCEPTABLE = "acceptable"
    UNDECIDED = "undecided"


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """A judgement and what it rests on.

    Attributes:
        judgement: What the evidence says.
        log_evidence: Strongest evidence against the version, as a natural
            logarithm of odds.
        route: Where it was found; `*` for all routes together.
        counts: All answers.
        counts_by_route: Answers by route.
    """

    judgement: Judgement
    log_evidence: float
    route: str
    counts: RouteCounts
    counts_by_route: Mapping[str, RouteCounts]


def judge(evidence: Iterable[RolloutEvidence]) -> Verdict:
    """Judges a version by the counts of all hosts.

    A fault on one route only is found by the test of that route. All routes
    together are judged by the sum of their evidence: their counts must not be
    added up, since routes fail at different rates and have other shares.
    """
    counts_by_route = _merged(evidence)
    logs_by_route = {
        route: _log_evidence(counts)
        for route, counts in counts_by_route.items()
    }
    total = RouteCounts()
    for counts in counts_by_route.values():
        total = added(total, counts)
    logs_by_route[ALL_ROUTES] = sum(logs_by_route.values())
    route = max(logs_by_route, key=lambda name: logs_by_route[name])
    new_bad = counts_by_route.get(route, total).new_bad
    return Verdict(
        _judgement(logs_by_route[route], new_bad, total.new_ok + total.new_bad),
        logs_by_route[route],
        route,
        total,
        counts_by_route,
    )


def _judgement(log_evidence: float, bad: int, judged: int) -> Judgement:
    """Returns what the strongest evidence says.

    Args:
        log_evidence: The evidence.
        bad: Bad answers of the new version that it rests on.
        judged: All answers of the new version.
    """
    if log_evidence >= CONDEMNING_LOG and bad >= MIN_BAD:
        return Judgement.CONDEMNED
    if log_evidence < SUSPICIOUS_LOG and judged >= MIN_JUDGED:
        return Judgement.ACCEPTABLE
    return Judgement.UNDECIDED


def added(one: RouteCounts, other: RouteCounts) -> RouteCounts:
    """Returns the sum of two counts."""
    return RouteCounts(
        one.new_ok + other.new_ok,
        one.new_bad + other.new_bad,
        one.old_ok + other.old_ok,
        one.old_bad + other.old_bad,
    )


def _merged(
    evidence: Iterable[RolloutEvidence],
) -> dict[str, RouteCounts]:
    merged: dict[str, RouteCounts] = {}
    for row in evidence:
        for route, counts in row.counts_by_route.items():
            merged[route] = added(merged.get(route, RouteCounts()), counts)
    return merged


def _log_evidence(counts: RouteCounts) -> float:
    """Returns the logarithm of the odds that the new version is worse."""
    new = counts.new_ok + counts.new_bad
    old = counts.old_ok + counts.old_bad
    if new == 0:
        return 0.0
    test = sequential_test.SequentialTest(messages.Signal.ERRORS)
    test.invest_until(1.0)
    # A share of 0 only teaches the test the usual rate of bad answers.
    usual = RouteCounts(old_ok=counts.old_ok, old_bad=counts.old_bad)
    test.update(usual, 0.0)
    test.update(counts, new / max(1, new + old))
    return test.log_capital
