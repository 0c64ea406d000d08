"""Tests for the failure detection and resume tables of the design page."""

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
    # Guards the resume latency, and against mixing versions in an answer (G2).
    reader, engine = generation_steps.start_generation(world)
    engine.kill()
    world.deliver_all()
    (action,) = generation_steps.actions_of_type(
        world, generations.StartAttempt
    )
    assert action.resume_tokens == tuple(reader.tokens)
    assert (action.version, action.attempt) == (engine.version, 2)
    assert action.target != engine.name


def test_unresponsive_connection_is_reattached(world):
    # Guards against recomputing the answer when only the connection hangs.
    reader, engine = generation_steps.start_generation(world)
    generation_steps.make_connections_unresponsive(engine)
    engine.produce()
    world.advance(0.05)
    assert not generation_steps.actions_of_type(world, generations.ProbeTarget)
    world.advance(0.5)
    world.deliver_all()
    (action,) = generation_steps.actions_of_type(
        world, generations.AttachAttempt
    )
    # The replay from the start proves that the run is still the same one.
    assert (action.target, action.from_index) == (engine.name, 0)
    (cancelled,) = generation_steps.actions_of_type(
        world, generations.CancelAttempt
    )
    assert cancelled.keep_running
    world.run_to_completion()
    assert reader.is_complete
    assert not generation_steps.actions_of_type(world, generations.StartAttempt)


def test_final_event_lost_with_the_connection_is_fetched(world):
    # Guards against waiting for a final event that was lost.
    reader, engine = generation_steps.start_generation(world, tokens=5)
    engine.produce()
    world.deliver()
    world.network.clear()
    assert len(reader.tokens) == 6
    world.run_to_completion()
    assert reader.is_complete


def test_slow_engine_doubles_the_threshold():
    # Guards against probing a slow engine at a constant rate. With a second
    # target the stream would move there after a few idle probes.
    world = generation_world.World(("v1",))
    generation_steps.start_generation(world)
    probe_times_s = []
    for _ in range(400):
        world.actions.clear()
        world.advance(0.05)
        if generation_steps.actions_of_type(world, generations.ProbeTarget):
            probe_times_s.append(world.now_s)
        world.deliver_all()
    gaps_s = [b - a for a, b in itertools.pairwise(probe_times_s)]
    for smaller, larger in itertools.pairwise(gaps_s[:4]):
        assert larger == pytest.approx(min(2 * smaller, 5), abs=0.11)
    assert max(gaps_s) < 5.2


def test_stream_moves_off_a_restarted_target(world):
    # Guards against attaching to a process that lost the generation.
    reader, engine = generation_steps.start_generation(world)
    generation_steps.make_connections_unresponsive(engine)
    engine.kill()
    engine.revive()
    world.advance(1.0)
    world.deliver_all()
    (action,) = generation_steps.actions_of_type(
        world, generations.StartAttempt
    )
    assert action.resume_tokens == tuple(reader.tokens)


def test_one_probe_serves_all_streams_of_a_lost_target():
    # Guards against one probe per stream, and against streams that stay on the
    # lost target.
    world = generation_world.World(("v1",), answer_tokens=90)
    engine = world.engines["e0"]
    for name in "abc":
        generation_steps.start_generation(world, name)
    engine.paused = True
    world.advance(1.0)
    (probe,) = generation_steps.actions_of_type(world, generations.ProbeTarget)
    assert len(probe.generation_ids) == 3
    world.deliver_all()
    assert world.cores[0].status(0).generations_by_state["queued"] == 3
    target = world.target_tables[0].targets_by_name["e0"]
    assert target.state is targets.TargetState.LOST
    # The lost target is probed until it responds, and is then used again.
    engine.revive()
    world.run_to_completion()
    assert all(reader.is_complete for reader in world.readers)


def test_late_first_token_is_probed(world):
    # Guards against a target that accepts an attempt and then hangs.
    _, engine = generation_steps.start_generation(world, tokens=0)
    engine.paused = True
    world.advance(1.4)
    assert not generation_steps.actions_of_type(world, generations.ProbeTarget)
    world.advance(0.2)
    world.deliver_all()
    assert (
        generation_steps.actions_of_type(world, generations.StartAttempt)[
            0
        ].attempt
        == 2
    )


def test_tokens_of_a_paused_target_that_comes_back_are_ignored(world):
    # Guards against mixing two attempts when the old connection is closed too
    # late (G2).
    reader, engine = generation_steps.start_generation(world)
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
    # Guards against wasted work: without a cancel, the target would continue
    # the generation until its grace period without a reader ends.
    _, engine = generation_steps.start_generation(world)
    engine.paused = True
    world.advance(1.0)
    world.deliver_all()
    world.actions.clear()
    engine.revive()
    world.advance(1.0)
    world.deliver_all()
    (cancel,) = generation_steps.actions_of_type(
        world, generations.CancelAttempt
    )
    assert (cancel.target, cancel.attempt) == (engine.name, 1)
    assert not cancel.keep_running


