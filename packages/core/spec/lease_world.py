"""Checks leases by a search over the states of the code itself.

`Lease` holds no clock, so the search copies it and runs it in every order with
delayed and lost messages. Its times are kept relative to its daemon's clock,
which always reads 0, so that equal situations at different times are one state.

Bounds: two daemons, fences up to `MAX_FENCE`, renewals and lost answers as
given, and one unit of time that each clock loses or gains in a run. An effect
reaches the target at most `FLIGHT` units after the check; the target does not
look at fences.
"""

from collections.abc import Iterator
import functools
from typing import Any, NamedTuple

from rattanpulley_core import claims
from rattanpulley_core import interfaces
from rattanpulley_core import leases

MAX_FENCE = 2
FLIGHT = 1
# The first daemon's clock may lose a unit and the second's may gain one: the
# worst case for a lease that goes from the first to the second.
CLOCK_ERRORS = (-1, 1)

EVENTS = {
    "conflict": claims.StoreConflict(),
    "unclear": claims.StoreOutcomeUnknown(),
}

Frozen = tuple[tuple[str, Any], ...]


def freeze(part: Any) -> Frozen:
    """Returns the fields of a part as a value that can be compared."""
    return tuple((name, _frozen(v)) for name, v in vars(part).items())


def thaw(kind: type, fields: Frozen) -> Any:
    """Returns a new part with the fields."""
    part: Any = object.__new__(kind)
    for name, value in fields:
        setattr(part, name, _thawed(value))
    return part


def _frozen(value: Any) -> Any:
    if isinstance(value, dict):
        return ("dict", tuple((k, _frozen(v)) for k, v in value.items()))
    if isinstance(value, list):
        return ("list", tuple(_frozen(v) for v in value))
    return value


def _thawed(value: Any) -> Any:
    if isinstance(value, tuple) and value[:1] == ("dict",):
        return {k: _thawed(v) for k, v in value[1]}
    if isinstance(value, tuple) and value[:1] == ("list",):
        return [_thawed(v) for v in value[1]]
    return value


class Daemon(NamedTuple):
    """A lease holder, its clock error, open action and effect in flight."""

    lease: Frozen
    drifted: bool = False
    action: Any = None
    effect: tuple[int, int] | None = None  # Fence and age in units.


class World(NamedTuple):
    """Two daemons, one lease object and one target.

    Attributes:
        daemons: The daemons.
        stored: Version and value of the lease object.
        late: Writes whose sender gave up waiting.
        last_fence: Highest fence of an effect that arrived.
        broken: Whether an older fence arrived after it.
        renewals: Renewals that may still be written.
        lost: Answers that may still be lost.
    """

    daemons: tuple[Daemon, ...]
    stored: tuple[int, Any] = (0, None)
    late: tuple[Any, ...] = ()
    last_fence: int = 0
    broken: bool = False
    renewals: int = 1
    lost: int = 0


Steps = Iterator[tuple[str, World]]


def initial(
    settings: leases.LeaseSettings, renewals: int = 1, lost: int = 0
) -> World:
    """Returns the state before any step."""
    return World(
        tuple(
            Daemon(freeze(leases.Lease("range", f"daemon-{i}", settings)))
            for i in range(2)
        ),
        renewals=renewals,
        lost=lost,
    )


def broken_invariant(world: World) -> str | None:
    """Returns the name of the broken invariant, or None."""
    if world.broken:
        return "an effect of an old holder came after one of a new holder"
    return None


def successors(world: World) -> Steps:
    """Returns every step that can happen next."""
    yield from _time_steps(world)
    for index, daemon in enumerate(world.daemons):
        if daemon.effect is not None:
            yield f"effect of {index} arrives", _arrive(world, index)
        if daemon.action is None:
            yield from _free_steps(world, index)
        else:
            yield from _store_steps(world, index)
    for put in world.late:
        rest = tuple(other for other in world.late if other is not put)
        yield "late write arrives", _write(world, put)[0]._replace(late=rest)


def _time_steps(world: World) -> Steps:
    if any(d.effect and d.effect[1] == FLIGHT for d in world.daemons):
        return
    moved = tuple(_older(daemon, 1) for daemon in world.daemons)
    yield "time passes", world._replace(daemons=moved)
    for index, error in enumerate(CLOCK_ERRORS):
        if world.daemons[index].drifted:
            continue
        wrong = _older(world.daemons[index], 1 + error)._replace(drifted=True)
        daemons = (*moved[:index], wrong, *moved[index + 1 :])
        name = f"time passes, clock of {index} errs by {error}"
        yield name, world._replace(daemons=daemons)


def _older(daemon: Daemon, elapsed: int) -> Daemon:
    """Moves a daemon's clock on."""
    effect = daemon.effect and (daemon.effect[0], daemon.effect[1] + 1)
    lease = _older_lease(daemon.lease, elapsed)
    return daemon._replace(lease=lease, effect=effect)


