"""Tests claim records and their settlement by operators."""

import dataclasses

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from packages.core.tests.claims import fakes
from rattanpulley_core import claims
from rattanpulley_core import interfaces

KEY = claims.claim_key("account", "key")
RECORD = claims.ClaimRecord(
    "token", "print", claims.ClaimState.STARTED, "entry-1", 1000.0, 10.0
)
AFTER_S = 1000.0 + 10.0 + claims.SETTLE_MARGIN_S


def store_with(state=claims.ClaimState.STARTED, **fields):
    store = fakes.FakeStore()
    record = dataclasses.replace(RECORD, state=state, **fields)
    store.put(KEY, claims.to_json(record), 0)
    return store


def settle(store, as_run=False, wall_s=AFTER_S):
    return claims.settle(store, KEY, as_run, "ada", wall_s, "looked at the log")


def stored(store):
    return claims.from_json(store.get(KEY).value)


@pytest.mark.parametrize(
    "state", [claims.ClaimState.STARTED, claims.ClaimState.UNKNOWN]
)
@pytest.mark.parametrize("as_run", [True, False])
def test_settlement_and_audit_entry_are_one_write(state, as_run):
    # Guards against a crash that leaves a settlement without its audit entry.
    store = store_with(state)
    settled = settle(store, as_run)
    assert store.writes == 2
    assert stored(store) == settled
    entry = settled.audit[-1]
    assert (entry.who, entry.before, entry.after) == (
        "ada",
        state,
        settled.state,
    )


def test_running_call_is_not_settled():
    # Guards against a settlement while the call can still start or run.
    store = store_with()
    with pytest.raises(claims.SettlementRefusedError, match="in 1 s"):
        settle(store, wall_s=AFTER_S - 1)
    assert store.writes == 1


@pytest.mark.parametrize(
    "state",
    [
        state
        for state in claims.ClaimState
        if state not in (RECORD.state, claims.ClaimState.UNKNOWN)
    ],
)
def test_known_outcome_is_not_settled(state):
    # Guards against an operator overwriting a known outcome.
    done = state is claims.ClaimState.DONE
    outcome = claims.Outcome(200, (), None, 9, "") if done else None
    store = store_with(state, outcome=outcome)
    with pytest.raises(claims.SettlementRefusedError, match=state.value):
        settle(store)


def test_lost_answer_of_a_settlement_is_read_back():
    # Guards against reporting a settlement that took effect as failed.
    store = store_with()
    store.script = ["ok", "lost_after"]
    assert settle(store).state is claims.ClaimState.SETTLED_NOT_RUN


@pytest.mark.parametrize("last", [["down"], ["lost_after", "down"]])
def test_unconfirmed_settlement_is_reported_as_unclear(last):
    # Guards against reporting an unconfirmed settlement as made or refused.
    store = store_with()
    store.script = ["ok", *last]
    with pytest.raises(claims.SettlementOutcomeUnknownError):
        settle(store)


def test_concurrent_change_refuses_the_settlement():
    # Guards against a settlement that overwrites a concurrent outcome.
    store = store_with()
    store.script = ["ok", "conflict"]
    with pytest.raises(claims.SettlementRefusedError, match="same time"):
        settle(store)


def test_absent_and_unreadable_claims_are_refused():
    # Guards against settling a record that cannot be parsed.
    store = fakes.FakeStore()
    with pytest.raises(claims.SettlementRefusedError, match="no such claim"):
        settle(store)
    store.put(KEY, {"schema": 1, "state": "new_state"}, 0)
    with pytest.raises(claims.SettlementRefusedError, match="not a claim"):
        settle(store)


def test_list_shows_open_overdue_and_unreadable_claims():
    # Guards against an unknown outcome that operators do not see.
    store = fakes.FakeStore()
    states = {"a": "started", "b": "unknown", "c": "not_run"}
    for name, state in states.items():
        record = dataclasses.replace(RECORD, state=claims.ClaimState(state))
        store.put(f"claims/{name}", claims.to_json(record), 0)
    store.put("claims/d", "text", 0)
    running = claims.list_unknown(store, 1005.0)
    assert [row.key for row in running] == ["claims/b", "claims/d"]
    rows = claims.list_unknown(store, 1011.0)
    assert [row.key[-1] for row in rows] == ["a", "b", "d"]
    assert [row.settle_from_wall_s for row in rows[:2]] == [AFTER_S, AFTER_S]


def test_settled_not_run_lets_the_key_run_again_and_keeps_the_audit():
    # Guards against a claim that drops the audit entries of its key.
    store = store_with(extra={"later_field": {"a": [1]}})
    settle(store)
    service = fakes.ScriptedService()
    answer = fakes.run_call(store, service, token="next")
    assert answer.response == fakes.SERVICE_ANSWER
    record = stored(store)
    assert record.token == "next"
    assert [entry.who for entry in record.audit] == ["ada"]
    assert record.extra == {"later_field": {"a": [1]}}


texts = strategies.text(max_size=8)


@settings(derandomize=True, deadline=None, max_examples=60)
@given(texts, texts, texts, texts)
def test_different_callers_have_different_safe_keys(a, b, c, d):
    # Guards against accounts whose keys collide or leave the claims prefix.
    first, second = claims.claim_key(a, b), claims.claim_key(c, d)
    assert (first == second) == ((a, b) == (c, d))
    prefix, account, digest = first.split("/")
    assert prefix == "claims"
    assert account
    assert set(account + digest) <= set(fakes.SAFE_CHARACTERS)


@settings(derandomize=True, deadline=None, max_examples=60)
@given(strategies.binary(max_size=40), strategies.text(max_size=8))
def test_records_round_trip_through_json(body, name):
    # Guards against an answer that is not replayed byte for byte.
    answer = interfaces.ServiceAnswer(201, ((name, name),), body)
    outcome = claims.outcome_from_answer(answer)
    done = claims.ClaimState.DONE
    record = dataclasses.replace(
        RECORD, state=done, outcome=outcome, extra={"x_new": [name]}
    )
    assert claims.from_json(fakes.round_trip_json(claims.to_json(record))) == (
        record
    )


def test_fingerprint_separates_its_parts():
    # Guards against two requests that share a fingerprint by concatenation.
    assert claims.request_fingerprint("a", "bc", "", b"") != (
        claims.request_fingerprint("ab", "c", "", b"")
    )
