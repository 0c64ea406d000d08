"""Specification of the claim protocol: one call at a daemon.

`step` is a pure function that maps a call and an event to the next state of
the call and at most one action. States, events and limits are named as in
`rattanpulley_core.claims`; a test runs this function and the code side by side
over every sequence of events.
"""

from collections.abc import Callable
from typing import NamedTuple

REPEATABLE_STATES = ("not_run", "settled_not_run")
NO_RUN = -1


class Rules(NamedTuple):
    """Rules of the protocol, each of which can be disabled, and its limits.

    The search finds a violation if any single rule is disabled.

    Attributes:
        read_back: A claim whose write was not answered is read back.
        claim_first: The claim is written before the service is called.
        conditional_create: The claim is written only over the expected version.
        pause_check: A claim that is too old does not start the call.
        conditional_outcome: The outcome is written only over the claim.
        settle_wait: An operator settles only claims whose call time is over.
        bounded_send: The pause between the last clock check and the first byte
            is bounded. This is an assumption rather than a rule.
        claim_attempts: Largest number of writes of the claim.
        read_attempts: Consecutive reads without an answer until a refusal.
        outcome_attempts: Largest number of writes of the outcome.
    """

    read_back: bool = True
    claim_first: bool = True
    conditional_create: bool = True
    pause_check: bool = True
    conditional_outcome: bool = True
    settle_wait: bool = True
    bounded_send: bool = True
    claim_attempts: int = 3
    read_attempts: int = 2
    outcome_attempts: int = 3


class Record(NamedTuple):
    """Value of the claim object; `outcome` is the token of the recorded run."""

    token: int
    state: str
    outcome: int = NO_RUN


class Event(NamedTuple):
    """Input of a call; `late` means that it is too late to start the call."""

    kind: str
    version: int = 0
    record: Record | None = None
    late: bool = False


class Action(NamedTuple):
    """Output of a call: `put`, `get`, `call`, `answer` or `answer_and_put`."""

    kind: str
    record: Record | None = None
    expected: int | None = None


class Call(NamedTuple):
    """State of one call of the action at one daemon.

    Attributes:
        token: Number of the call, the token of its claim.
        phase: `CallState` of the code.
        sending: Progress of the request: "", "decided", "committed" (the clock
            was checked, no byte was sent) or "sent".
        claim_puts: Writes of the claim so far.
        unclear_reads: Consecutive reads without an answer.
        outcome_puts: Writes of the outcome so far.
        expected: Version that the next write expects.
        conflicted: Whether the store reported a conflict.
        outcome: State to record.
        answer: Run state in the answer to the caller; "ok" for an outcome.
        answer_run: Token of the run whose outcome the caller received.
        age: 0 if the call may start, 1 if it is too late to start, 2 if the
            claim may be settled.
        runs: How often the service ran the action for this claim.
    """

    token: int
    phase: str = "new"
    sending: str = ""
    claim_puts: int = 0
    failed_reads: int = 0
    outcome_puts: int = 0
    expected: int = 0
    conflicted: bool = False
    outcome: str = ""
    answer: str = ""
    answer_run: int = NO_RUN
    age: int = 0
    runs: int = 0


Step = tuple[Call, Action | None]


def begin(call: Call, rules: Rules) -> Step:
    """Starts a call."""
    if rules.claim_first:
        return _put_claim(call, rules)
    return _start(call, Event("begin"), rules)


def step(call: Call, event: Event, rules: Rules) -> Step:
    """Processes an event; one that is not listed is a specification error."""
    return TRANSITIONS[(call.phase, event.kind)](call, event, rules)


def end(call: Call, answer: str, run: int = NO_RUN) -> Step:
    """Ends a call with an answer and resets the fields that are not needed."""
    ended = Call(
        call.token,
        "ended",
        answer=answer,
        answer_run=run,
        age=call.age,
        runs=call.runs,
    )
    return ended, Action("answer")


def _put_claim(call: Call, rules: Rules) -> Step:
    if call.claim_puts == rules.claim_attempts:
        return _refuse(call)
    record = Record(call.token, "started")
    expected = call.expected if rules.conditional_create else None
    after = call._replace(phase="claiming", claim_puts=call.claim_puts + 1)
    return after, Action("put", record, expected)


def _refuse(call: Call) -> Step:
    return end(call, "unknown" if call.conflicted else "not_run")


def _on_claim_written(call: Call, event: Event, rules: Rules) -> Step:
    return _start(call._replace(expected=event.version), event, rules)


def _on_claim_conflict(call: Call, event: Event, rules: Rules) -> Step:
    return _read(call._replace(conflicted=True), event, rules)


