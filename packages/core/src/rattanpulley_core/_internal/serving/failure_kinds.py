"""Ways in which an attempt on a target can fail, and how each is handled.

The table is the only place that decides whether a request is retried and which
status the client receives. A status of 503 guarantees that the request has not
run and never will, so it is returned only if every failed attempt is known not
to have run.
"""

import dataclasses
import enum


class FailureKind(enum.Enum):
    """Why an attempt returned no response that can be forwarded.

    Attributes:
        NOT_CONNECTED: The connection could not be opened.
        UNREACHABLE: The target did not answer the connection attempt.
        REFUSED: The target refused the request without running it.
        WRONG_TARGET: Another target answered at this address.
        CONNECTION_LOST: The connection was closed or failed.
        CORRUPT: The response is malformed or answers another request.
        UNRESPONSIVE: The target sent nothing for too long.
        FAILED: The target answered with an error.
        TIMED_OUT: The time limit of the request expired.
        QUEUED: The attempt was given up while its prompt was queued.
        WITHDRAWN: The attempt was given up because its prompt is refused by
            now.
        UNAVAILABLE: Nothing was sent: the target has said that it drains or
            wants no requests, or this host has no descriptor left.
    """

    NOT_CONNECTED = "not_connected"
    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    WRONG_TARGET = "another_target"
    CONNECTION_LOST = "broken_off"
    CORRUPT = "corrupt"
    UNRESPONSIVE = "silent"
    FAILED = "failed"
    TIMED_OUT = "timed_out"
    QUEUED = "queued"
    WITHDRAWN = "withdrawn"
    UNAVAILABLE = "unavailable"


class RetryDenial(enum.Enum):
    """Why a request is not sent to a further target.

    Attributes:
        TIME: The time limit of the request has expired.
        CONNECT_FAILURES: Too many connections have failed.
        ATTEMPTS: The route allows no further attempt.
        MAY_HAVE_RUN: The request may have run and is not idempotent.
        RETRY_BUDGET: The retry budget of the pool is exhausted.
    """

    TIME = "time"
    CONNECT_FAILURES = "connect_failures"
    ATTEMPTS = "attempts"
    MAY_HAVE_RUN = "may_have_run"
    RETRY_BUDGET = "retry_budget"


class Executed(enum.Enum):
    """Whether the target started to process the request."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


@dataclasses.dataclass(frozen=True, slots=True)
class FailureRule:
    """How a failed attempt is handled.

    Attributes:
        executed: Whether the target started to process the request.
        counts_as_attempt: Whether the failure uses up one of the route's
            attempts; nothing was sent otherwise.
        is_fault: Whether the failure counts against the health of the target.
        status: HTTP status for the client if the request is not retried.
    """

    executed: Executed
    counts_as_attempt: bool
    is_fault: bool
    status: int


# Nothing was sent, so the request can be sent to another target at no cost.
FAILURES_BEFORE_SENDING = frozenset(
    {
        FailureKind.NOT_CONNECTED,
        FailureKind.UNREACHABLE,
        FailureKind.UNAVAILABLE,
    }
)

# Only a run that had started can have left a copy of its memory.
FAILURES_AFTER_START = frozenset(
    {FailureKind.CONNECTION_LOST, FailureKind.UNRESPONSIVE, FailureKind.CORRUPT}
)

# Failures of all requests on a target that is silent for a moment.
FAILURES_BY_SILENCE = frozenset(
    {FailureKind.UNRESPONSIVE, FailureKind.TIMED_OUT}
)

# A version is worse if its first attempts fail in these ways more often than
# those of the stable version. Lost connections are excluded because a crash
# affects targets of both versions.
BAD_VERSION_FAILURES = frozenset(
    {
        FailureKind.CORRUPT,
        FailureKind.FAILED,
        FailureKind.QUEUED,
        FailureKind.UNRESPONSIVE,
        FailureKind.TIMED_OUT,
    }
)

RULE_BY_FAILURE: dict[FailureKind, FailureRule] = {
    FailureKind.NOT_CONNECTED: FailureRule(Executed.NO, False, True, 503),
    FailureKind.UNREACHABLE: FailureRule(Executed.NO, False, True, 503),
    FailureKind.REFUSED: FailureRule(Executed.NO, True, False, 503),
    FailureKind.WRONG_TARGET: FailureRule(Executed.NO, False, True, 503),
    FailureKind.CONNECTION_LOST: FailureRule(Executed.UNKNOWN, True, True, 502),
    FailureKind.CORRUPT: FailureRule(Executed.YES, True, True, 502),
    FailureKind.UNRESPONSIVE: FailureRule(Executed.UNKNOWN, True, True, 504),
    FailureKind.FAILED: FailureRule(Executed.YES, True, True, 502),
    FailureKind.TIMED_OUT: FailureRule(Executed.UNKNOWN, True, False, 504),
    # The prompt was queued behind others; whether its prefill started is not
    # known.
    FailureKind.QUEUED: FailureRule(Executed.UNKNOWN, True, False, 504),
    FailureKind.WITHDRAWN: FailureRule(Executed.UNKNOWN, True, False, 502),
    FailureKind.UNAVAILABLE: FailureRule(Executed.NO, False, False, 503),
}


@dataclasses.dataclass(slots=True)
class AttemptTracker:
    """Attempts that were made for one request.

    Attributes:
        idempotent: Whether the request may run more than once.
        max_attempts: Maximum number of targets the request may be sent to.
        sent: Number of attempts that count towards the maximum.
        runs: Number of these that may have run the request.
        executed: Whether the request has run, over all attempts so far.
        tried_ids: Ids of the targets that were tried.
    """

    idempotent: bool
    max_attempts: int
    sent: int = 0
    runs: int = 0
    executed: Executed = Executed.NO
    tried_ids: list[str] = dataclasses.field(default_factory=list)

    def record(self, target_id: str, failure: FailureKind) -> None:
        """Records a failed attempt."""
        rule = RULE_BY_FAILURE[failure]
        self.tried_ids.append(target_id)
        if rule.counts_as_attempt:
            self.sent += 1
            self.runs += rule.executed is not Executed.NO
        if rule.executed is Executed.YES or (
            rule.executed is Executed.UNKNOWN and self.executed is Executed.NO
        ):
            self.executed = rule.executed

    def may_send(self) -> bool:
        """Returns whether the request may be sent to one more target."""
        return self.send_denial() is None

    def may_return(self) -> bool:
        """Returns whether the request may be sent to a target tried before.

        The maximum limits the targets that a request is sent to. One that was
        refused has run at fewer of them.
        """
        return self.idempotent and self.runs < self.max_attempts

    def send_denial(self) -> RetryDenial | None:
        """Returns why the request may not be sent to one more target."""
        if self.sent >= self.max_attempts:
            return RetryDenial.ATTEMPTS
        if self.idempotent or self.executed is Executed.NO:
            return None
        return RetryDenial.MAY_HAVE_RUN

    def final_status(self, failure: FailureKind | None) -> int:
        """Returns the HTTP status for a request that is not retried further.

        Args:
            failure: The last failure, or None if nothing was sent.
        """
        if self.executed is Executed.NO:
            return 503
        if failure is None or RULE_BY_FAILURE[failure].executed is Executed.NO:
            return 502
        return RULE_BY_FAILURE[failure].status
