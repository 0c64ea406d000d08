"""Rows of the failure detection and resume tables of the design page."""

import itertools

import generation_steps
import generation_world
import pytest

from rattanpulley_core import generations
from rattanpulley_core import results
from rattanpulley_core import targets

Code = results.ResultCode
Reason = generations.FailureReason


def test_reset_resumes_at_once_with_prefix_and_version(world):
    # Guards the bound on the resume latency, and G2.
    reader, engine = generation_steps.started(world)
    engine.kill()
    world.deliver_all()
    (order,) = generation_steps.of_type(world, generations.StartAttempt)
    assert order.resume_tokens == tuple(reader.tokens)
    assert (order.version, order.attempt) == (engine.version, 2)
    assert order.target != engine.name


def test_silent_connection_is_attached_again(world):
    # Guards against recomputation when only the connection is silent.
    reader, engine = generation_steps.started(world)
    generation_steps.silence(engine)
    engine.produce()
    world.advance(0.05)
    assert not generation_steps.of_type(world, generations.ProbeTarget)
    world.advance(0.5)
    world.deliver_all()
    (order,) = generation_steps.of_type(world, generations.AttachAttempt)
    # The replay from the start proves that the run is still the same one.
    assert (order.target, order.from_index) == (engine.name, 0)
    (cancelled,) = generation_steps.of_type(world, generations.CancelAttempt)
    assert cancelled.keep_running
    world.settle()
    assert reader.is_whole
    assert not generation_steps.of_type(world, generations.StartAttempt)


def test_finished_answer_behind_a_silent_connection_is_fetched(world):
    # Guards against waiting for a final event that was lost.
    reader, engine = generation_steps.started(world, tokens=5)
    engine.produce()
    world.deliver()
    world.network.clear()
    assert len(reader.tokens) == 6
    world.settle()
    assert reader.is_whole


def test_slow_engine_doubles_the_threshold():
    # Guards against probing a slow engine again and again. With a second target
    # the stream would leave after a few idle probes.
    world = generation_world.World(("v1",))
    generation_steps.started(world)
    probe_times_s = []
    for _ in range(400):
        world.actions.clear()
        world.advance(0.05)
        if generation_steps.of_type(world, generations.ProbeTarget):
            probe_times_s.append(world.now_s)
        world.deliver_all()
    gaps_s = [b - a for a, b in itertools.pairwise(probe_times_s)]
    for smaller, larger in itertools.pairwise(gaps_s[:4]):
        assert larger == pytest.approx(min(2 * smaller, 5), abs=0.11)
    assert max(gaps_s) < 5.2


def test_restarted_target_is_left(world):
    # Guards against an attach to a process that lost the generation.
    reader, engine = generation_steps.started(world)
    generation_steps.silence(engine)
    engine.kill()
    engine.revive()
    world.advance(1.0)
    world.deliver_all()
    (order,) = generation_steps.of_type(world, generations.StartAttempt)
    assert order.resume_tokens == tuple(reader.tokens)


def test_one_probe_serves_all_streams_of_a_lost_target():
    # Guards against a probe per stream, and against streams left behind.
    world = generation_world.World(("v1",), answer_tokens=90)
    engine = world.engines["e0"]
    for name in "abc":
        generation_steps.started(world, name)
    engine.paused = True
    world.advance(1.0)
    (probe,) = generation_steps.of_type(world, generations.ProbeTarget)
    assert len(probe.generation_ids) == 3
    world.deliver_all()
    assert world.cores[0].status(0).generations_by_state["queued"] == 3
    target = world.target_tables[0].targets_by_name["e0"]
    assert target.state is targets.TargetState.LOST
    # The lost target is probed until it answers, and is used again.
    engine.revive()
    world.settle()
    assert all(reader.is_whole for reader in world.readers)


def test_late_first_token_is_probed(world):
    # Guards against a target that accepts and then does nothing.
    _, engine = generation_steps.started(world, tokens=0)
    engine.paused = True
    world.advance(1.4)
    assert not generation_steps.of_type(world, generations.ProbeTarget)
    world.advance(0.2)
    world.deliver_all()
    assert (
        generation_steps.of_type(world, generations.StartAttempt)[0].attempt
        == 2
    )


def test_tokens_of_a_paused_target_that_comes_back_are_ignored(world):
    # Guards G2 against a connection that was closed too late.
    reader, engine = generation_steps.started(world)
    engine.ignores_cancel = True
    engine.paused = True
    world.advance(1.0)
    world.deliver_all()
    engine.revive()
    engine.produce()
    world.deliver_all()
    assert len(reader.tokens) == 2
    assert world.cores[0].status(0).counters_by_name["stale_events"]


def test_paused_target_that_comes_back_stops_what_was_resumed(world):
    # Guards the cost of a resume: the target would compute until its grace
    # period without a reader ends.
    _, engine = generation_steps.started(world)
    engine.paused = True
    world.advance(1.0)
    world.deliver_all()
    world.actions.clear()
    engine.revive()
    world.advance(1.0)
    world.deliver_all()
    (cancel,) = generation_steps.of_type(world, generations.CancelAttempt)
    assert (cancel.target, cancel.attempt) == (engine.name, 1)
    assert not cancel.keep_running


