"""Canary trial of one ordered version on one host."""

import dataclasses
import enum
import random

from rattanpulley_core._internal.moves import latency
from rattanpulley_core._internal.moves import messages
from rattanpulley_core._internal.serving import rollouts

# Fractions of the allowed share and slack that the trial uses. The margin is
# needed because retried requests reach the new version as well.
SHARE_FRACTION = 0.6
SLACK_FRACTION = 0.4
# Probability with which an admissible request goes to the new version; limits
# the share of a route's requests.
MAX_ROUTE_SHARE = 0.5
# Times at which the counts are written for the other hosts and judged, as
# fractions of the order's duration. A random delay makes hosts judge one after
# another, so that most of them find the order decided.
WRITE_AT_FRACTION = 0.6
JUDGE_AT_FRACTION = 0.66
JUDGE_JITTER_FRACTION = 0.06
# Time before the end of the order at which it is completed. The old targets
# stop without draining at that point, and a fault that occurs only under full
# load appears only afterwards. Both are reasons to decide late; the remaining
# time covers a store that is slow or loses responses.
COMPLETE_BEFORE_FRACTION = 0.1
COMPLETE_BEFORE_S = 1.2
COMPLETE_JITTER_S = 0.4
# Minimum intervals between reports of failed responses to the other hosts and
# between retries of failed calls.
WRITE_INTERVAL_S = 0.8
RETRY_INTERVAL_S = 0.4
# A response of the new version is slow if it takes this many times the 90th
# percentile of the stable version. A prompt that waits for another one takes
# twice as long.
SLOW_FACTOR = 2.0


class TrialStep(enum.Enum):
    """Next action of a host for a trial.

    Attributes:
        NONE: Nothing is due.
        WRITE: Write the counts for the other hosts.
        WRITE_AND_JUDGE: Write the counts, then judge those of all hosts.
        JUDGE: Judge the counts of all hosts.
        RECORD: Record the decided state of the order.
    """

    NONE = "none"
    WRITE = "write"
    WRITE_AND_JUDGE = "write_and_judge"
    JUDGE = "judge"
    RECORD = "record"


@dataclasses.dataclass(frozen=True, slots=True)
class TrialBounds:
    """Limits on the requests that a canary version may receive.

    Attributes:
        share: Allowed share of the pool's requests.
        slack: Allowed requests in addition to the share, over all hosts.
        hosts: Number of hosts, or None if it is unknown, in which case no slack
            is used.
    """

    share: float
    slack: float
    hosts: int | None


