"""Steps and queries shared by the tests of the generation part."""

from rattanpulley_core import generations


def started(world, name="a", tokens=2, **changes):
    """Returns a reader with tokens, and the engine that produces them."""
    world.actions.clear()
    reader = world.arrive(name, **changes)
    engine = world.engines[of_type(world, generations.StartAttempt)[0].target]
    world.deliver_all()
    for _ in range(tokens):
        engine.produce()
        world.deliver_all()
        world.now_s += 0.03
    world.actions.clear()
    return reader, engine


def of_type(world, kind):
    """Returns the actions of a type."""
    return [action for action in world.actions if isinstance(action, kind)]


def silence(engine):
    """Lets the engine's open connections carry nothing more."""
    for connection in engine.connections:
        connection.silent = True
