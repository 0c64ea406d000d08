"""Shows that the model notices when a check of the token path is missing."""

import generation_world
import pytest

from rattanpulley_core._internal.generations import checks


def stale_attempt(world):
    """An old attempt's token arrives when it has the next index."""
    reader = world.arrive("a")
    engine = world.engines[world.actions[0].target]
    for other in world.engines.values():
        other.deterministic = False
    world.deliver_all()
    engine.produce()
    engine.produce()
    stale = world.network.pop()
    world.network.clear()
    engine.kill()
    world.deliver_all()
    for other in world.engines.values():
        other.produce()
    world.deliver_all()
    assert len(reader.tokens) == 1
    world.handle(*stale)


def repeated_event(world):
    """The network repeats the event of a token."""
    world.arrive("a")
    world.deliver_all()
    for engine in world.engines.values():
        engine.produce()
    world.deliver(repeat=True)


def upgraded_target(world):
    """The successor runs another version than the table says."""
    world.arrive("a")
    world.deliver_all()
    world.step(0.05)
    for engine in world.engines.values():
        if engine.connections:
            engine.kill()
        else:
            engine.version = "v3"


def run(scenario):
    world = generation_world.World(("v1", "v1", "v1", "v1"))
    scenario(world)
    world.settle()


@pytest.mark.parametrize(
    ("scenario", "name", "mutant"),
    [
        (stale_attempt, "is_current_attempt", lambda *_: True),
        (repeated_event, "count_duplicates", lambda *_: 0),
        (upgraded_target, "is_pinned_version", lambda *_: True),
    ],
)
def test_missing_check_breaks_an_invariant(monkeypatch, scenario, name, mutant):
    run(scenario)
    monkeypatch.setattr(checks, name, mutant)
    with pytest.raises(generation_world.InvariantError, match="mixed answer"):
        run(scenario)