def test_migration_off_a_leaving_target_is_rate_limited():
    # A leaving target gets no new work, and its streams move to other targets
    # at a limited rate and complete (G7, G8).
    world = generation_world.World(("v1", "v1", "v1", "v1"), answer_tokens=90)
    for name in "0123456789abcdefghijklmn":
        generation_steps.start_generation(world, name)
    loaded = max(world.engines.values(), key=lambda e: len(e.connections))
    count = len(loaded.connections)
    assert count > 4
    entry = targets.HostEntry(
        loaded.name, "z0", "", "engine", "v1", targets.HostState.LEAVING
    )
    world.target_tables[0].apply_hosts([entry], world.now_s)
    world.actions.clear()
    generation_steps.start_generation(world, "o")
    assert all(c.generation_id[0] != "o" for c in loaded.connections)
    world.advance(4.8)
    world.deliver_all()
    assert len(loaded.connections) >= count
    world.advance(0.3)
    counters = world.cores[0].status(0).counters_by_name
    assert counters["moves"] == 4
    assert len(loaded.connections) == count - 4
    world.run_to_completion()
    assert all(reader.is_complete for reader in world.readers)


def test_resumes_take_at_most_four_slots_and_go_first():
    # Guards against overloading the remaining targets with prefills.
    world = generation_world.World(("v1", "v1"), answer_tokens=90)
    world.engines["e1"].kill()
    generation_steps.start_generation(world, "z")
    world.deliver_all()
    for number, name in enumerate("012345"):
        generation_steps.start_generation(
            world, name, deadline_s=200.0 - number
        )
    world.engines["e1"].revive()
    world.advance(1.0)
    world.deliver_all()
    world.actions.clear()
    world.engines["e0"].kill()
    world.deliver_all()
    actions = generation_steps.actions_of_type(world, generations.StartAttempt)
    assert len(actions) == 4
    # A new request waits behind the queued resumes, but not forever.
    new = world.submit_request("n")
    assert (
        len(generation_steps.actions_of_type(world, generations.StartAttempt))
        == 4
    )
    world.engines["e1"].produce()
    world.deliver_all()
    actions = generation_steps.actions_of_type(world, generations.StartAttempt)[
        4:
    ]
    assert actions[-1].generation_id[0] == "n"
    assert all(action.resume_tokens for action in actions[:-1])
    world.run_to_completion()
    assert new.is_complete


def test_attach_does_not_wait_for_a_slot():
    # Guards against queueing a reconnected caller that needs no slot.
    world = generation_world.World(("v1", "v1"), answer_tokens=90)
    world.engines["e1"].kill()
    for name in "012345":
        generation_steps.start_generation(world, name)
    world.engines["e1"].revive()
    world.advance(1.0)
    world.deliver_all()
    reader = world.submit_request("f", 1)
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
    world.reconnect(reader, 0)
    assert generation_steps.actions_of_type(world, generations.AttachAttempt)


def test_queue_is_ordered_by_deadline():
    # Guards against a resume that misses its deadline while one with a later
    # deadline goes first.
    world = generation_world.World(("v1",), answer_tokens=90)
    for name, deadline_s in (("a", 190.0), ("b", 170.0), ("c", 180.0)):
        generation_steps.start_generation(world, name, deadline_s=deadline_s)
    world.engines["e0"].kill()
    world.deliver_all()
    world.actions.clear()
    world.engines["e0"].revive()
    for _ in range(40):
        world.advance(0.05)
        world.deliver_all()
    actions = generation_steps.actions_of_type(world, generations.StartAttempt)
    assert [action.generation_id[0] for action in actions] == ["b", "c", "a"]


def test_retries_of_new_requests_use_the_retry_budget():
    # Guards against retries that multiply the load on a failing pool.
    world = generation_world.World(("v1", "v1", "v1"))
    for engine in world.engines.values():
        engine.refuses = True
    for number in range(30):
        world.submit_request("0123456789abcdefghijklmnopqrstuv"[number])
    world.deliver_all()
    # The budget starts with 10 retries and gains 0.1 for each of 30 requests.
    assert world.cores[0].status(0).counters_by_name["retries"] <= 13


def test_new_request_waits_two_seconds(world):
    # Nothing ran, and the caller must be told so (G5).
    for engine in world.engines.values():
        engine.refuses = True
    reader = world.submit_request("a")
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
    # Guards against a caller that waits forever.
    reader, _ = generation_steps.start_generation(world)
    for engine in world.engines.values():
        engine.kill()
    world.deliver_all()
    world.advance(generation_world.DEADLINE_S - 1)
    world.deliver_all()
    assert reader.failure is None
    world.advance(1.1)
    assert reader.failure.code is Code.GENERATION_LOST
    assert reader.failure.run_state is results.RunState.UNKNOWN


def test_deadline_ends_a_running_answer(world):
    # Guards against a stream that its target never ends.
    reader, engine = generation_steps.start_generation(world)
    world.advance(generation_world.DEADLINE_S)
    assert reader.failure.code is Code.DEADLINE_EXCEEDED
    assert not engine.held_by_id


def test_rejected_request_is_not_retried(world):
    # Guards against retries of a request that no target accepts.
    reader, _ = generation_steps.start_generation(world, tokens=0)
    world.handle(
        0,
        generations.AttemptFailed(
            reader.request.generation_id, 1, Reason.REJECTED, "no such model"
        ),
    )
    assert reader.failure.code is Code.TARGET_ERROR
    assert reader.failure.message == "no such model"
