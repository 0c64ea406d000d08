"""The trial of one ordered version on one host."""

import dataclasses
import enum
import random

from rattanpulley_core._internal.moves import latency
from rattanpulley_core._internal.moves import messages
from rattanpulley_core._internal.serving import rollouts

# Parts of the allowed share and slack that the trial uses; requests that are
# repeated reach the new version as well.
SHARE_PART = 0.6
SLACK_PART = 0.4
# Most of a route's requests that go to the new version.
LARGEST_ROUTE_SHARE = 0.5
# When the counts are written for the other hosts and when they are judged, as
# parts of the order's duration. Hosts judge one after another, so that most of
# them find it decided.
WRITE_AT_SHARE = 0.6
JUDGE_AT_SHARE = 0.66
JUDGE_SPREAD_SHARE = 0.06
# The old targets stop without draining when an order is completed, and a fault
# under full load shows only after it. Both speak for a late decision; this is
# left for a store that is slow or loses answers.
COMPLETE_BEFORE_SHARE = 0.1
COMPLETE_BEFORE_S = 1.2
COMPLETE_SPREAD_S = 0.4
# Bad answers are told to the other hosts, and failed calls repeated, at most
# this often.
WRITE_PAUSE_S = 0.8
RETRY_PAUSE_S = 0.4
# A version is slow when it takes this much longer than nine tenths of the usual
# answers; a prompt that waits for another one takes twice as long.
SLOW_FACTOR = 2.0


class Step(enum.Enum):
    """What a host does next for a trial."""

    NONE = "none"
    WRITE = "write"
    WRITE_AND_JUDGE = "write_and_judge"
    JUDGE = "judge"
    RECORD = "record"


@dataclasses.dataclass(frozen=True, slots=True)
class TrialBounds:
    """How many requests a version on trial may get.

    Attributes:
        share: Allowed share of the pool's requests.
        slack: Allowed requests beyond the share, over all hosts.
        hosts: Number of hosts, or None while it is not known; no slack is
            used then.
    """

    share: float
    slack: float
    hosts: int | None


