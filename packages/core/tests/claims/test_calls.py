"""Tests of claimed calls: a state machine and golden sessions."""

import collections
import pathlib

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies
import pytest

from packages.core.tests.claims import fakes
from rattanpulley_core import claims
from rattanpulley_core import interfaces
from rattanpulley_core import results

GOLDEN = pathlib.Path(__file__).with_name("golden_sessions.txt")
STORE_FAULTS = ["ok", "ok", "ok", "down", "lost_after", "late", "stale"]
SERVICE_ENDS = ["ok", "ok", "not_sent", "lost", "runs_later"]
NOT_RUN = results.RunState.NOT_RUN


class CallsOfOneKey(stateful.RuleBasedStateMachine):
    """Interleaves calls of one key with faults of store, service and daemon."""

    def __init__(self):
        super().__init__()
        self.store = fakes.ModelStore()
        self.begun = 0
        self.now_s = 0.0
        self.open_calls = []
        self.runs_by_token = collections.Counter()
        self.later_runs = []
        self.answers_by_token = {}

    def _take(self, call, token, actions):
        for action in actions:
            if isinstance(action, claims.Answer):
                assert token not in self.answers_by_token
                self.answers_by_token[token] = action
            else:
                self.open_calls.append((call, token, action))

    @stateful.rule()
    def begin(self):
        self.begun += 1
        token = f"token-{self.begun}"
        call = claims.ClaimCall(fakes.request(token))
        self._take(call, token, call.begin(self.now_s, 1000.0 + self.now_s))

    @stateful.precondition(lambda self: self.open_calls)
    @stateful.rule(
        index=strategies.integers(0, 9),
        results_of_steps=strategies.lists(
            strategies.tuples(
                strategies.sampled_from(STORE_FAULTS),
                strategies.sampled_from(SERVICE_ENDS),
            ),
            min_size=1,
            max_size=6,
        ),
    )
    def go_on(self, index, results_of_steps):
        call, token, action = self.open_calls.pop(index % len(self.open_calls))
        for fault, end in results_of_steps:
            if isinstance(action, claims.CallService):
                event = self._serve(token, action, end)
            else:
                event = self._store(action, fault)
            self._take(call, token, call.handle(event, self.now_s))
            if call.state is claims.CallState.ENDED:
                return
            _, _, action = self.open_calls.pop()
        self.open_calls.append((call, token, action))

    def _store(self, action, fault):
        self.store.script = [fault]
        try:
            if isinstance(action, claims.StoreGet):
                return claims.StoreAnswered(self.store.get(action.key))
            return claims.StoreAnswered(
                self.store.put(
                    action.key, action.value, action.expected_version
                )
            )
        except interfaces.StoreConflictError:
            return claims.StoreConflict()
        except interfaces.StoreUnavailableError:
            return claims.StoreOutcomeUnknown()

    def _serve(self, token, action, end):
        assert action.order.fresh_connection
        if end == "not_sent" or self.now_s > action.start_by_s:
            return claims.ServiceNotSent()
        if end == "runs_later":
            self.later_runs.append(token)
            return claims.ServiceOutcomeUnknown()
        self.runs_by_token[token] += 1
        if end == "lost":
            return claims.ServiceOutcomeUnknown()
        body = token.encode()
        return claims.ServiceAnswered(interfaces.ServiceAnswer(200, (), body))

    @stateful.precondition(lambda self: self.open_calls)
    @stateful.rule()
    def oldest_call_loses_its_daemon(self):
        self.open_calls.pop(0)

    @stateful.precondition(lambda self: self.later_runs)
    @stateful.rule()
    def service_runs_a_delayed_request(self):
        self.runs_by_token[self.later_runs.pop()] += 1

    @stateful.rule(seconds=strategies.sampled_from([0.5, 0.5, 6.0, 80.0]))
    def time_passes(self, seconds):
        self.now_s += seconds

    @stateful.rule(lost=strategies.booleans())
    def operator_settles_what_is_open(self, lost):
        self.store.script = []
        wall_s = 1000.0 + self.now_s
        for row in claims.list_unknown(self.store, wall_s):
            token = row.record.token
            if wall_s < row.settle_from_wall_s or token in self.later_runs:
                continue
            self.store.script = ["ok", "lost_after" if lost else "ok"]
            ran = self.runs_by_token[token] > 0
            late_before = len(self.store.late)
            try:
                claims.settle(
                    self.store, row.key, ran, "ada", wall_s, "checked"
                )
            except claims.SettlementRefusedError:
                # The refusal is right if a delayed write changed the record
                # after it was listed.
                was_delivered = len(self.store.late) < late_before
                history = self.store.history_by_key[row.key]
                if not was_delivered or len(history) == row.version:
                    raise

    @stateful.invariant()
    def the_action_runs_at_most_once(self):
        assert sum(self.runs_by_token.values()) <= 1

    @stateful.invariant()
    def answers_and_records_are_true(self):
        for token, answer in self.answers_by_token.items():
            if answer.run_state is NOT_RUN:
                assert not self.runs_by_token[token]
            if answer.response is not None:
                assert self.runs_by_token[answer.response.body.decode()] == 1
        for history in self.store.history_by_key.values():
            for record in map(claims.from_json, history[-1:]):
                self._check_record(record)

    def _check_record(self, record):
        runs = self.runs_by_token[record.token]
        if record.outcome is not None:
            assert record.outcome.body == record.token.encode()
            assert runs == 1
        if record.state in (
            claims.ClaimState.NOT_RUN,
            claims.ClaimState.SETTLED_NOT_RUN,
        ):
            assert runs == 0


