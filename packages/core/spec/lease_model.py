"""Model of two lease holders whose states are those of the code itself.

`Lease` reads no clock, so the search copies it and runs it in every order with
delayed and lost messages. Its times are stored relative to its daemon's clock,
which always reads 0, so that equal situations at different times are one state.

Bounds: two daemons, fences up to `MAX_FENCE`, the given numbers of renewals and
lost answers, and one unit of time that each clock loses or gains in a run. An
effect reaches the target at most `MAX_EFFECT_DELAY` units after the check; the
target does not check fences.
"""

from collections.abc import Iterator
import functools
from typing import Any, NamedTuple

from rattanpulley_core import claims
from rattanpulley_core import interfaces
from rattanpulley_core import leases

MAX_FENCE = 2
MAX_EFFECT_DELAY = 1
# The first daemon's clock may lose one unit and the second's may gain one. This
# is the worst case for a lease that passes from the first to the second.
CLOCK_ERRORS = (-1, 1)

EVENTS = {
    "conflict": claims.StoreConflict(),
    "outcome_unknown": claims.StoreOutcomeUnknown(),
}

Snapshot = tuple[tuple[str, Any], ...]


def snapshot(instance: Any) -> Snapshot:
    """Returns the attributes of an instance as a hashable value."""
    return tuple((name, _to_hashable(v)) for name, v in vars(instance).items())


def restore(kind: type, fields: Snapshot) -> Any:
    """Returns a new instance of a class with the attributes of a snapshot."""
    instance: Any = object.__new__(kind)
    for name, value in fields:
        setattr(instance, name, _from_hashable(value))
    return instance


def _to_hashable(value: Any) -> Any:
    if isinstance(value, dict):
        return ("dict", tuple((k, _to_hashable(v)) for k, v in value.items()))
    if isinstance(value, list):
        return ("list", tuple(_to_hashable(v) for v in value))
    return value


def _from_hashable(value: Any) -> Any:
    if isinstance(value, tuple) and value[:1] == ("dict",):
        return {k: _from_hashable(v) for k, v in value[1]}
    if isinstance(value, tuple) and value[:1] == ("list",):
        return [_from_hashable(v) for v in value[1]]
    return value


class DaemonState(NamedTuple):
    """State of one daemon.

    Attributes:
        lease: Snapshot of its `Lease`.
        drifted: Whether its clock error has occurred.
        action: Store action that is not answered yet, or None.
        effect: Fence and age in units of the effect in transit, or None.
    """

    lease: Snapshot
    drifted: bool = False
    action: Any = None
    effect: tuple[int, int] | None = None  # Fence and age in units.


class SystemState(NamedTuple):
    """State of two daemons, one lease object and one target.

    Attributes:
        daemons: States of the daemons.
        stored: Version and value of the lease object.
        delayed: Writes whose sender stopped waiting for the answer.
        last_fence: Highest fence of an effect that arrived.
        order_violated: Whether an effect with a lower fence arrived after it.
        renewals: Renewals that may still be written.
        lost_answers: Answers that may still be lost.
    """

    daemons: tuple[DaemonState, ...]
    stored: tuple[int, Any] = (0, None)
    delayed: tuple[Any, ...] = ()
    last_fence: int = 0
    order_violated: bool = False
    renewals: int = 1
    lost_answers: int = 0


Steps = Iterator[tuple[str, SystemState]]


def initial(
    settings: leases.LeaseSettings, renewals: int = 1, lost_answers: int = 0
) -> SystemState:
    """Returns the state before any step."""
    return SystemState(
        tuple(
            DaemonState(
                snapshot(leases.Lease("range", f"daemon-{i}", settings))
            )
            for i in range(2)
        ),
        renewals=renewals,
        lost_answers=lost_answers,
    )


def find_violation(state: SystemState) -> str | None:
    """Describes the violated invariant, or returns None."""
    if state.order_violated:
        return "an effect of an old holder came after one of a new holder"
    return None


def successors(state: SystemState) -> Steps:
    """Yields the name and the next state of every possible step."""
    yield from _time_steps(state)
    for index, daemon in enumerate(state.daemons):
        if daemon.effect is not None:
            yield f"effect of {index} arrives", _deliver_effect(state, index)
        if daemon.action is None:
            yield from _idle_steps(state, index)
        else:
            yield from _store_steps(state, index)
    for put in state.delayed:
        rest = tuple(other for other in state.delayed if other is not put)
        yield (
            "delayed write arrives",
            _write(state, put)[0]._replace(delayed=rest),
        )


def _time_steps(state: SystemState) -> Steps:
    if any(d.effect and d.effect[1] == MAX_EFFECT_DELAY for d in state.daemons):
        return
    moved = tuple(_advance_clock(daemon, 1) for daemon in state.daemons)
    yield "time passes", state._replace(daemons=moved)
    for index, error in enumerate(CLOCK_ERRORS):
        if state.daemons[index].drifted:
            continue
        wrong = _advance_clock(state.daemons[index], 1 + error)._replace(
            drifted=True
        )
        daemons = (*moved[:index], wrong, *moved[index + 1 :])
        name = f"time passes, clock of {index} errs by {error}"
        yield name, state._replace(daemons=daemons)


