"""Engines that are silent for a second and then go on."""

import generation_steps
import generation_world

from rattanpulley_core import generations


def _fall_silent_under(world, reader) -> None:
    """Resets the reader's connection; its engine pauses for a second."""
    name = reader.request.generation_id
    (engine,) = (
        engine
        for engine in world.engines.values()
        if any(c.generation_id == name for c in engine.connections)
    )
    (connection,) = (c for c in engine.connections if c.generation_id == name)
    engine.connections.remove(connection)
    engine.paused = True
    world.post(
        connection.daemon,
        generations.AttemptFailed(
            name, connection.attempt, generations.FailureReason.RESET
        ),
    )
    for _ in range(20):
        world.deliver_all()
        world.advance(0.05)
    engine.revive()
    for _ in range(40):
        world.deliver_all()
        world.advance(0.05)


# A reset followed by a silence was taken for a crash, and the request was
# refused after two of them although no engine had crashed.
def test_silences_after_resets_are_no_crashes():
    world = generation_world.World(("v1",) * 5, answer_tokens=60)
    reader, _ = generation_steps.start_generation(world)
    _fall_silent_under(world, reader)
    _fall_silent_under(world, reader)
    world.run_to_completion()
    assert reader.is_complete
