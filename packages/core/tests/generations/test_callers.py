"""Callers that leave, come back, share an answer or change the daemon."""

import dataclasses

import generation_steps
import generation_world
import pytest

from rattanpulley_core import generations
from rattanpulley_core import results
from rattanpulley_core import resume_token

Code = results.ResultCode
Reason = generations.FailureReason


def test_caller_comes_back_to_the_journal(world):
    # Guards against an attempt where the journal has the answer already.
    reader, engine = generation_steps.started(world, tokens=3)
    world.disconnect(reader)
    engine.produce()
    world.deliver_all()
    assert len(reader.tokens) == 3
    world.come_back(reader, 0)
    assert len(reader.tokens) == 4
    assert not generation_steps.of_type(world, generations.AttachAttempt)


def test_caller_comes_back_after_the_end(world):
    # Guards against the loss of the tail with the caller's connection.
    reader, engine = generation_steps.started(world, tokens=3)
    world.disconnect(reader)
    for _ in range(4):
        engine.produce()
    world.deliver_all()
    world.advance(14.0)
    world.come_back(reader, 0)
    assert reader.is_whole
    world.advance(16.0)
    assert not sum(world.cores[0].status(0).generations_by_state.values())


def test_generation_without_caller_is_not_resumed(world):
    # Guards against work that nobody reads.
    reader, engine = generation_steps.started(world)
    world.disconnect(reader)
    engine.kill()
    world.deliver_all()
    assert not generation_steps.of_type(world, generations.StartAttempt)
    world.come_back(reader, 0)
    (order,) = generation_steps.of_type(world, generations.StartAttempt)
    assert order.resume_tokens == tuple(reader.tokens)


def test_several_readers_get_the_whole_answer(world):
    # Guards G4 for a caller that retries while its old connection is open.
    first, _ = generation_steps.started(world, tokens=3)
    second = world.arrive("a")
    assert second.tokens == first.tokens
    world.disconnect(first)
    world.settle()
    assert second.is_whole


def test_other_daemon_attaches_at_the_engine(world):
    # Guards against recomputation when only the daemon was lost.
    reader, _ = generation_steps.started(world)
    world.new_core(0)
    world.come_back(reader, 1)
    world.settle()
    assert reader.is_whole
    assert not generation_steps.of_type(world, generations.StartAttempt)


@pytest.mark.parametrize("deterministic", [True, False])
def test_double_failure_is_verified(world, deterministic):
    # Guards G2 when no process has the caller's tokens.
    reader, engine = generation_steps.started(world)
    engine.kill()
    world.new_core(0)
    for other in world.engines.values():
        other.deterministic = deterministic
    world.come_back(reader, 1)
    world.settle()
    assert reader.is_whole is deterministic
    if not deterministic:
        assert reader.failure.code is Code.REGENERATION_DIFFERS


def test_double_failure_of_the_last_target_of_a_version():
    # Guards against a regeneration by another version.
    world = generation_world.World(("v1", "v1"), answer_tokens=90)
    reader, _ = generation_steps.started(world)
    world.new_core(0)
    for other in world.engines.values():
        other.kill()
        other.version = "v2"
    world.target_tables[1].apply_pools(world.pool_table(), world.now_s)
    world.come_back(reader, 1)
    world.deliver_all()
    assert reader.failure.code is Code.VERSION_GONE


def test_key_rotation_keeps_older_event_ids(world):
    # Guards reconnects while daemons exchange their keys.
    reader, _ = generation_steps.started(world)
    key_1, key_2 = generation_world.KEYS
    world.signer = resume_token.Signer([key_2, key_1])
    world.new_core(0)
    world.new_core(1)
    world.come_back(reader, 1)
    world.settle()
    assert reader.is_whole


def test_arrivals_that_are_refused(world):
    # Guards against foreign readers, and against new work while draining.
    reader, _ = generation_steps.started(world)
    other = world.arrive("a", account="another")
    assert other.failure.code is Code.IDEMPOTENCY_KEY_REUSED
    late = world.arrive("b", deadline_s=world.now_s)
    assert late.failure.code is Code.DEADLINE_UNREACHABLE
    world.cores[0].set_draining()
    new = world.arrive("c")
    assert new.failure.code is Code.DRAINING
    assert world.cores[0].active_count == 1
    world.settle()
    assert reader.is_whole
    assert world.cores[0].active_count == 0


def test_rotated_out_key_is_refused(world):
    # Guards against an answer that cannot be verified.
    request = world.arrive("a").request
    point = generations.ResumePoint(1, "e0", "v1", 0, b"", "00000000")
    request = dataclasses.replace(request, generation_id="b" * 32)
    (action,) = world.cores[0].handle(
        generations.CallerConnected(99, request, point), world.now_s
    )
    assert action.code is Code.RESUME_TOKEN_INVALID


def test_generation_of_another_daemon_is_read_from_its_start():
    # Guards against an error for a caller whose answer is being computed.
    world = generation_world.World(("v1",))
    reader = world.arrive("a")
    order = generation_steps.of_type(world, generations.StartAttempt)[0]
    world.network.clear()
    world.actions.clear()
    held = generations.AttemptFailed(
        reader.request.generation_id, order.attempt, Reason.HELD
    )
    world.handle(0, held)
    (attach,) = generation_steps.of_type(world, generations.AttachAttempt)
    assert (attach.target, attach.from_index) == (order.target, 0)
    world.settle()
    assert reader.is_whole


def test_journal_is_not_continued_on_the_run_of_another_daemon(world):
    # Guards against a mix of two generations when both daemons resume (G2).
    reader, engine = generation_steps.started(world)
    engine.kill()
    world.deliver_all()
    (order,) = generation_steps.of_type(world, generations.StartAttempt)
    world.actions.clear()
    held = generations.AttemptFailed(
        reader.request.generation_id, order.attempt, Reason.HELD
    )
    world.handle(0, held)
    world.advance(1.0)
    assert not generation_steps.of_type(world, generations.AttachAttempt)
    (again,) = generation_steps.of_type(world, generations.StartAttempt)
    assert again.resume_tokens == order.resume_tokens
    assert again.attempt > order.attempt


def test_attach_does_not_continue_a_run_that_another_daemon_replaced():
    # Guards against a mix of two generations behind a silent connection (G2).
    world = generation_world.World(("v1", "v1"))
    for each in world.engines.values():
        each.deterministic = False
    reader, engine = generation_steps.started(world)
    other = next(e for e in world.engines.values() if e is not engine)
    engine.refuses = True
    second = world.arrive("a", daemon=1)
    for _ in range(3):
        world.advance(0.5)
        world.deliver_all()
    engine.refuses = False
    other.produce()
    world.deliver_all()
    assert second.tokens[:1] != reader.tokens[:1]
    generation_steps.silence(engine)
    # The second daemon resumes its own run on the first engine.
    other.kill()
    world.settle()
    assert reader.is_whole
    assert second.is_whole
