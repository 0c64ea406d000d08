"""Tests of the engine's batch, buffered answers, cost model and faults."""

import random

import pytest

from rattanpulley_standins._internal import serving
from rattanpulley_standins._internal.engine import completion_request
from rattanpulley_standins._internal.engine import engine as engine_lib

GENERATION_ID = "0123456789abcdef" * 2


class CrashedError(Exception):
    """Replaces the exit of the process."""


def crash():
    raise CrashedError


def make_engine(slots=8, **cost):
    return engine_lib.Engine(
        name="engine-1",
        version="v1",
        cost=engine_lib.CostModel(**cost),
        slots=slots,
        cache_blocks=64,
        rng=random.Random(1),
        exit_abruptly=crash,
    )


def make_request(**changes):
    body = {
        "model": "assistant",
        "version": "v1",
        "prompt": "length=5 hello",
        "stream": True,
        "max_tokens": 100,
        "seed": 1,
        "temperature": 0.5,
        "generation_id": GENERATION_ID,
        "attempt": 1,
        "resume_tokens": [],
        "priority": 0,
        **changes,
    }
    return completion_request.parse(body, "v1")


def run_to_end(engine, now_s=0.0):
    while engine.running() or engine.waiting():
        now_s = max(now_s, engine.next_wake_s())
        engine.step(now_s)
    return now_s


def prefix(count):
    return [f"{GENERATION_ID[:8]}.v1.{index} " for index in range(count)]


def test_a_resumed_answer_equals_an_uninterrupted_one():
    # Guards against tokens that depend on the engine or on the attempt.
    engine = make_engine()
    uninterrupted = engine.start(make_request(), 0.0)
    run_to_end(engine)
    engine = make_engine()
    resumed = engine.start(
        make_request(attempt=2, resume_tokens=prefix(3)), now_s=0.0
    )
    run_to_end(engine)
    assert uninterrupted.tokens == resumed.tokens == prefix(5)
    assert resumed.finish_reason == "stop"
    assert engine.stats.generated_tokens == 2


def test_a_complete_prefix_ends_without_a_new_token():
    # Guards against a token beyond the end of the answer.
    engine = make_engine()
    resumed = engine.start(make_request(resume_tokens=prefix(5)), 0.0)
    run_to_end(engine)
    assert len(resumed.tokens) == 5
    assert resumed.finish_reason == "stop"


@pytest.mark.parametrize(
    "changes",
    [
        {"resume_tokens": ["01234567.v1.1 "]},
        {"resume_tokens": ["01234567.v2.0 "]},
        {"resume_tokens": ["11234567.v1.0 "]},
        {"resume_tokens": ["01234567.v1.0"]},
        {"resume_tokens": prefix(6)},
        {"version": "v2"},
        {"stream": False},
        {"attempt": 0},
        {"max_tokens": True},
        {"temperature": float("nan")},
        {"generation_id": "x" * 32},
        {"unknown": 1},
    ],
)
def test_a_malformed_request_is_rejected(changes):
    # Guards against a stand-in that accepts what the protocol does not allow.
    with pytest.raises(serving.RequestError) as raised:
        make_request(**changes)
    assert raised.value.status == 422


def test_the_first_token_waits_for_the_uncached_prefix():
    # Guards against a wrong prefill time: 5 ms plus 0.05 ms for each word that
    # is not cached.
    engine = make_engine()
    prompt = " ".join(["word"] * 100)
    first = engine.start(make_request(prompt=prompt), 0.0)
    assert first.ready_at_s == pytest.approx(0.005 + 100 * 0.00005)
    second = engine.start(
        make_request(prompt=prompt, generation_id="f" * 32), now_s=0.0
    )
    # 96 of the 100 words form full blocks.
    assert second.ready_at_s == pytest.approx(0.005 + 4 * 0.00005)


def test_an_unread_generation_is_removed_after_the_grace_period():
    # Guards against an engine that generates without a reader, and against one
    # that removes a generation while a caller reconnects.
    engine = make_engine(grace_s=10.0)
    generation = engine.start(make_request(prompt="long"), 0.0)
    generation.add_reader(1)
    engine.step(50.0)
    generation.remove_reader(1, 50.0)
    engine.step(59.9)
    assert engine.get_generation(GENERATION_ID) is generation
    engine.step(60.1)
    with pytest.raises(serving.RequestError) as raised:
        engine.get_generation(GENERATION_ID)
    assert raised.value.status == 404


def test_a_cancel_is_ignored_while_a_newer_attempt_reads():
    # Guards against a late cancel that stops the newer attempt.
    engine = make_engine()
    generation = engine.start(make_request(), 0.0)
    generation.add_reader(2)
    assert not engine.cancel(GENERATION_ID, 1)
    assert engine.cancel(GENERATION_ID, 2)


def test_an_old_attempt_does_not_replace_a_newer_one():
    # Guards against a request that arrives after that of a newer attempt.
    engine = make_engine()
    engine.start(make_request(attempt=2), 0.0)
    with pytest.raises(serving.RequestError) as raised:
        engine.start(make_request(attempt=1), 0.0)
    assert raised.value.status == 409


def test_a_full_batch_queues_requests_by_priority():
    # Guards against an unlimited batch and against a queue in the wrong order.
    engine = make_engine(slots=1)
    engine.start(make_request(generation_id="0" * 32), 0.0)
    engine.start(make_request(generation_id="1" * 32), 0.0)
    urgent = engine.start(make_request(generation_id="2" * 32, priority=5), 0.0)
    assert engine.waiting()[0] is urgent
    run_to_end(engine)
    assert engine.stats.generated_tokens == 15


def test_crash_faults_end_the_process():
    # Guards against a crash fault that only stops one generation.
    engine = make_engine()
    engine.faults.update({"exit_after_tokens": 2})
    generation = engine.start(make_request(), 0.0)
    with pytest.raises(CrashedError):
        run_to_end(engine)
    assert len(generation.tokens) == 3
    engine = make_engine()
    engine.faults.update({"crash_on_content": "hello"})
    generation = engine.start(make_request(), 0.0)
    with pytest.raises(CrashedError):
        run_to_end(engine)
    assert generation.tokens == []


def test_the_nondeterministic_fault_changes_tokens():
    # Guards against a fault that a caller cannot detect.
    engine = make_engine()
    engine.faults.update({"nondeterministic": True})
    generation = engine.start(make_request(), 0.0)
    run_to_end(engine)
    assert generation.tokens != prefix(5)
    # An answer with changed tokens can still be resumed.
    make_request(resume_tokens=generation.tokens)


def test_unknown_faults_change_nothing():
    # Guards against a test that sets a misspelt fault without noticing.
    engine = make_engine()
    with pytest.raises(serving.RequestError):
        engine.faults.update({"ignore_cancel": True, "slwo": 2})
    assert engine.faults.get("ignore_cancel") is None