class RolloutTrial:
    """Response counts, admitted share and schedule of one order.

    Attributes:
        order: The order, with its newest revision.
    """

    def __init__(
        self,
        order: rollouts.RolloutOrder,
        started_at_s: float,
        bounds: TrialBounds,
        rng: random.Random,
    ) -> None:
        """Starts a trial.

        Args:
            order: The order.
            started_at_s: Start of the order, as far as this host knows.
            bounds: Limits on the requests to the new version.
            rng: Random number generator.
        """
        self.order = order
        self._started_at_s = started_at_s
        self._bounds = bounds
        self._rng = rng
        self._counts_by_route: dict[str, messages.Counts] = {}
        self._slow_threshold_by_route: dict[str, latency.SlowThreshold] = {}
        self._requests = 0
        self._admitted_by_route: dict[str, int] = {}
        self._initial_credit_by_route: dict[str, float] = {}
        self._has_unwritten = False
        self._has_unwritten_failure = False
        self._written_at_s = float("-inf")
        self._retry_at_s = float("-inf")
        self._accepted = False
        self._decided_state: rollouts.OrderState | None = None
        jitter_s = order.duration_s * JUDGE_JITTER_FRACTION
        self._judge_at_s = (
            started_at_s
            + order.duration_s * JUDGE_AT_FRACTION
            + rng.random() * jitter_s
        )
        reserve_s = max(
            COMPLETE_BEFORE_S, order.duration_s * COMPLETE_BEFORE_FRACTION
        )
        self._complete_at_s = (
            started_at_s
            + order.duration_s
            - reserve_s
            - rng.random() * COMPLETE_JITTER_S
        )

    @property
    def accepted(self) -> bool:
        """Whether this host has accepted the version."""
        return self._accepted

    @property
    def share(self) -> float:
        """Share of this host's requests that went to the new version."""
        admitted = sum(self._admitted_by_route.values())
        return admitted / max(1, self._requests)

    def admit_request(self, route: str) -> bool:
        """Counts a request and returns whether it goes to the new version.

        Each route gets the same number of requests to the new version, so that
        a fault on a rarely used route is detected.
        """
        self._requests += 1
        # A random initial credit distributes the few requests of a trial over
        # many hosts.
        initial_credit = self._initial_credit_by_route.setdefault(
            route, self._rng.random()
        )
        routes = len(self._initial_credit_by_route)
        credit = (
            self._slack() + self._requests * self._bounds.share * SHARE_FRACTION
        )
        admitted = self._admitted_by_route.get(route, 0)
        if initial_credit + credit / routes - admitted < 1.0:
            return False
        # Routes that came earlier have used the credit of those that a newer
        # configuration adds.
        all_credit = credit + sum(self._initial_credit_by_route.values())
        if all_credit - sum(self._admitted_by_route.values()) < 1.0:
            return False
        if self._rng.random() >= MAX_ROUTE_SHARE:
            return False
        self._admitted_by_route[route] = admitted + 1
        return True

    def _slack(self) -> float:
        if self._bounds.hosts is None:
            return 0.0
        return self._bounds.slack * SLACK_FRACTION / self._bounds.hosts

    def record_answer(
        self, route: str, is_new: bool, is_bad: bool, latency_s: float | None
    ) -> None:
        """Records the response to a first attempt.

        Args:
            route: Name of the route.
            is_new: Whether the new version handled the request.
            is_bad: Whether the attempt failed.
            latency_s: Seconds to the response or to the first event of a
                stream; None if there was none.
        """
        if latency_s is not None and not is_bad:
            threshold = self._slow_threshold_by_route.setdefault(
                route, latency.SlowThreshold()
            )
            is_bad = bool(threshold.is_slow(latency_s / SLOW_FACTOR, is_new))
            if not is_new:
                threshold.add_sample(latency_s)
        counts = messages.Counts(
            new_ok=int(is_new and not is_bad),
            new_bad=int(is_new and is_bad),
            old_ok=int(not is_new and not is_bad),
            old_bad=int(not is_new and is_bad),
        )
        known_counts = self._counts_by_route.get(route, messages.Counts())
        self._counts_by_route[route] = rollouts.add_counts(known_counts, counts)
        self._has_unwritten = True
        self._has_unwritten_failure |= is_new and is_bad

    def evidence(self, host: str) -> rollouts.RolloutEvidence:
        """Returns the response counts of this host."""
        return rollouts.RolloutEvidence(
            host, self.order.version, dict(self._counts_by_route)
        )

    @property
    def decided_state(self) -> rollouts.OrderState | None:
        """State that the order will change to, or None if not decided."""
        return self._decided_state

    def next_step(self, now_s: float) -> TrialStep:
        """Returns the action that is due now."""
        if now_s < self._retry_at_s:
            return TrialStep.NONE
        if self._accepted and now_s >= self._complete_at_s:
            self._decided_state = rollouts.OrderState.COMPLETED
        if self._decided_state is not None:
            return TrialStep.RECORD
        next_report_at_s = self._written_at_s + WRITE_INTERVAL_S
        if self._has_unwritten_failure and now_s >= next_report_at_s:
            return TrialStep.WRITE_AND_JUDGE
        if not self._accepted and now_s >= self._judge_at_s:
            return (
                TrialStep.WRITE_AND_JUDGE
                if self._has_unwritten
                else TrialStep.JUDGE
            )
        write_at_s = (
            self._started_at_s + self.order.duration_s * WRITE_AT_FRACTION
        )
        if self._has_unwritten and now_s >= write_at_s > self._written_at_s:
            return TrialStep.WRITE
        return TrialStep.NONE

    def mark_written(self, now_s: float) -> None:
        """Records that the counts were written to the store."""
        self._written_at_s = now_s
        self._has_unwritten = False
        self._has_unwritten_failure = False

    def delay_retry(self, now_s: float) -> None:
        """Delays the next action after a failed call or a changed order."""
        self._retry_at_s = now_s + RETRY_INTERVAL_S

    def apply_verdict(self, verdict: rollouts.Verdict, now_s: float) -> None:
        """Applies the judgement on the counts of all hosts.

        Before the time to judge, not all hosts have written their counts, and
        only a rejection has an effect.
        """
        judgement = verdict.judgement
        if judgement is rollouts.Judgement.REJECTED:
            self._decided_state = rollouts.OrderState.ROLLED_BACK
        elif now_s >= self._judge_at_s:
            self._accepted = judgement is rollouts.Judgement.ACCEPTABLE
            if not self._accepted:
                self._decided_state = rollouts.OrderState.ROLLED_BACK
