"""How an attempt on a target can end, and what follows from it.

The table is the only place that decides whether a request is sent again and
which status the client gets. A status of 503 promises that the request has not
run and never will, so it is given only after endings that are known not to
have run.
"""

import dataclasses
import enum


class FailureKind(enum.Enum):
    """How an attempt ended without an answer that can be passed on."""

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


class Executed(enum.Enum):
    """Whether the target began to work on the request."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


@dataclasses.dataclass(frozen=True, slots=True)
class FailureRule:
    """What follows from an ending.

    Attributes:
        executed: Whether the target began to work on the request.
        counts_as_attempt: Whether the ending uses up one of the route's
            attempts; nothing was sent otherwise.
        is_fault: Whether the ending speaks against the target.
        status: HTTP status when the request is not sent again.
    """

    executed: Executed
    counts_as_attempt: bool
    is_fault: bool
    status: int


# Nothing was sent, so that the request may go elsewhere at no cost.
FAILURES_BEFORE_SENDING = frozenset(
    {FailureKind.NOT_CONNECTED, FailureKind.UNREACHABLE}
)

# Only a run that had begun can have left a copy of its memory.
FAILURES_AFTER_START = frozenset(
    {FailureKind.CONNECTION_LOST, FailureKind.UNRESPONSIVE, FailureKind.CORRUPT}
)

# A version whose first attempts end so more often than the usual ones is worse.
# Lost connections are left out: a crash takes targets of both.
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
    # The prompt waited behind others; whether its reading began is not known.
    FailureKind.QUEUED: FailureRule(Executed.UNKNOWN, True, False, 504),
}


@dataclasses.dataclass(slots=True)
class AttemptTracker:
    """The attempts of one request.

    Attributes:
        idempotent: Whether the request may run more than once.
        max_attempts: Most targets that the request may be sent to.
        sent: Attempts that count.
        executed: The strongest statement on whether the request has run.
        tried_ids: Targets that were tried.
    """

    idempotent: bool
    max_attempts: int
    sent: int = 0
    executed: Executed = Executed.NO
    tried_ids: list[str] = dataclasses.field(default_factory=list)

    def record(self, target_id: str, ending: FailureKind) -> None:
        """Records how an attempt ended."""
        rule = RULE_BY_FAILURE[ending]
        self.tried_ids.append(target_id)
        if rule.counts_as_attempt:
            self.sent += 1
        if rule.executed is Executed.YES or (
            rule.executed is Executed.UNKNOWN and self.executed is Executed.NO
        ):
            self.executed = rule.executed

    def may_send(self) -> bool:
        """Returns whether the request may be sent to one more target."""
        if self.sent >= self.max_attempts:
            return False
        return self.idempotent or self.executed is Executed.NO

    def final_status(self, ending: FailureKind | None) -> int:
        """Returns the status for a request that is given up.

        Args:
            ending: The last ending, or None when nothing was sent.
        """
        if self.executed is Executed.NO:
            return 503
        if ending is None or RULE_BY_FAILURE[ending].executed is Executed.NO:
            return 502
        return RULE_BY_FAILURE[ending].status
