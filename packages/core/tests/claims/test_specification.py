"""Checks the specification of the claim protocol and the code against it."""

import copy

import pytest

from packages.core.spec import claim_call_model
from packages.core.spec import claim_system_model
from packages.core.spec import search
from rattanpulley_core import claims
from rattanpulley_core import interfaces
from rattanpulley_core import results

SMALL_LIMITS = claim_call_model.Rules(
    claim_attempts=2, read_attempts=1, outcome_attempts=2
)
NO_FAULTS = claim_system_model.FaultBudget(0, 0, 0, 0)


def explore(calls, faults, rules, state_limit=600_000):
    return search.search(
        claim_system_model.initial(calls, faults),
        lambda state: claim_system_model.successors(state, rules),
        claim_system_model.find_violation,
        state_limit,
    )


@pytest.mark.parametrize(
    ("calls", "faults"),
    [
        (2, claim_system_model.FaultBudget(2, 1, 1, 1, stale_reads=True)),
        (3, claim_system_model.FaultBudget(1, 0, 0, 0)),
        (3, claim_system_model.FaultBudget(0, 0, 1, 1)),
    ],
)
def test_invariants_hold_in_every_state(calls, faults):
    # Guards against a protocol that runs an action twice, answers not_run for
    # an action that ran, or records an outcome that no run had.
    result = explore(calls, faults, SMALL_LIMITS)
    assert result.violation is None, result.steps
    assert result.states > 10_000


@pytest.mark.parametrize(
    ("removed", "calls", "faults"),
    [
        ("read_back", 2, NO_FAULTS._replace(lost_answers=2)),
        ("claim_first", 2, NO_FAULTS),
        ("conditional_create", 2, NO_FAULTS),
        ("conditional_outcome", 3, NO_FAULTS._replace(repeats=1)),
        ("pause_check", 1, NO_FAULTS._replace(settlements=1)),
        ("settle_wait", 1, NO_FAULTS._replace(settlements=1)),
        # Not a rule of the protocol but an assumption about pauses.
        ("bounded_send", 1, NO_FAULTS._replace(settlements=1)),
    ],
)
def test_every_rule_is_required(removed, calls, faults):
    # Guards against invariants that hold because they check nothing.
    assert explore(calls, faults, SMALL_LIMITS).violation is None
    result = explore(calls, faults, SMALL_LIMITS._replace(**{removed: False}))
    assert result.violation is not None


# Comparison of the code with the specification.

MAX_CALL_S = 10.0
TOKENS = ("own", "other")
EVENT_TYPES = {
    "store_answered": claims.StoreAnswered,
    "store_conflict": claims.StoreConflict,
    "store_outcome_unknown": claims.StoreOutcomeUnknown,
    "service_answered": claims.ServiceAnswered,
    "service_not_sent": claims.ServiceNotSent,
    "service_outcome_unknown": claims.ServiceOutcomeUnknown,
}
SERVICE_ANSWER = interfaces.ServiceAnswer(200, (), b"served")
ORDER = interfaces.ServiceRequest("t", "u", "/", "POST", (), b"", 60.0, False)
RULES = claim_call_model.Rules(
    claim_attempts=claims.CLAIM_ATTEMPTS,
    read_attempts=claims.READ_ATTEMPTS,
    outcome_attempts=claims.OUTCOME_ATTEMPTS,
)


def test_transition_tables_have_the_same_entries():
    # Guards against a state or an event that only one of the two handles.
    specified = {
        (claims.CallState(state), EVENT_TYPES[kind])
        for state, kind in claim_call_model.TRANSITIONS
    }
    assert specified == set(claims.TRANSITIONS)


def test_code_matches_the_specification_after_every_sequence_of_events():
    # Guards against code that differs from the checked specification.
    request = claims.ClaimRequest(
        "account", "key", "print", TOKENS[0], "entry-1", MAX_CALL_S, ORDER
    )
    code = claims.ClaimCall(request)
    actions = code.begin(0.0, 0.0)
    call, action = claim_call_model.begin(claim_call_model.Call(0), RULES)
    assert observed_actions(actions) == specified_actions(call, action)
    step_count = 0
    unexplored = [(code, call, False)]
    while unexplored:
        code, call, late = unexplored.pop()
        for event in possible_events(call, late):
            after_code = copy.copy(code)
            now_s = 0.6 * MAX_CALL_S if event.late else 0.0
            actions = after_code.handle(to_code_event(event), now_s)
            after, action = claim_call_model.step(call, event, RULES)
            assert after_code.state.value == after.phase, (call, event)
            assert observed_actions(actions) == specified_actions(after, action)
            step_count += 1
            if after.phase != "ended":
                unexplored.append((after_code, after, event.late))
    assert step_count > 10_000


def possible_events(call, late):
    for phase, kind in claim_call_model.TRANSITIONS:
        if phase != call.phase:
            continue
        for is_late in {late, True}:
            for version, record in possible_reads(call, kind):
                yield claim_call_model.Event(kind, version, record, is_late)


def possible_reads(call, kind):
    if kind != "store_answered" or call.phase != "reading":
        return [(call.expected + 1, None)]
    found = [(0, None)]
    for state in claims.ClaimState:
        for token in (0, 1):
            run = token if state is claims.ClaimState.DONE else -1
            record = claim_call_model.Record(token, state.value, run)
            found.append((call.expected + 3, record))
    return found


def to_code_event(event):
    if event.kind == "service_answered":
        return claims.ServiceAnswered(SERVICE_ANSWER)
    if event.kind != "store_answered":
        return EVENT_TYPES[event.kind]()
    if event.version == 0:
        return claims.StoreAnswered(None)
    record = event.record or claim_call_model.Record(0, "started")
    state = claims.ClaimState(record.state)
    done = state is claims.ClaimState.DONE
    outcome = claims.Outcome(200, (), b"", 0, EMPTY_DIGEST) if done else None
    token = TOKENS[record.token]
    stored = claims.ClaimRecord(
        token, "print", state, "entry-2", 0.0, MAX_CALL_S, outcome
    )
    value = claims.to_json(stored)
    return claims.StoreAnswered(
        interfaces.StoredObject("key", value, event.version, 1)
    )


EMPTY_DIGEST = (
    "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"
)


def observed_actions(actions):
    found = []
    for action in actions:
        if isinstance(action, claims.StorePut):
            token, state = action.value["token"], action.value["state"]
            found.append(("put", token, state, action.expected_version))
        elif isinstance(action, claims.Answer):
            ok = action.code is results.ResultCode.OK
            found.append(("answer", "ok" if ok else action.run_state.value))
        else:
            found.append((type(action).__name__,))
    return found


def specified_actions(call, action):
    if action is None:
        return []
    found = []
    if action.kind in ("answer", "answer_and_put"):
        found.append(("answer", call.answer))
    if action.kind in ("put", "answer_and_put"):
        token = TOKENS[action.record.token]
        found.append(("put", token, action.record.state, action.expected))
    names = {"get": "StoreGet", "call": "CallService"}
    if action.kind in names:
        found.append((names[action.kind],))
    return found
