"""Crash reports made by the core."""

import generation_world

from rattanpulley_core import generations
from rattanpulley_core import results


def crash(world, reader):
    """Kills the engine that runs the reader's generation."""
    name = reader.request.generation_id
    for engine in world.engines.values():
        if any(c.generation_id == name for c in engine.connections):
            engine.kill()
    world.deliver_all()


def reports(world):
    return [
        action
        for action in world.actions
        if isinstance(action, generations.PublishCrashReport)
    ]


def test_request_that_crashes_targets_costs_two():
    # Guards the bound on targets lost to one request that is retried.
    world = generation_world.World(("v1",) * 5)
    reader = world.arrive("a")
    world.deliver_all()
    for _ in range(200):
        crash(world, reader)
        world.advance(0.05)
        world.deliver_all()
    lost = [e for e in world.engines.values() if not e.alive]
    assert len(lost) == 2
    code = results.ResultCode.REQUEST_CRASHES_TARGETS
    assert reader.failure.code is code
    assert len(reports(world)) == 2
    # The peer refuses a retry of the same body under another key.
    fingerprint = reader.request.fingerprint
    retry = world.arrive("b", 1, fingerprint=fingerprint)
    assert retry.failure.code is code
    assert retry.failure.run_state is results.RunState.NOT_RUN


def test_innocent_neighbours_go_on():
    # Guards requests that share targets with the cause.
    world = generation_world.World(("v1",) * 6, answer_tokens=60)
    readers = [world.arrive(name) for name in "abcdef"]
    cause = readers[0]
    world.deliver_all()
    for _ in range(60):
        crash(world, cause)
        world.step(0.05)
    assert cause.failure is not None
    world.settle()
    assert [reader.is_whole for reader in readers[1:]] == [True] * 5


def test_attempt_that_reached_no_target_gets_no_report():
    # Guards new requests against blame for a rack that is gone.
    world = generation_world.World(("v1",) * 4)
    for engine in list(world.engines.values())[:3]:
        engine.kill()
    for name in "abcdefgh":
        world.arrive(name)
    world.deliver_all()
    world.advance(2.0)
    world.settle()
    assert not reports(world)


def test_request_that_crashes_a_target_before_it_answers_gets_a_report():
    # Guards against a request that crashes each target while it is parsed.
    world = generation_world.World(("v1",) * 4)
    reader = world.arrive("a")
    world.network.clear()
    crash(world, reader)
    world.advance(2.0)
    world.settle()
    assert [report.fingerprint for report in reports(world)] == [
        reader.request.fingerprint
    ]


def test_suspects_are_kept_apart_and_cleared():
    # Guards against two suspects on one target, and lasting suspicion.
    world = generation_world.World(("v1",) * 4, answer_tokens=350)
    readers = [world.arrive(name, deadline_s=1e4) for name in "abcd"]
    world.deliver_all()
    crash(world, readers[0])
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


def test_stream_that_meets_two_independent_crashes_goes_on():
    # Guards against a refusal of a stream whose targets are killed one after
    # the other; it runs on for a second in between.
    world = generation_world.World(("v1",) * 4, answer_tokens=350)
    reader = world.arrive("a", deadline_s=1e4)
    world.deliver_all()
    for _ in range(3):
        crash(world, reader)
        world.step(0.05)
        for _ in range(40):
            for engine in world.engines.values():
                engine.produce()
            world.step(0.03)
    world.settle()
    assert reader.is_whole
    assert not reports(world)