# The parts are pure, so each of their steps is taken once and kept.
@functools.cache
def _older_lease(fields: Frozen, elapsed: int) -> Frozen:
    """Moves a lease's times back."""
    lease = thaw(leases.Lease, fields)
    duration_s = lease._settings.duration_s
    for name in ("_renew_at_s", "_valid_until_s", "_act_from_s"):
        # Times that have passed are alike.
        setattr(lease, name, max(0.0, getattr(lease, name) - elapsed))
    lease._seen_s = max(-duration_s, lease._seen_s - elapsed)
    for write, sent_s in lease._sent_s_by_write.items():
        lease._sent_s_by_write[write] = max(-duration_s, sent_s - elapsed)
    return freeze(lease)


@functools.cache
def _judged(fields: Frozen) -> tuple[bool, int, bool]:
    """Returns whether it may act, its fence and whether it is held."""
    lease = thaw(leases.Lease, fields)
    held = lease.state is leases.LeaseState.HELD
    return lease.may_act(0.0), lease.fence, held


@functools.cache
def _ticked(fields: Frozen) -> tuple[Frozen, Any]:
    lease = thaw(leases.Lease, fields)
    action = _key(lease.tick(0.0))
    return freeze(lease), action


@functools.cache
def _told(fields: Frozen, kind: str, stored: Any) -> tuple[Frozen, Any]:
    lease = thaw(leases.Lease, fields)
    event = _stored(stored) if kind == "answer" else EVENTS[kind]
    action = _key(lease.handle(event, 0.0))
    return freeze(lease), action


def _with(world: World, index: int, daemon: Daemon) -> World:
    daemons = list(world.daemons)
    daemons[index] = daemon
    return world._replace(daemons=tuple(daemons))


def _arrive(world: World, index: int) -> World:
    daemon = world.daemons[index]
    assert daemon.effect is not None
    fence = daemon.effect[0]
    after = _with(world, index, daemon._replace(effect=None))
    return after._replace(
        last_fence=max(fence, world.last_fence),
        broken=fence < world.last_fence,
    )


def _free_steps(world: World, index: int) -> Steps:
    daemon = world.daemons[index]
    may_act, fence, held = _judged(daemon.lease)
    if daemon.effect is None and may_act:
        sent = daemon._replace(effect=(fence, 0))
        yield f"{index} starts an effect", _with(world, index, sent)
    if index and not world.stored[0]:
        return  # The first daemon is the first holder.
    lease, action = _ticked(daemon.lease)
    if action is None or not _in_bounds(world, action, held):
        return
    if held and action[0] == "put":
        world = world._replace(renewals=world.renewals - 1)
    ticked = daemon._replace(lease=lease, action=action)
    yield f"{index} ticks", _with(world, index, ticked)


def _in_bounds(world: World, action: Any, held: bool) -> bool:
    if action[0] == "get":
        return True
    if held and not world.renewals:
        return False
    return bool(dict(action[2])["fence"] <= MAX_FENCE)


def _key(actions: list[claims.Action]) -> Any:
    """Returns a store action as a value: None for a read."""
    if not actions:
        return None
    if isinstance(actions[0], claims.StorePut):
        put = actions[0]
        return ("put", put.expected_version, tuple(put.value.items()))
    return ("get",)


def _store_steps(world: World, index: int) -> Steps:
    action = world.daemons[index].action
    after, done = world, True
    if action[0] == "put":
        after, done = _write(world, action)
    kind = "answer" if done else "conflict"
    name = f"store answers {index}'s {action[0]}: {kind}"
    yield name, _tell(after, index, kind)
    if world.lost:
        fewer = world._replace(lost=world.lost - 1)
        if action[0] == "put":
            fewer = fewer._replace(late=(*fewer.late, action))
        yield f"{index} gives up", _tell(fewer, index, "unclear")


def _write(world: World, put: Any) -> tuple[World, bool]:
    _, expected, value = put
    if world.stored[0] != expected:
        return world, False
    # Late writes that expect an older version have no effect any more.
    late = tuple(other for other in world.late if other[1] > expected)
    return world._replace(stored=(expected + 1, value), late=late), True


def _stored(stored: tuple[int, Any]) -> claims.StoreAnswered:
    version, value = stored
    if version == 0:
        return claims.StoreAnswered(None)
    return claims.StoreAnswered(
        interfaces.StoredObject("lease", dict(value), version, version)
    )


def _tell(world: World, index: int, kind: str) -> World:
    daemon = world.daemons[index]
    stored = world.stored if kind == "answer" else None
    lease, action = _told(daemon.lease, kind, stored)
    return _with(world, index, daemon._replace(lease=lease, action=action))
