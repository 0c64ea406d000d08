"""Tests for crash reports of the generation core."""

import generation_world
import pytest

from rattanpulley_core import generations
from rattanpulley_core import results


def crash_engine(world, reader):
    """Kills the engine that runs the reader's generation."""
    name = reader.request.generation_id
    for engine in world.engines.values():
        if any(c.generation_id == name for c in engine.connections):
            engine.kill()
    world.deliver_all()


def crash_reports(world):
    return [
        action
        for action in world.actions
        if isinstance(action, generations.PublishCrashReport)
    ]


def test_crashing_request_is_refused_after_two_targets():
    # Guards the limit on targets that one retried request can crash.
    world = generation_world.World(("v1",) * 5)
    reader = world.submit_request("a")
    world.deliver_all()
    for _ in range(200):
        crash_engine(world, reader)
        world.advance(0.05)
        world.deliver_all()
    lost = [e for e in world.engines.values() if not e.alive]
    assert len(lost) == 2
    code = results.ResultCode.REQUEST_CRASHES_TARGETS
    assert reader.failure.code is code
    assert len(crash_reports(world)) == 2
    # The other daemon refuses a retry of the same body under another key.
    fingerprint = reader.request.fingerprint
    retry = world.submit_request("b", 1, fingerprint=fingerprint)
    assert retry.failure.code is code
    assert retry.failure.run_state is results.RunState.NOT_RUN


def test_requests_sharing_targets_with_the_cause_complete():
    # Guards against blaming requests that share targets with the cause of the
    # crashes.
    world = generation_world.World(("v1",) * 6, answer_tokens=60)
    readers = [world.submit_request(name) for name in "abcdef"]
    cause = readers[0]
    world.deliver_all()
    for _ in range(60):
        crash_engine(world, cause)
        world.step(0.05)
    assert cause.failure is not None
    world.run_to_completion()
    assert [reader.is_complete for reader in readers[1:]] == [True] * 5


def test_attempt_that_reached_no_target_gets_no_report():
    # Guards against blaming new requests for the loss of a rack.
    world = generation_world.World(("v1",) * 4)
    for engine in list(world.engines.values())[:3]:
        engine.kill()
    for name in "abcdefgh":
        world.submit_request(name)
    world.deliver_all()
    world.advance(2.0)
    world.run_to_completion()
    assert not crash_reports(world)


def test_request_that_crashes_a_target_before_acceptance_gets_a_report():
    # Guards against missing a request that crashes each target while the target
    # parses it.
    world = generation_world.World(("v1",) * 4)
    reader = world.submit_request("a")
    world.network.clear()
    crash_engine(world, reader)
    world.advance(2.0)
    world.run_to_completion()
    assert [report.fingerprint for report in crash_reports(world)] == [
        reader.request.fingerprint
    ]


def test_suspects_are_kept_apart_and_cleared():
    # Guards against two suspects on one target, and against suspects that are
    # never cleared.
    world = generation_world.World(("v1",) * 4, answer_tokens=350)
    readers = [world.submit_request(name, deadline_s=1e4) for name in "abcd"]
    world.deliver_all()
    crash_engine(world, readers[0])
    world.step(0.05)
    table = world.suspect_tables[0]
    rows = world.target_tables[0].targets_by_name.values()
    assert {row.suspects_in_flight for row in rows} <= {0, 1}
    suspects = [
        r
        for r in readers
        if table.is_suspect(r.request.fingerprint, world.now_s)
    ]
    assert len(suspects) == 2
    for _ in range(305):
        world.step(0.01)
    for reader in suspects:
        assert not table.is_suspect(reader.request.fingerprint, world.now_s)


def test_stream_completes_after_independent_crashes():
    # Guards against refusing a stream whose targets are killed one after the
    # other. It runs for about a second after each crash.
    world = generation_world.World(("v1",) * 4, answer_tokens=350)
    reader = world.submit_request("a", deadline_s=1e4)
    world.deliver_all()
    for _ in range(3):
        crash_engine(world, reader)
        world.step(0.05)
        for _ in range(40):
            for engine in world.engines.values():
                engine.produce()
            world.step(0.03)
    world.run_to_completion()
    assert reader.is_complete
    assert not crash_reports(world)


@pytest.mark.parametrize("name", list("abcdef"))
def test_targets_lost_together_with_their_domain_blame_no_request(name):
    # Guards against refusing a request because it moved from a lost target to
    # another one of the domain that was lost at the same time.
    world = generation_world.World(("v1",) * 3, answer_tokens=60)
    reader = world.submit_request(name)
    for _ in range(5):
        world.step(0.05)
    for engine in ("e2", "e0"):
        world.engines[engine].kill()
        world.deliver_all()
    world.run_to_completion()
    assert reader.is_complete
