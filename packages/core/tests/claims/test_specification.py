"""Checks the claim protocol's specification and ties the code to it."""

import copy

import pytest

from packages.core.spec import claim_daemon
from packages.core.spec import claim_world
from packages.core.spec import search
from rattanpulley_core import claims
from rattanpulley_core import interfaces
from rattanpulley_core import results

SMALL = claim_daemon.Rules(
    claim_attempts=2, read_attempts=1, outcome_attempts=2
)
NO_FAULTS = claim_world.Faults(0, 0, 0, 0)


def explore(calls, faults, rules, state_limit=600_000):
    return search.search(
        claim_world.initial(calls, faults),
        lambda world: claim_world.successors(world, rules),
        claim_world.broken_invariant,
        state_limit,
    )


@pytest.mark.parametrize(
    ("calls", "faults"),
    [
        (2, claim_world.Faults(2, 1, 1, 1, stale_reads=True)),
        (3, claim_world.Faults(1, 0, 0, 0)),
        (3, claim_world.Faults(0, 0, 1, 1)),
    ],
)
def test_invariants_hold_in_every_state(calls, faults):
    # Guards against a protocol that runs an action twice, answers not_run for
    # an action that ran or records an outcome that no run had.
    result = explore(calls, faults, SMALL)
    assert result.broken is None, result.steps
    assert result.states > 10_000


@pytest.mark.parametrize(
    ("removed", "calls", "faults"),
    [
        ("read_back", 2, NO_FAULTS._replace(lost=2)),
        ("claim_first", 2, NO_FAULTS),
        ("conditional_create", 2, NO_FAULTS),
        ("conditional_outcome", 3, NO_FAULTS._replace(repeats=1)),
        ("pause_check", 1, NO_FAULTS._replace(settlements=1)),
        ("settle_wait", 1, NO_FAULTS._replace(settlements=1)),
        # Not a rule of the protocol but its assumption about pauses.
        ("bounded_send", 1, NO_FAULTS._replace(settlements=1)),
    ],
)
def test_every_rule_is_needed(removed, calls, faults):
    # Guards against a specification that holds because it checks nothing.
    assert explore(calls, faults, SMALL).broken is None
    result = explore(calls, faults, SMALL._replace(**{removed: False}))
    assert result.broken is not None


# The code and the specification, side by side.

MAX_CALL_S = 10.0
TOKENS = ("own", "other")
KINDS = {
    "store_answered": claims.StoreAnswered,
    "store_conflict": claims.StoreConflict,
    "store_unclear": claims.StoreOutcomeUnknown,
    "service_answered": claims.ServiceAnswered,
    "service_not_sent": claims.ServiceNotSent,
    "service_unknown": claims.ServiceOutcomeUnknown,
}
SERVED = interfaces.ServiceAnswer(200, (), b"served")
ORDER = interfaces.ServiceRequest("t", "u", "/", "POST", (), b"", 60.0, False)
RULES = claim_daemon.Rules(
    claim_attempts=claims.CLAIM_ATTEMPTS,
    read_attempts=claims.READ_ATTEMPTS,
    outcome_attempts=claims.OUTCOME_ATTEMPTS,
)


def test_transition_tables_have_the_same_entries():
    # Guards against a state or an event that only one of the two knows.
    specified = {
        (claims.CallState(state), KINDS[kind])
        for state, kind in claim_daemon.TRANSITIONS
    }
    assert specified == set(claims.TRANSITIONS)


def test_code_takes_the_specified_step_after_every_sequence_of_events():
    # Guards against code that differs from the specification that was checked.
    request = claims.ClaimRequest(
        "account", "key", "print", TOKENS[0], "entry-1", MAX_CALL_S, ORDER
    )
    code = claims.ClaimCall(request)
    actions = code.begin(0.0, 0.0)
    call, action = claim_daemon.begin(claim_daemon.Call(0), RULES)
    assert seen(actions) == specified_actions(call, action)
    pairs = 0
    open_pairs = [(code, call, False)]
    while open_pairs:
        code, call, late = open_pairs.pop()
        for event in events_of(call, late):
            after_code = copy.copy(code)
            now_s = 0.6 * MAX_CALL_S if event.late else 0.0
            actions = after_code.handle(code_event(event), now_s)
            after, action = claim_daemon.step(call, event, RULES)
            assert after_code.state.value == after.phase, (call, event)
            assert seen(actions) == specified_actions(after, action)
            pairs += 1
            if after.phase != "ended":
                open_pairs.append((after_code, after, event.late))
    assert pairs > 10_000


def events_of(call, late):
    for phase, kind in claim_daemon.TRANSITIONS:
        if phase != call.phase:
            continue
        for is_late in {late, True}:
            for version, record in contents(call, kind):
                yield claim_daemon.Event(kind, version, record, is_late)


def contents(call, kind):
    if kind != "store_answered" or call.phase != "reading":
        return [(call.expected + 1, None)]
    found = [(0, None)]
    for state in claims.ClaimState:
        for token in (0, 1):
            run = token if state is claims.ClaimState.DONE else -1
            record = claim_daemon.Record(token, state.value, run)
            found.append((call.expected + 3, record))
    return found


def code_event(event):
    if event.kind == "service_answered":
        return claims.ServiceAnswered(SERVED)
    if event.kind != "store_answered":
        return KINDS[event.kind]()
    if event.version == 0:
        return claims.StoreAnswered(None)
    record = event.record or claim_daemon.Record(0, "started")
    state = claims.ClaimState(record.state)
    done = state is claims.ClaimState.DONE
    outcome = claims.Outcome(200, (), b"", 0, EMPTY) if done else None
    token = TOKENS[record.token]
    stored = claims.ClaimRecord(
        token, "print", state, "entry-2", 0.0, MAX_CALL_S, outcome
    )
    value = claims.to_json(stored)
    return claims.StoreAnswered(
        interfaces.StoredObject("key", value, event.version, 1)
    )


EMPTY = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"


def seen(actions):
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
