"""Steps and queries shared by the tests of the generation core."""

from rattanpulley_core import generations


def start_generation(world, name="a", tokens=2, **changes):
    """Submits a request and streams tokens to its reader.

    Args:
        world: The simulation.
        name: Character that the generation id is made of.
        tokens: Number of tokens to stream.
        **changes: Fields of the request that differ from the default.

    Returns:
        The reader and the engine that produces its tokens.
    """
    world.actions.clear()
    reader = world.submit_request(name, **changes)
    engine = world.engines[
        actions_of_type(world, generations.StartAttempt)[0].target
    ]
    world.deliver_all()
    for _ in range(tokens):
        engine.produce()
        world.deliver_all()
        world.now_s += 0.03
    world.actions.clear()
    return reader, engine


def actions_of_type(world, kind):
    """Returns the recorded actions of a type."""
    return [action for action in world.actions if isinstance(action, kind)]


def make_connections_unresponsive(engine):
    """Makes the engine's open connections drop all further events."""
    for connection in engine.connections:
        connection.unresponsive = True