def test_leaving_target_is_emptied_at_a_paced_rate():
    # Guards G7 and G8.
    world = generation_world.World(("v1", "v1", "v1", "v1"), answer_tokens=90)
    for name in "0123456789abcdefghijklmn":
        generation_steps.started(world, name)
    loaded = max(world.engines.values(), key=lambda e: len(e.connections))
    count = len(loaded.connections)
    assert count > 4
    entry = targets.HostEntry(
        loaded.name, "z0", "", "engine", "v1", targets.HostState.LEAVING
    )
    world.target_tables[0].apply_hosts([entry], world.now_s)
    world.actions.clear()
    generation_steps.started(world, "o")
    assert all(c.generation_id[0] != "o" for c in loaded.connections)
    world.advance(4.8)
    world.deliver_all()
    assert len(loaded.connections) >= count
    world.advance(0.3)
    counters = world.cores[0].status(0).counters_by_name
    assert counters["moves"] == 4
    assert len(loaded.connections) == count - 4
    world.settle()
    assert all(reader.is_whole for reader in world.readers)


def test_resumes_take_at_most_four_slots_and_go_first():
    # Guards against a mass of prefills on the targets that are left.
    world = generation_world.World(("v1", "v1"), answer_tokens=90)
    world.engines["e1"].kill()
    generation_steps.started(world, "z")
    world.deliver_all()
    for number, name in enumerate("012345"):
        generation_steps.started(world, name, deadline_s=200.0 - number)
    world.engines["e1"].revive()
    world.advance(1.0)
    world.deliver_all()
    world.actions.clear()
    world.engines["e0"].kill()
    world.deliver_all()
    orders = generation_steps.of_type(world, generations.StartAttempt)
    assert len(orders) == 4
    # A new request waits behind the queued resumes, and not for ever.
    new = world.arrive("n")
    assert len(generation_steps.of_type(world, generations.StartAttempt)) == 4
    world.engines["e1"].produce()
    world.deliver_all()
    orders = generation_steps.of_type(world, generations.StartAttempt)[4:]
    assert orders[-1].generation_id[0] == "n"
    assert all(order.resume_tokens for order in orders[:-1])
    world.settle()
    assert new.is_whole


def test_attach_does_not_wait_for_a_slot():
    # Guards a returning caller against a queue that it does not need.
    world = generation_world.World(("v1", "v1"), answer_tokens=90)
    world.engines["e1"].kill()
    for name in "012345":
        generation_steps.started(world, name)
    world.engines["e1"].revive()
    world.advance(1.0)
    world.deliver_all()
    reader = world.arrive("f", 1)
    world.deliver_all()
    world.engines["e1"].produce()
    world.engines["e0"].produce()
    world.deliver_all()
    assert reader.tokens
    world.disconnect(reader)
    world.engines["e0"].kill()
    world.deliver_all()
    assert world.cores[0].status(0).generations_by_state["queued"]
    world.actions.clear()
    world.come_back(reader, 0)
    assert generation_steps.of_type(world, generations.AttachAttempt)


def test_queue_is_ordered_by_deadline():
    # Guards against a resume that misses its deadline behind a longer one.
    world = generation_world.World(("v1",), answer_tokens=90)
    for name, deadline_s in (("a", 190.0), ("b", 170.0), ("c", 180.0)):
        generation_steps.started(world, name, deadline_s=deadline_s)
    world.engines["e0"].kill()
    world.deliver_all()
    world.actions.clear()
    world.engines["e0"].revive()
    for _ in range(40):
        world.advance(0.05)
        world.deliver_all()
    orders = generation_steps.of_type(world, generations.StartAttempt)
    assert [order.generation_id[0] for order in orders] == ["b", "c", "a"]


def test_retries_of_new_requests_take_permits():
    # Guards against retries that multiply the load of a failing pool.
    world = generation_world.World(("v1", "v1", "v1"))
    for engine in world.engines.values():
        engine.refuses = True
    for number in range(30):
        world.arrive("0123456789abcdefghijklmnopqrstuv"[number])
    world.deliver_all()
    # 10 permits at first, and a tenth for each of 30 requests.
    assert world.cores[0].status(0).counters_by_name["retries"] <= 13


def test_new_request_waits_two_seconds(world):
    # Guards G5: nothing ran, and the caller is told so.
    for engine in world.engines.values():
        engine.refuses = True
    reader = world.arrive("a")
    world.deliver_all()
    world.advance(1.9)
    world.deliver_all()
    assert reader.failure is None
    for _ in range(3):
        world.advance(0.2)
        world.deliver_all()
    assert reader.failure.code is Code.NO_TARGET
    assert reader.failure.run_state is results.RunState.NOT_RUN


def test_lost_generation_ends_at_its_deadline(world):
    # Guards against a caller that waits for ever.
    reader, _ = generation_steps.started(world)
    for engine in world.engines.values():
        engine.kill()
    world.deliver_all()
    world.advance(generation_world.DEADLINE_S - 1)
    world.deliver_all()
    assert reader.failure is None
    world.advance(1.1)
    assert reader.failure.code is Code.GENERATION_LOST
    assert reader.failure.run_state is results.RunState.UNKNOWN


def test_deadline_while_the_answer_runs(world):
    # Guards against a stream that the target never ends.
    reader, engine = generation_steps.started(world)
    world.advance(generation_world.DEADLINE_S)
    assert reader.failure.code is Code.DEADLINE_EXCEEDED
    assert not engine.held_by_id


def test_target_rejects_the_order(world):
    # Guards against retries of a request that no target accepts.
    reader, _ = generation_steps.started(world, tokens=0)
    world.handle(
        0,
        generations.AttemptFailed(
            reader.request.generation_id, 1, Reason.REJECTED, "no such model"
        ),
    )
    assert reader.failure.code is Code.TARGET_ERROR
    assert reader.failure.message == "no such model"
