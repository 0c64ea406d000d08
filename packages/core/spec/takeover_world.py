"""Checks the takeover of grouped claims by a search over the code's states.

One old holder writes groups while a new holder reads and seals them. Bounds:
`ENTRIES` claims, two lost answers; delays are unbounded. Writes whose answer
was lost arrive at any later time or never.
"""

from collections.abc import Iterator
import json
from typing import Any, NamedTuple

from packages.core.spec import lease_world
from rattanpulley_core import claims
from rattanpulley_core import interfaces
from rattanpulley_core import leases

ENTRIES = 3
OLD_FENCE = 1


class World(NamedTuple):
    """The two holders and the store.

    Attributes:
        parts: Writer of the old holder and takeover of the new one, frozen.
        actions: Open store action of each, or None.
        stored: Keys and JSON values, in the order of writing.
        late: Writes whose sender gave up waiting.
        committed: Claims that the old holder may start.
        added: Claims that the old holder has taken.
        begun: Whether the takeover has begun.
        lost: Answers that may still be lost.
        sealing: Whether seals reach the store; False removes the rule.
    """

    parts: tuple[lease_world.Frozen, lease_world.Frozen]
    actions: tuple[Any, Any] = (None, None)
    stored: tuple[tuple[str, str], ...] = ()
    late: frozenset[tuple[str, str]] = frozenset()
    committed: frozenset[str] = frozenset()
    added: int = 0
    begun: bool = False
    lost: int = 2
    sealing: bool = True


Steps = Iterator[tuple[str, World]]
_KINDS = (leases.GroupWriter, leases.Takeover)


def initial(sealing: bool) -> World:
    """Returns the state before any step."""
    writer = leases.GroupWriter("range", OLD_FENCE, "old", window_s=0.0)
    takeover = leases.Takeover("range", OLD_FENCE + 1)
    parts = (lease_world.freeze(writer), lease_world.freeze(takeover))
    return World(parts, sealing=sealing)


def broken_invariant(world: World) -> str | None:
    """Returns the name of the broken invariant, or None."""
    takeover = lease_world.thaw(leases.Takeover, world.parts[1])
    if takeover.state is not leases.TakeoverState.DONE:
        return None
    if world.committed <= set(takeover.records_by_digest):
        return None
    return "the new holder does not know a claim that the old one may start"


def successors(world: World) -> Steps:
    """Returns every step that can happen next."""
    if world.added < ENTRIES:
        yield f"claim {world.added} arrives", _add(world)
    if world.actions[0] is None:
        writer = lease_world.thaw(leases.GroupWriter, world.parts[0])
        yield "old holder ticks", _after(world, 0, writer, writer.tick(0.0))
    if not world.begun:
        takeover = lease_world.thaw(leases.Takeover, world.parts[1])
        begun = _after(world, 1, takeover, takeover.begin())
        yield "takeover begins", begun._replace(begun=True)
    for index in (0, 1):
        if world.actions[index] is not None:
            yield from _store_steps(world, index)
    for put in world.late:
        rest = world._replace(late=world.late - {put})
        yield f"late write of {put[0]}", _write(rest, *put)[0]


def _add(world: World) -> World:
    writer = lease_world.thaw(leases.GroupWriter, world.parts[0])
    writer.add(str(world.added), "started", 0.0)
    after = world._replace(added=world.added + 1)
    return after._replace(parts=(lease_world.freeze(writer), world.parts[1]))


def _after(
    world: World, index: int, part: Any, actions: list[claims.Action]
) -> World:
    open_action = None
    committed = set(world.committed)
    for action in actions:
        if isinstance(action, claims.StorePut):
            open_action = (action.key, json.dumps(action.value))
        elif isinstance(action, claims.StoreGet):
            open_action = (action.key, "")
        elif isinstance(action, leases.GroupCommitted):
            committed.update(digest for digest, _ in action.entries)
    parts = list(world.parts)
    parts[index] = lease_world.freeze(part)
    pending = list(world.actions)
    pending[index] = open_action
    return world._replace(
        parts=(parts[0], parts[1]),
        actions=(pending[0], pending[1]),
        committed=frozenset(committed),
    )


def _store_steps(world: World, index: int) -> Steps:
    key, value = world.actions[index]
    after, event = _answer(world, index)
    yield f"store answers {index} about {key}", _tell(after, index, event)
    if world.lost:
        fewer = world._replace(lost=world.lost - 1)
        if value and (world.sealing or index == 0):
            fewer = fewer._replace(late=world.late | {(key, value)})
        yield (
            f"{index} gives up",
            _tell(fewer, index, claims.StoreOutcomeUnknown()),
        )


def _answer(world: World, index: int) -> tuple[World, claims.Event]:
    key, value = world.actions[index]
    if not value:
        return world, _found(key, dict(world.stored).get(key))
    if index == 1 and not world.sealing:
        return world, _found(key, value)
    after, done = _write(world, key, value)
    return after, _found(key, value) if done else claims.StoreConflict()


def _found(key: str, value: str | None) -> claims.StoreAnswered:
    if value is None:
        return claims.StoreAnswered(None)
    stored = interfaces.StoredObject(key, json.loads(value), 1, 1)
    return claims.StoreAnswered(stored)


def _write(world: World, key: str, value: str) -> tuple[World, bool]:
    if key in dict(world.stored):
        return world, False
    return world._replace(stored=(*world.stored, (key, value))), True


def _tell(world: World, index: int, event: claims.Event) -> World:
    part = lease_world.thaw(_KINDS[index], world.parts[index])
    return _after(world, index, part, part.handle(event, 0.0))
