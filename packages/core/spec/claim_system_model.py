"""Specification of the claim protocol: the system around the calls.

Models one key, several calls with it at independent daemons, and their
environment: the store (delayed, repeated and lost messages, stale reads), the
service (delayed requests, lost answers), pauses and crashes of daemons, and an
operator.

The number of calls and the counts in `FaultBudget` are bounded. Orders and
delays are not. A pause is modeled as time that passes for a call (`age`)
without a step of its daemon.
"""

from collections.abc import Iterator
from typing import NamedTuple

from packages.core.spec import claim_call_model as call_model

OPERATOR = -2
_OPEN = ("started", "unknown")
_WAITING = ("claiming", "recording", "recording_answered")


class FaultBudget(NamedTuple):
    """How often each fault may still occur.

    Attributes:
        lost_answers: Lost answers of the store or the service.
        crashes: Crashes of a daemon during a call.
        repeats: Writes that the store receives twice.
        settlements: Settlements by the operator.
        stale_reads: Whether reads may return old versions, without limit.
    """

    lost_answers: int = 2
    crashes: int = 1
    repeats: int = 1
    settlements: int = 1
    stale_reads: bool = False


class Put(NamedTuple):
    """A write in transit to the store.

    Attributes:
        sender: Token of the call, or `OPERATOR`.
        number: Number of the write among those of the call.
        expected: Expected version; None for an unconditional write.
        record: Value to write.
    """

    sender: int
    number: int
    expected: int | None
    record: call_model.Record


class SystemState(NamedTuple):
    """State of the whole system.

    Attributes:
        calls: Calls by token.
        history: All records that the object has held; their number is its
            version.
        to_store: Writes in transit.
        to_service: Tokens of the requests in transit.
        faults: Faults that may still occur.
    """

    calls: tuple[call_model.Call, ...]
    history: tuple[call_model.Record, ...] = ()
    to_store: frozenset[Put] = frozenset()
    to_service: frozenset[int] = frozenset()
    faults: FaultBudget = FaultBudget()


Steps = Iterator[tuple[str, SystemState]]


def initial(calls: int, faults: FaultBudget) -> SystemState:
    """Returns the state before any call."""
    new = tuple(call_model.Call(token) for token in range(calls))
    return SystemState(new, faults=faults)


def find_violation(state: SystemState) -> str | None:
    """Describes an invariant that the state violates, or returns None."""
    if sum(call.runs for call in state.calls) > 1:
        return "the action ran twice"
    for call in state.calls:
        if call.answer == "not_run" and call.runs:
            return "a call that was answered not_run ran"
        if call.answer == "ok" and not state.calls[call.answer_run].runs:
            return "an answer is not the outcome of a run"
    for record in state.history[-1:]:
        runs = state.calls[record.token].runs
        if record.state == "done" and (
            record.outcome != record.token or not runs
        ):
            return "a recorded outcome is not the outcome of the run"
        if record.state in call_model.REPEATABLE_STATES and runs:
            return "a claim that is recorded as not run ran"
    return None


def successors(state: SystemState, rules: call_model.Rules) -> Steps:
    """Yields the name and the next state of every possible step."""
    for call in state.calls:
        if call.phase == "new":
            # Calls are interchangeable, so they start in a fixed order.
            yield f"call {call.token} begins", _begin(state, call, rules)
            break
        yield from _call_steps(state, call, rules)
    for put in state.to_store:
        yield from _deliver(state, put, rules)
    for token in state.to_service:
        yield f"service runs call {token}", _run(state, token)
    yield from _operator_steps(state, rules)


def _begin(
    state: SystemState, call: call_model.Call, rules: call_model.Rules
) -> SystemState:
    return _apply(state, call_model.begin(call, rules))


def _handle_event(
    state: SystemState,
    call: call_model.Call,
    event: call_model.Event,
    rules: call_model.Rules,
) -> SystemState:
    event = event._replace(late=call.age > 0)
    return _apply(state, call_model.step(call, event, rules))


def _apply(state: SystemState, step: call_model.Step) -> SystemState:
    call, action = step
    state = _with_call(state, call)
    if action is not None and action.kind in ("put", "answer_and_put"):
        assert action.record is not None
        number = call.claim_puts + call.outcome_puts
        put = Put(call.token, number, action.expected, action.record)
        state = state._replace(to_store=state.to_store | {put})
    return _drop_obsolete_puts(state)


def _with_call(state: SystemState, call: call_model.Call) -> SystemState:
    calls = list(state.calls)
    calls[call.token] = call
    return state._replace(calls=tuple(calls))


def _drop_obsolete_puts(state: SystemState) -> SystemState:
    """Removes writes that can neither take effect nor be answered."""
    version = len(state.history)
    remaining = frozenset(
        put
        for put in state.to_store
        if put.expected in (None, version) or _awaits_answer(state, put)
    )
    return state._replace(to_store=remaining)


def _awaits_answer(state: SystemState, put: Put) -> bool:
    if put.sender == OPERATOR:
        return False
    call = state.calls[put.sender]
    number = call.claim_puts + call.outcome_puts
    return call.phase in _WAITING and number == put.number


def _consume_lost_answer(state: SystemState) -> SystemState:
    faults = state.faults
    return state._replace(
        faults=faults._replace(lost_answers=faults.lost_answers - 1)
    )