def _advance_clock(daemon: DaemonState, elapsed: int) -> DaemonState:
    """Advances a daemon's clock."""
    effect = daemon.effect and (daemon.effect[0], daemon.effect[1] + 1)
    lease = _shift_lease_times(daemon.lease, elapsed)
    return daemon._replace(lease=lease, effect=effect)


# `Lease` is deterministic, so each of its steps is computed once and cached.
@functools.cache
def _shift_lease_times(fields: Snapshot, elapsed: int) -> Snapshot:
    """Shifts the times of a lease back by the elapsed time."""
    lease = restore(leases.Lease, fields)
    duration_s = lease._settings.duration_s
    for name in ("_renew_at_s", "_valid_until_s", "_act_from_s"):
        # Times in the past are equivalent.
        setattr(lease, name, max(0.0, getattr(lease, name) - elapsed))
    lease._seen_s = max(-duration_s, lease._seen_s - elapsed)
    for write, sent_s in lease._sent_s_by_write.items():
        lease._sent_s_by_write[write] = max(-duration_s, sent_s - elapsed)
    return snapshot(lease)


@functools.cache
def _lease_status(fields: Snapshot) -> tuple[bool, int, bool]:
    """Returns whether the lease may act, its fence and whether it is held."""
    lease = restore(leases.Lease, fields)
    held = lease.state is leases.LeaseState.HELD
    return lease.may_act(0.0), lease.fence, held


@functools.cache
def _ticked(fields: Snapshot) -> tuple[Snapshot, Any]:
    lease = restore(leases.Lease, fields)
    action = _action_value(lease.tick(0.0))
    return snapshot(lease), action


@functools.cache
def _handled(fields: Snapshot, kind: str, stored: Any) -> tuple[Snapshot, Any]:
    lease = restore(leases.Lease, fields)
    event = _stored(stored) if kind == "answer" else EVENTS[kind]
    action = _action_value(lease.handle(event, 0.0))
    return snapshot(lease), action


def _with_daemon(
    state: SystemState, index: int, daemon: DaemonState
) -> SystemState:
    daemons = list(state.daemons)
    daemons[index] = daemon
    return state._replace(daemons=tuple(daemons))


def _deliver_effect(state: SystemState, index: int) -> SystemState:
    daemon = state.daemons[index]
    assert daemon.effect is not None
    fence = daemon.effect[0]
    after = _with_daemon(state, index, daemon._replace(effect=None))
    return after._replace(
        last_fence=max(fence, state.last_fence),
        order_violated=fence < state.last_fence,
    )


def _idle_steps(state: SystemState, index: int) -> Steps:
    daemon = state.daemons[index]
    may_act, fence, held = _lease_status(daemon.lease)
    if daemon.effect is None and may_act:
        sent = daemon._replace(effect=(fence, 0))
        yield f"{index} starts an effect", _with_daemon(state, index, sent)
    if index and not state.stored[0]:
        return  # The first daemon is the first holder.
    lease, action = _ticked(daemon.lease)
    if action is None or not _in_bounds(state, action, held):
        return
    if held and action[0] == "put":
        state = state._replace(renewals=state.renewals - 1)
    ticked = daemon._replace(lease=lease, action=action)
    yield f"{index} ticks", _with_daemon(state, index, ticked)


def _in_bounds(state: SystemState, action: Any, held: bool) -> bool:
    if action[0] == "get":
        return True
    if held and not state.renewals:
        return False
    return bool(dict(action[2])["fence"] <= MAX_FENCE)


def _action_value(actions: list[claims.Action]) -> Any:
    """Returns a store action as a hashable value, or None without an action."""
    if not actions:
        return None
    if isinstance(actions[0], claims.StorePut):
        put = actions[0]
        return ("put", put.expected_version, tuple(put.value.items()))
    return ("get",)


def _store_steps(state: SystemState, index: int) -> Steps:
    action = state.daemons[index].action
    after, done = state, True
    if action[0] == "put":
        after, done = _write(state, action)
    kind = "answer" if done else "conflict"
    name = f"store answers {index}'s {action[0]}: {kind}"
    yield name, _handle_event(after, index, kind)
    if state.lost_answers:
        fewer = state._replace(lost_answers=state.lost_answers - 1)
        if action[0] == "put":
            fewer = fewer._replace(delayed=(*fewer.delayed, action))
        yield (
            f"{index} stops waiting",
            _handle_event(fewer, index, "outcome_unknown"),
        )


def _write(state: SystemState, put: Any) -> tuple[SystemState, bool]:
    _, expected, value = put
    if state.stored[0] != expected:
        return state, False
    # Delayed writes that expect an older version can no longer take effect.
    delayed = tuple(other for other in state.delayed if other[1] > expected)
    return state._replace(stored=(expected + 1, value), delayed=delayed), True


def _stored(stored: tuple[int, Any]) -> claims.StoreAnswered:
    version, value = stored
    if version == 0:
        return claims.StoreAnswered(None)
    return claims.StoreAnswered(
        interfaces.StoredObject("lease", dict(value), version, version)
    )


def _handle_event(state: SystemState, index: int, kind: str) -> SystemState:
    daemon = state.daemons[index]
    stored = state.stored if kind == "answer" else None
    lease, action = _handled(daemon.lease, kind, stored)
    return _with_daemon(
        state, index, daemon._replace(lease=lease, action=action)
    )