def _on_claim_unknown(call: Call, event: Event, rules: Rules) -> Step:
    if not rules.read_back:
        claimed = call._replace(expected=call.expected + 1)
        return _start(claimed, event, rules)
    return _read(call, event, rules)


def _read(call: Call, event: Event, rules: Rules) -> Step:
    del event, rules
    return call._replace(phase="reading", failed_reads=0), Action("get")


def _on_read_failed(call: Call, event: Event, rules: Rules) -> Step:
    del event
    reads = call.failed_reads + 1
    if reads == rules.read_attempts:
        return _refuse(call)
    return call._replace(failed_reads=reads), Action("get")


def _on_read(call: Call, event: Event, rules: Rules) -> Step:
    record = event.record
    if record is None:
        return _put_claim(call._replace(expected=0), rules)
    if record.token == call.token:
        if record.state == "started":
            return _on_claim_written(call, event, rules)
        if record.state in REPEATABLE_STATES:
            return end(call, "not_run")
    elif record.state in REPEATABLE_STATES:
        return _put_claim(call._replace(expected=event.version), rules)
    return _answer_from(call, record)


def _answer_from(call: Call, record: Record) -> Step:
    if record.state == "done":
        return end(call, "ok", record.outcome)
    return end(call, "ran" if record.state == "settled_run" else "unknown")


def _start(call: Call, event: Event, rules: Rules) -> Step:
    if event.late and rules.pause_check:
        return _record(call, "not_run", rules)
    return call._replace(phase="calling", sending="decided"), Action("call")


def _on_service_answered(call: Call, event: Event, rules: Rules) -> Step:
    del event
    return _record(call, "done", rules)


def _on_service_not_sent(call: Call, event: Event, rules: Rules) -> Step:
    del event
    return _record(call, "not_run", rules)


def _on_service_unknown(call: Call, event: Event, rules: Rules) -> Step:
    del event
    return _record(call, "unknown", rules)


def _record(call: Call, outcome: str, rules: Rules) -> Step:
    after = call._replace(
        phase="recording", sending="", outcome=outcome, outcome_puts=1
    )
    return after, _put_outcome(after, "put", rules)


def _put_outcome(call: Call, kind: str, rules: Rules) -> Action:
    run = call.token if call.outcome == "done" else NO_RUN
    record = Record(call.token, call.outcome, run)
    expected = call.expected if rules.conditional_outcome else None
    return Action(kind, record, expected)


def _on_outcome_write_resolved(call: Call, event: Event, rules: Rules) -> Step:
    del event, rules
    if call.outcome == "done":
        return end(call, "ok", call.token)
    return end(call, call.outcome)


def _on_outcome_write_unknown(call: Call, event: Event, rules: Rules) -> Step:
    answered, _ = _on_outcome_write_resolved(call, event, rules)
    after = call._replace(
        phase="recording_answered",
        answer=answered.answer,
        answer_run=answered.answer_run,
        outcome_puts=call.outcome_puts + 1,
    )
    return after, _put_outcome(after, "answer_and_put", rules)


def _on_outcome_rewrite_unknown(call: Call, event: Event, rules: Rules) -> Step:
    if call.outcome_puts == rules.outcome_attempts:
        return _finish(call, event, rules)
    after = call._replace(outcome_puts=call.outcome_puts + 1)
    return after, _put_outcome(after, "put", rules)


def _finish(call: Call, event: Event, rules: Rules) -> Step:
    del event, rules
    return end(call, call.answer, call.answer_run)[0], None


TRANSITIONS: dict[tuple[str, str], Callable[[Call, Event, Rules], Step]] = {
    ("claiming", "store_answered"): _on_claim_written,
    ("claiming", "store_conflict"): _on_claim_conflict,
    ("claiming", "store_outcome_unknown"): _on_claim_unknown,
    ("reading", "store_answered"): _on_read,
    ("reading", "store_outcome_unknown"): _on_read_failed,
    ("calling", "service_answered"): _on_service_answered,
    ("calling", "service_not_sent"): _on_service_not_sent,
    ("calling", "service_outcome_unknown"): _on_service_unknown,
    ("recording", "store_answered"): _on_outcome_write_resolved,
    ("recording", "store_conflict"): _on_outcome_write_resolved,
    ("recording", "store_outcome_unknown"): _on_outcome_write_unknown,
    ("recording_answered", "store_answered"): _finish,
    ("recording_answered", "store_conflict"): _finish,
    (
        "recording_answered",
        "store_outcome_unknown",
    ): _on_outcome_rewrite_unknown,
}
