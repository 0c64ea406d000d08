"""How an attempt on a target can end, and what follows from it.

The table is the only place that decides whether a request is sent again and
which status the client gets. A status of 503 promises that the request has not
run and never will, so it is given only after endings that are known not to
have run.
"""

import dataclasses
import enum


class Ending(enum.Enum):
    """How an attempt ended without an answer that can be passed on."""

    NOT_CONNECTED = "not_connected"
    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    ANOTHER_TARGET = "another_target"
    BROKEN_OFF = "broken_off"
    CORRUPT = "corrupt"
    SILENT = "silent"
    FAILED = "failed"
    TIMED_OUT = "timed_out"
    QUEUED = "queued"


class Ran(enum.Enum):
    """Whether the target began to work on the request."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


@dataclasses.dataclass(frozen=True, slots=True)
class EndingRule:
    """What follows from an ending.

    Attributes:
        ran: Whether the target began to work on the request.
        counts_as_attempt: Whether the ending uses up one of the route's
            attempts; nothing was sent otherwise.
        is_fault: Whether the ending speaks against the target.
        status: HTTP status when the request is not sent again.
    """

    ran: Ran
    counts_as_attempt: bool
    is_fault: bool
    status: int


# Nothing was sent, so that the request may go elsewhere at no cost.
ENDINGS_BEFORE_SENDING = frozenset({Ending.NOT_CONNECTED, Ending.UNREACHABLE})

# Only a run that had begun can have left a copy of its memory.
ENDINGS_AFTER_A_RUN = frozenset(
    {Ending.BROKEN_OFF, Ending.SILENT, Ending.CORRUPT}
)

# A version whose first attempts end so more often than the usual ones is worse.
# Lost connections are left out: a crash takes targets of both.
ENDINGS_OF_A_BAD_VERSION = frozenset(
    {
        Ending.CORRUPT,
        Ending.FAILED,
        Ending.QUEUED,
        Ending.SILENT,
        Ending.TIMED_OUT,
    }
)

RULE_BY_ENDING: dict[Ending, EndingRule] = {
    Ending.NOT_CONNECTED: EndingRule(Ran.NO, False, True, 503),
    Ending.UNREACHABLE: EndingRule(Ran.NO, False, True, 503),
    Ending.REFUSED: EndingRule(Ran.NO, True, False, 503),
    Ending.ANOTHER_TARGET: EndingRule(Ran.NO, False, True, 503),
    Ending.BROKEN_OFF: EndingRule(Ran.UNKNOWN, True, True, 502),
    Ending.CORRUPT: EndingRule(Ran.YES, True, True, 502),
    Ending.SILENT: EndingRule(Ran.UNKNOWN, True, True, 504),
    Ending.FAILED: EndingRule(Ran.YES, True, True, 502),
    Ending.TIMED_OUT: EndingRule(Ran.UNKNOWN, True, False, 504),
    # The prompt waited behind others; whether its reading began is not known.
    Ending.QUEUED: EndingRule(Ran.UNKNOWN, True, False, 504),
}


@dataclasses.dataclass(slots=True)
class AttemptLedger:
    """The attempts of one request.

    Attributes:
        idempotent: Whether the request may run more than once.
        max_attempts: Most targets that the request may be sent to.
        sent: Attempts that count.
        ran: The strongest statement on whether the request has run.
        tried_ids: Targets that were tried.
    """

    idempotent: bool
    max_attempts: int
    sent: int = 0
    ran: Ran = Ran.NO
    tried_ids: list[str] = dataclasses.field(default_factory=list)

    def record(self, target_id: str, ending: Ending) -> None:
        """Records how an attempt ended."""
        rule = RULE_BY_ENDING[ending]
        self.tried_ids.append(target_id)
        if rule.counts_as_attempt:
            self.sent += 1
        if rule.ran is Ran.YES or (
            rule.ran is Ran.UNKNOWN and self.ran is Ran.NO
        ):
            self.ran = rule.ran

    def may_send(self) -> bool:
        """Returns whether the request may be sent to one more target."""
        if self.sent >= self.max_attempts:
            return False
        return self.idempotent or self.ran is Ran.NO

    def final_status(self, ending: Ending | None) -> int:
        """Returns the status for a request that is given up.

        Args:
            ending: The last ending, or None when nothing was sent.
        """
        if self.ran is Ran.NO:
            return 503
        if ending is None or RULE_BY_ENDING[ending].ran is Ran.NO:
            return 502
        return RULE_BY_ENDING[ending].status
