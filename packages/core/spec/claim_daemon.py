"""Specification of the claim protocol: what a daemon does.

`step` is a pure function from a call and an event to the call and one action.
The states, events and limits have the names of `rattanpulley_core.claims`; a
test runs this function and the code side by side over every sequence of
events.
"""

from collections.abc import Callable
from typing import NamedTuple

REPEATABLE = ("not_run", "settled_not_run")
NOBODY = -1


class Rules(NamedTuple):
    """Parts of the protocol, each of which can be removed, and its limits."""

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
    """Value of the claim object; `outcome` names the run that was recorded."""

    token: int
    state: str
    outcome: int = NOBODY


class Event(NamedTuple):
    """What a call is told; `late` means that the time to start has passed."""

    kind: str
    version: int = 0
    record: Record | None = None
    late: bool = False


class Action(NamedTuple):
    """What a call does: `put`, `get`, `call`, `answer` or `answer_and_put`."""

    kind: str
    record: Record | None = None
    expected: int | None = None


class Call(NamedTuple):
    """One call of the action by a caller, at one daemon.

    Attributes:
        token: Number of the call, the token of its claim.
        phase: `CallState` of the code.
        sending: How far the request is: "", "decided", "committed" (the clock
            was checked, no byte has left) or "sent".
        claim_puts: Writes of the claim so far.
        unclear_reads: Reads in a row without a clear answer.
        outcome_puts: Writes of the outcome so far.
        expected: Version that the next write expects.
        conflicted: Whether the store reported a conflict.
        outcome: State to record.
        answer: Run state that the caller was told, "ok" with an outcome.
        answer_run: Run whose outcome the caller got.
        age: 0 may start, 1 too late to start, 2 may be settled.
        runs: How often the service ran the action for this claim.
    """

    token: int
    phase: str = "new"
    sending: str = ""
    claim_puts: int = 0
    unclear_reads: int = 0
    outcome_puts: int = 0
    expected: int = 0
    conflicted: bool = False
    outcome: str = ""
    answer: str = ""
    answer_run: int = NOBODY
    age: int = 0
    runs: int = 0


Step = tuple[Call, Action | None]


def begin(call: Call, rules: Rules) -> Step:
    """Starts a call."""
    if rules.claim_first:
        return _put_claim(call, rules)
    return _start(call, Event("begin"), rules)


def step(call: Call, event: Event, rules: Rules) -> Step:
    """Takes one event; an unlisted one is an error of the specification."""
    return TRANSITIONS[(call.phase, event.kind)](call, event, rules)


def end(call: Call, answer: str, run: int = NOBODY) -> Step:
    """Ends a call with an answer and forgets what no longer matters."""
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


def _written(call: Call, event: Event, rules: Rules) -> Step:
    return _start(call._replace(expected=event.version), event, rules)


def _conflict(call: Call, event: Event, rules: Rules) -> Step:
    return _read(call._replace(conflicted=True), event, rules)


def _unclear(call: Call, event: Event, rules: Rules) -> Step:
    if not rules.read_back:
        claimed = call._replace(expected=call.expected + 1)
        return _start(claimed, event, rules)
    return _read(call, event, rules)


def _read(call: Call, event: Event, rules: Rules) -> Step:
    del event, rules
    return call._replace(phase="reading", unclear_reads=0), Action("get")


def _read_unclear(call: Call, event: Event, rules: Rules) -> Step:
    del event
    reads = call.unclear_reads + 1
    if reads == rules.read_attempts:
        return _refuse(call)
    return call._replace(unclear_reads=reads), Action("get")


def _read_answered(call: Call, event: Event, rules: Rules) -> Step:
    record = event.record
    if record is None:
        return _put_claim(call._replace(expected=0), rules)
    if record.token == call.token:
        if record.state == "started":
            return _written(call, event, rules)
        if record.state in REPEATABLE:
            return end(call, "not_run")
    elif record.state in REPEATABLE:
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


def _answered(call: Call, event: Event, rules: Rules) -> Step:
    del event
    return _record(call, "done", rules)


def _not_sent(call: Call, event: Event, rules: Rules) -> Step:
    del event
    return _record(call, "not_run", rules)


def _unknown(call: Call, event: Event, rules: Rules) -> Step:
    del event
    return _record(call, "unknown", rules)


def _record(call: Call, outcome: str, rules: Rules) -> Step:
    after = call._replace(
        phase="recording", sending="", outcome=outcome, outcome_puts=1
    )
    return after, _put_outcome(after, "put", rules)


def _put_outcome(call: Call, kind: str, rules: Rules) -> Action:
    run = call.token if call.outcome == "done" else NOBODY
    record = Record(call.token, call.outcome, run)
    expected = call.expected if rules.conditional_outcome else None
    return Action(kind, record, expected)


def _recorded(call: Call, event: Event, rules: Rules) -> Step:
    del event, rules
    if call.outcome == "done":
        return end(call, "ok", call.token)
    return end(call, call.outcome)


def _record_unclear(call: Call, event: Event, rules: Rules) -> Step:
    answered, _ = _recorded(call, event, rules)
    after = call._replace(
        phase="recording_answered",
        answer=answered.answer,
        answer_run=answered.answer_run,
        outcome_puts=call.outcome_puts + 1,
    )
    return after, _put_outcome(after, "answer_and_put", rules)


def _late_unclear(call: Call, event: Event, rules: Rules) -> Step:
    if call.outcome_puts == rules.outcome_attempts:
        return _finish(call, event, rules)
    after = call._replace(outcome_puts=call.outcome_puts + 1)
    return after, _put_outcome(after, "put", rules)


def _finish(call: Call, event: Event, rules: Rules) -> Step:
    del event, rules
    return end(call, call.answer, call.answer_run)[0], None


TRANSITIONS: dict[tuple[str, str], Callable[[Call, Event, Rules], Step]] = {
    ("claiming", "store_answered"): _written,
    ("claiming", "store_conflict"): _conflict,
    ("claiming", "store_unclear"): _unclear,
    ("reading", "store_answered"): _read_answered,
    ("reading", "store_unclear"): _read_unclear,
    ("calling", "service_answered"): _answered,
    ("calling", "service_not_sent"): _not_sent,
    ("calling", "service_unknown"): _unknown,
    ("recording", "store_answered"): _recorded,
    ("recording", "store_conflict"): _recorded,
    ("recording", "store_unclear"): _record_unclear,
    ("recording_answered", "store_answered"): _finish,
    ("recording_answered", "store_conflict"): _finish,
    ("recording_answered", "store_unclear"): _late_unclear,
}