class RolloutTrial:
    """Counts, share and timetable of one order."""

    def __init__(
        self,
        order: rollouts.RolloutOrder,
        began_s: float,
        bounds: TrialBounds,
        rng: random.Random,
    ) -> None:
        """Begins a trial.

        Args:
            order: The order.
            began_s: When the order was given, as far as this host knows.
            bounds: How many requests the version may get.
            rng: Source of randomness.
        """
        self.order = order
        self._began_s = began_s
        self._bounds = bounds
        self._rng = rng
        self._counts_by_route: dict[str, messages.Counts] = {}
        self._slow_by_route: dict[str, latency.SlowThreshold] = {}
        self._requests = 0
        self._taken_by_route: dict[str, int] = {}
        self._start_by_route: dict[str, float] = {}
        self._unwritten = False
        self._unwritten_bad = False
        self._written_at_s = float("-inf")
        self._retry_at_s = float("-inf")
        self._accepted = False
        self._wanted: rollouts.OrderState | None = None
        spread_s = order.duration_s * JUDGE_SPREAD_SHARE
        self._judge_at_s = (
            began_s
            + order.duration_s * JUDGE_AT_SHARE
            + rng.random() * spread_s
        )
        before_s = max(
            COMPLETE_BEFORE_S, order.duration_s * COMPLETE_BEFORE_SHARE
        )
        self._complete_at_s = (
            began_s
            + order.duration_s
            - before_s
            - rng.random() * COMPLETE_SPREAD_S
        )

    @property
    def accepted(self) -> bool:
        """Whether this host has found the version good."""
        return self._accepted

    @property
    def share(self) -> float:
        """Share of this host's requests that went to the new version."""
        taken = sum(self._taken_by_route.values())
        return taken / max(1, self._requests)

    def offer(self, route: str) -> bool:
        """Counts a request and returns whether it goes to the new version.

        Each route gets the same number, so that a fault on a rare one shows.
        """
        self._requests += 1
        # A random start spreads the few requests of a trial over many hosts.
        start = self._start_by_route.setdefault(route, self._rng.random())
        routes = len(self._start_by_route)
        credit = (
            self._slack() + self._requests * self._bounds.share * SHARE_PART
        )
        taken = self._taken_by_route.get(route, 0)
        if start + credit / routes - taken < 1.0:
            return False
        if self._rng.random() >= LARGEST_ROUTE_SHARE:
            return False
        self._taken_by_route[route] = taken + 1
        return True

    def _slack(self) -> float:
        if self._bounds.hosts is None:
            return 0.0
        return self._bounds.slack * SLACK_PART / self._bounds.hosts

    def observe(
        self, route: str, is_new: bool, is_bad: bool, took_s: float | None
    ) -> None:
        """Takes the answer to a first attempt.

        Args:
            route: Name of the route.
            is_new: Whether the new version answered.
            is_bad: Whether it failed.
            took_s: Time to the answer or to the first event of a stream; None
                when there was none.
        """
        if took_s is not None and not is_bad:
            threshold = self._slow_by_route.setdefault(
                route, latency.SlowThreshold()
            )
            is_bad = bool(threshold.is_slow(took_s / SLOW_FACTOR, is_new))
            if not is_new:
                threshold.add_sample(took_s)
        one = messages.Counts(
            new_ok=int(is_new and not is_bad),
            new_bad=int(is_new and is_bad),
            old_ok=int(not is_new and not is_bad),
            old_bad=int(not is_new and is_bad),
        )
        known = self._counts_by_route.get(route, messages.Counts())
        self._counts_by_route[route] = rollouts.added(known, one)
        self._unwritten = True
        self._unwritten_bad |= is_new and is_bad

    def evidence(self, host: str) -> rollouts.RolloutEvidence:
        """Returns what this host has counted."""
        return rollouts.RolloutEvidence(
            host, self.order.version, dict(self._counts_by_route)
        )

    @property
    def wanted(self) -> rollouts.OrderState | None:
        """State that the order is to get, or None while that is open."""
        return self._wanted

    def next_step(self, now_s: float) -> Step:
        """Returns what to do now."""
        if now_s < self._retry_at_s:
            return Step.NONE
        if self._accepted and now_s >= self._complete_at_s:
            self._wanted = rollouts.OrderState.COMPLETED
        if self._wanted is not None:
            return Step.RECORD
        told_at_s = self._written_at_s + WRITE_PAUSE_S
        if self._unwritten_bad and now_s >= told_at_s:
            return Step.WRITE_AND_JUDGE
        if not self._accepted and now_s >= self._judge_at_s:
            return Step.WRITE_AND_JUDGE if self._unwritten else Step.JUDGE
        write_at_s = self._began_s + self.order.duration_s * WRITE_AT_SHARE
        if self._unwritten and now_s >= write_at_s > self._written_at_s:
            return Step.WRITE
        return Step.NONE

    def note_written(self, now_s: float) -> None:
        """Notes that the counts were written."""
        self._written_at_s = now_s
        self._unwritten = False
        self._unwritten_bad = False

    def note_tried(self, now_s: float) -> None:
        """Notes a call that failed or another host's change of the order."""
        self._retry_at_s = now_s + RETRY_PAUSE_S

    def note_verdict(self, verdict: rollouts.Verdict, now_s: float) -> None:
        """Takes a judgement.

        Until the counts of all hosts are written, only strong evidence counts.
        """
        judgement = verdict.judgement
        if judgement is rollouts.Judgement.CONDEMNED:
            self._wanted = rollouts.OrderState.ROLLED_BACK
        elif now_s >= self._judge_at_s:
            self._accepted = judgement is rollouts.Judgement.ACCEPTABLE
            if not self._accepted:
                self._wanted = rollouts.OrderState.ROLLED_BACK
