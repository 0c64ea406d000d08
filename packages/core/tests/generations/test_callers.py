"""Tests for callers that disconnect, reconnect, share or change daemons."""

import dataclasses

import generation_steps
import generation_world
import pytest

from rattanpulley_core import generations
from rattanpulley_core import results
from rattanpulley_core import resume_token

Code = results.ResultCode
Reason = generations.FailureReason


def test_reconnected_caller_gets_tokens_from_the_journal(world):
    # Guards against a new attempt for tokens that are already in the journal.
    reader, engine = generation_steps.start_generation(world, tokens=3)
    world.disconnect(reader)
    engine.produce()
    world.deliver_all()
    assert len(reader.tokens) == 3
    world.reconnect(reader, 0)
    assert len(reader.tokens) == 4
    assert not generation_steps.actions_of_type(
        world, generations.AttachAttempt
    )


def test_caller_reconnects_after_the_answer_finished(world):
    # Guards against losing the last tokens when the answer finishes while the
    # caller is disconnected.
    reader, engine = generation_steps.start_generation(world, tokens=3)
    world.disconnect(reader)
    for _ in range(4):
        engine.produce()
    world.deliver_all()
    world.advance(14.0)
    world.reconnect(reader, 0)
    assert reader.is_complete
    world.advance(16.0)
    assert not sum(world.cores[0].status(0).generations_by_state.values())


def test_generation_without_caller_is_not_resumed(world):
    # Guards against computing tokens for which there is no caller.
    reader, engine = generation_steps.start_generation(world)
    world.disconnect(reader)
    engine.kill()
    world.deliver_all()
    assert not generation_steps.actions_of_type(world, generations.StartAttempt)
    world.reconnect(reader, 0)
    (action,) = generation_steps.actions_of_type(
        world, generations.StartAttempt
    )
    assert action.resume_tokens == tuple(reader.tokens)


def test_several_readers_get_the_complete_answer(world):
    # A caller that retries while its old connection is still open must get the
    # complete answer (G4).
    first, _ = generation_steps.start_generation(world, tokens=3)
    second = world.submit_request("a")
    assert second.tokens == first.tokens
    world.disconnect(first)
    world.run_to_completion()
    assert second.is_complete


def test_other_daemon_attaches_to_the_engine(world):
    # Guards against recomputing the answer when only the daemon was lost.
    reader, _ = generation_steps.start_generation(world)
    world.new_core(0)
    world.reconnect(reader, 1)
    world.run_to_completion()
    assert reader.is_complete
    assert not generation_steps.actions_of_type(world, generations.StartAttempt)


@pytest.mark.parametrize("deterministic", [True, False])
def test_answer_is_verified_after_losing_engine_and_daemon(
    world, deterministic
):
    # Guards against mixing two generations (G2) when the engine and the daemon
    # are lost, so that no process has the caller's tokens.
    reader, engine = generation_steps.start_generation(world)
    engine.kill()
    world.new_core(0)
    for other in world.engines.values():
        other.deterministic = deterministic
    world.reconnect(reader, 1)
    world.run_to_completion()
    assert reader.is_complete is deterministic
    if not deterministic:
        assert reader.failure.code is Code.REGENERATION_DIFFERS


def test_answer_is_not_regenerated_by_another_version():
    # Guards against a regeneration by another version when the daemon and all
    # targets of the answer's version are lost.
    world = generation_world.World(("v1", "v1"), answer_tokens=90)
    reader, _ = generation_steps.start_generation(world)
    world.new_core(0)
    for other in world.engines.values():
        other.kill()
        other.version = "v2"
    world.target_tables[1].apply_pools(world.pool_table(), world.now_s)
    world.reconnect(reader, 1)
    world.deliver_all()
    assert reader.failure.code is Code.VERSION_GONE


def test_older_event_ids_stay_valid_after_key_rotation(world):
    # Callers must be able to reconnect while daemons rotate their keys.
    reader, _ = generation_steps.start_generation(world)
    key_1, key_2 = generation_world.KEYS
    world.signer = resume_token.Signer([key_2, key_1])
    world.new_core(0)
    world.new_core(1)
    world.reconnect(reader, 1)
    world.run_to_completion()
    assert reader.is_complete


def test_refused_requests(world):
    # Guards against readers from other accounts, and against new work past the
    # deadline or while draining.
    reader, _ = generation_steps.start_generation(world)
    other = world.submit_request("a", account="another")
    assert other.failure.code is Code.IDEMPOTENCY_KEY_REUSED
    late = world.submit_request("b", deadline_s=world.now_s)
    assert late.failure.code is Code.DEADLINE_UNREACHABLE
    world.cores[0].set_draining()
    new = world.submit_request("c")
    assert new.failure.code is Code.DRAINING
    assert world.cores[0].active_count == 1
    world.run_to_completion()
    assert reader.is_complete
    assert world.cores[0].active_count == 0


def test_rotated_out_key_is_refused(world):
    # Guards against continuing an answer that cannot be verified.
    request = world.submit_request("a").request
    point = generations.ResumePoint(1, "e0", "v1", 0, b"", "00000000")
    request = dataclasses.replace(request, generation_id="b" * 32)
    (action,) = world.cores[0].handle(
        generations.CallerConnected(99, request, point), world.now_s
    )
    assert action.code is Code.RESUME_TOKEN_INVALID


def test_generation_of_another_daemon_is_attached_from_its_start():
    # Guards against failing a caller whose answer another daemon's attempt is
    # computing.
    world = generation_world.World(("v1",))
    reader = world.submit_request("a")
    action = generation_steps.actions_of_type(world, generations.StartAttempt)[
        0
    ]
    world.network.clear()
    world.actions.clear()
    held = generations.AttemptFailed(
        reader.request.generation_id, action.attempt, Reason.HELD
    )
    world.handle(0, held)
    (attach,) = generation_steps.actions_of_type(
        world, generations.AttachAttempt
    )
    assert (attach.target, attach.from_index) == (action.target, 0)
    world.run_to_completion()
    assert reader.is_complete


def test_journal_is_not_continued_on_the_run_of_another_daemon(world):
    # Guards against mixing two generations when both daemons resume (G2).
    reader, engine = generation_steps.start_generation(world)
    engine.kill()
    world.deliver_all()
    (action,) = generation_steps.actions_of_type(
        world, generations.StartAttempt
    )
    world.actions.clear()
    held = generations.AttemptFailed(
        reader.request.generation_id, action.attempt, Reason.HELD
    )
    world.handle(0, held)
    world.advance(1.0)
    assert not generation_steps.actions_of_type(
        world, generations.AttachAttempt
    )
    (again,) = generation_steps.actions_of_type(world, generations.StartAttempt)
    assert again.resume_tokens == action.resume_tokens
    assert again.attempt > action.attempt


def test_attach_does_not_continue_a_run_that_another_daemon_replaced():
    # Guards against mixing two generations when another daemon replaces the run
    # while the connection is unresponsive (G2).
    world = generation_world.World(("v1", "v1"))
    for each in world.engines.values():
        each.deterministic = False
    reader, engine = generation_steps.start_generation(world)
    other = next(e for e in world.engines.values() if e is not engine)
    engine.refuses = True
    second = world.submit_request("a", daemon=1)
    for _ in range(3):
        world.advance(0.5)
        world.deliver_all()
    engine.refuses = False
    other.produce()
    world.deliver_all()
    assert second.tokens[:1] != reader.tokens[:1]
    generation_steps.make_connections_unresponsive(engine)
    # The second daemon resumes its own run on the first engine.
    other.kill()
    world.run_to_completion()
    assert reader.is_complete
    assert second.is_complete