def _call_steps(
    state: SystemState, call: call_model.Call, rules: call_model.Rules
) -> Steps:
    name = f"call {call.token}"
    if _can_age(state, call, rules):
        older = _with_call(state, call._replace(age=call.age + 1))
        yield f"{name} ages to {call.age + 1}", older
    if call.phase == "ended":
        return
    if state.faults.crashes:
        yield f"{name} crashes", _crash(state, call)
    if call.phase == "calling":
        yield from _service_steps(state, call, rules)
        return
    if call.phase == "reading":
        yield from _read_steps(state, call, rules)
    if state.faults.lost_answers:
        outcome_unknown = call_model.Event("store_outcome_unknown")
        yield (
            f"{name} gets no answer from the store",
            _handle_event(
                _consume_lost_answer(state), call, outcome_unknown, rules
            ),
        )


def _can_age(
    state: SystemState, call: call_model.Call, rules: call_model.Rules
) -> bool:
    if call.age == 2:
        return False
    if rules.bounded_send and call.sending == "committed":
        # Assumption: a pause between the last clock check and the first byte is
        # shorter than the time that the operator waits.
        return call.age == 0
    holds = bool(state.history) and state.history[-1].token == call.token
    return (
        call.phase in ("claiming", "reading", "calling")
        or (holds and state.history[-1].state in _OPEN)
        or any(put.sender == call.token for put in state.to_store)
    )


def _crash(state: SystemState, call: call_model.Call) -> SystemState:
    ended, _ = call_model.end(call, call.answer, call.answer_run)
    faults = state.faults._replace(crashes=state.faults.crashes - 1)
    return _drop_obsolete_puts(_with_call(state, ended)._replace(faults=faults))


def _read_steps(
    state: SystemState, call: call_model.Call, rules: call_model.Rules
) -> Steps:
    newest = len(state.history)
    oldest = 0 if state.faults.stale_reads else newest
    for version in range(oldest, newest + 1):
        record = state.history[version - 1] if version else None
        event = call_model.Event("store_answered", version, record)
        text = f"call {call.token} reads version {version}"
        yield text, _handle_event(state, call, event, rules)


def _service_steps(
    state: SystemState, call: call_model.Call, rules: call_model.Rules
) -> Steps:
    name = f"call {call.token}"
    not_sent = call_model.Event("service_not_sent")
    if call.sending == "decided" and call.age and rules.pause_check:
        yield f"{name} is too late", _handle_event(state, call, not_sent, rules)
    elif call.sending == "decided":
        committed = call._replace(sending="committed")
        yield f"{name} checks its clock", _with_call(state, committed)
    elif call.sending == "committed":
        sent = _with_call(state, call._replace(sending="sent"))
        in_transit = state.to_service | {call.token}
        yield f"{name} sends", sent._replace(to_service=in_transit)
        yield f"{name} cannot send", _handle_event(state, call, not_sent, rules)
    else:
        yield from _answer_steps(state, call, rules)


def _answer_steps(
    state: SystemState, call: call_model.Call, rules: call_model.Rules
) -> Steps:
    name = f"call {call.token}"
    if call.runs:
        answered = call_model.Event("service_answered")
        yield f"{name} is answered", _handle_event(state, call, answered, rules)
    if state.faults.lost_answers:
        unknown = call_model.Event("service_outcome_unknown")
        yield (
            f"{name} loses the service's answer",
            _handle_event(_consume_lost_answer(state), call, unknown, rules),
        )


def _run(state: SystemState, token: int) -> SystemState:
    call = state.calls[token]
    ran = _with_call(state, call._replace(runs=call.runs + 1))
    return ran._replace(to_service=state.to_service - {token})


def _deliver(state: SystemState, put: Put, rules: call_model.Rules) -> Steps:
    written = put.expected in (None, len(state.history))
    name = f"store {'accepts' if written else 'refuses'} {put.record}"
    after = state._replace(to_store=state.to_store - {put})
    if written:
        after = after._replace(history=(*state.history, put.record))
    if _awaits_answer(state, put):
        kind = "store_answered" if written else "store_conflict"
        event = call_model.Event(kind, len(after.history))
        call = after.calls[put.sender]
        yield name, _handle_event(after, call, event, rules)
    if not _awaits_answer(state, put) or state.faults.lost_answers:
        yield f"{name} without an answer", _drop_obsolete_puts(after)
    if state.faults.repeats and written:
        faults = state.faults._replace(repeats=state.faults.repeats - 1)
        kept = after._replace(to_store=state.to_store, faults=faults)
        yield f"{name} and a copy stays", _drop_obsolete_puts(kept)


def _operator_steps(state: SystemState, rules: call_model.Rules) -> Steps:
    if not state.history or not state.faults.settlements:
        return
    record = state.history[-1]
    call = state.calls[record.token]
    if record.state not in _OPEN or (rules.settle_wait and call.age < 2):
        return
    yield "operator settles as run", _settle(state, "settled_run")
    # The operator has checked the service: the action did not run and no
    # request is in transit.
    if not call.runs and call.token not in state.to_service:
        yield "operator settles as not run", _settle(state, "settled_not_run")


def _settle(state: SystemState, settled_state: str) -> SystemState:
    faults = state.faults._replace(settlements=state.faults.settlements - 1)
    record = state.history[-1]._replace(state=settled_state)
    put = Put(OPERATOR, 0, len(state.history), record)
    return state._replace(to_store=state.to_store | {put}, faults=faults)