CallsOfOneKey.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=1200, stateful_step_count=30
)
# Guards against interleavings that run an action twice or answer untruly.
TestCallsOfOneKey = CallsOfOneKey.TestCase


# Golden sessions: name, faults of the store, ends of the service's calls,
# steps of the clock, and the fingerprints of the calls of one key.
SESSIONS = [
    ("first call and replay", [], [], [], ["f", "f"]),
    ("key reused for another body", [], [], [], ["f", "g"]),
    ("claim written, answer lost", ["lost_after"], [], [], ["f"]),
    ("claim lost", ["down"], [], [], ["f"]),
    ("claim lost, repeated claim overtaken", ["late", "ok"], [], [], ["f"]),
    ("store down", ["down"] * 3, [], [], ["f"]),
    ("claim lost three times", ["down", "ok"] * 3, [], [], ["f"]),
    ("conflict and no readable record", ["ok"] * 3 + ["down"] * 2, [], [],
     ["f", "f"]),
    ("service not reached, then again", [], ["not_sent"], [], ["f", "f"]),
    ("service's answer lost", [], ["unknown"], [], ["f", "f"]),
    ("outcome write lost", ["ok", "down", "ok"], [], [], ["f", "f"]),
    ("outcome never written", ["ok"] + ["down"] * 3, [], [], ["f", "f"]),
    ("overdue claim", ["ok"] + ["down"] * 3, [], [0] * 6 + [11], ["f", "f"]),
    ("pause after the claim", [], [], [0, 5.1], ["f", "f"]),
    ("pause before the call", [], [], [0, 0, 5.1], ["f"]),
    ("stale read of the claim", ["ok"] * 3 + ["stale"], [], [], ["f", "f"]),
]  # fmt: skip


class Transcript(interfaces.ObjectStore):
    """Store that notes each call and its result."""

    def __init__(self, store, lines):
        self.store = store
        self.lines = lines

    def _note(self, text, function, *arguments):
        try:
            stored = function(*arguments)
        except interfaces.StoreError as error:
            self.lines.append(f"  {text}: {type(error).__name__}")
            raise
        found = f"version {stored.version}" if stored else "absent"
        if stored and text == "get":
            found += f" {stored.value['state']} {stored.value['token']}"
        self.lines.append(f"  {text}: {found}")
        return stored

    def get(self, key):
        return self._note("get", self.store.get, key)

    def put(self, key, value, expected_version):
        text = f"put {value['state']} {value['token']} if {expected_version}"
        return self._note(text, self.store.put, key, value, expected_version)

    delete = list_objects = watch = None


def play(name, faults, ends, steps_s, fingerprints):
    lines = [name]
    store = fakes.ModelStore()
    store.script = list(faults)
    service = fakes.ScriptedService(ends)
    clock = fakes.StepClock(steps_s=steps_s)
    for number, fingerprint in enumerate(fingerprints):
        answer = fakes.run_call(
            Transcript(store, lines),
            service,
            clock,
            lambda given: lines.append(f"  deliver {int(given.code)}"),
            token=f"t{number}",
            fingerprint=fingerprint,
        )
        lines.append(f"  answer {answer.run_state.value} {answer.message!r}")
        if answer.response is not None:
            lines.append(f"  response {answer.response}")
    lines.append(f"  the service ran {service.runs} times")
    return "\n".join(lines) + "\n"


def test_sessions_equal_the_golden_file():
    # Guards against an unnoticed change of what stores and callers see.
    played = [play(*session) for session in SESSIONS]
    assert GOLDEN.read_text(encoding="utf-8") == "\n".join(played)


@pytest.mark.parametrize("key", [None, ""])
def test_call_without_key_touches_nothing(key):
    # Guards against an action that could not be claimed.
    store, service = fakes.ModelStore(), fakes.ScriptedService()
    answer = fakes.run_call(store, service, key=key)
    assert answer.code is results.ResultCode.IDEMPOTENCY_KEY_REQUIRED
    assert (store.writes, service.runs) == (0, 0)


def test_service_gets_only_the_time_that_the_claim_leaves():
    # Guards against a call that outlives the operator's wait.
    service = fakes.ScriptedService()
    clock = fakes.StepClock(steps_s=[0, 4])
    fakes.run_call(fakes.ModelStore(), service, clock)
    assert service.orders[0].timeout_s == 6.0
    assert service.orders[0].fresh_connection


def test_large_answer_is_recorded_by_its_digest():
    # Guards against a record that the store rejects for its size.
    body = b"x" * (claims.OUTCOME_LIMIT_BYTES + 1)
    answer = interfaces.ServiceAnswer(200, (), body)
    outcome = claims.outcome_from_answer(answer)
    assert (outcome.body, outcome.body_bytes) == (None, len(body))
    store = fakes.ModelStore()
    done = claims.ClaimRecord(
        "t", "print", claims.ClaimState.DONE, "d", 0.0, 10.0, outcome
    )
    store.put(claims.claim_key("account", "key"), claims.to_json(done), 0)
    repeat = fakes.run_call(store, fakes.ScriptedService(), token="t2")
    assert repeat.run_state is results.RunState.RAN
    assert outcome.digest in repeat.message


def test_unreadable_record_is_not_overwritten():
    # Guards against a new claim over the record of a newer daemon.
    store = fakes.ModelStore()
    store.put(claims.claim_key("account", "key"), {"schema": 9}, 0)
    answer = fakes.run_call(store, fakes.ScriptedService())
    assert answer.code is results.ResultCode.OUTCOME_UNKNOWN
    assert store.writes == 1
