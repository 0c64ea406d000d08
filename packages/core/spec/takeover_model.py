"""Model of the takeover of grouped claims, with the states of the code itself.

One old holder writes groups while a new holder reads and seals them. Bounds:
`ENTRIES` claims and two lost answers. Delays are unbounded: a write whose
answer was lost arrives at any later time or never.
"""

from collections.abc import Iterator
import json
from typing import Any, NamedTuple

from packages.core.spec import lease_model
from rattanpulley_core import claims
from rattanpulley_core import interfaces
from rattanpulley_core import leases

ENTRIES = 3
OLD_FENCE = 1


class SystemState(NamedTuple):
    """State of the two holders and the store.

    Attributes:
        instances: Snapshots of the old holder's `GroupWriter` and the new
            holder's `Takeover`.
        actions: Store action of each that is not answered yet, or None.
        stored: Keys and JSON values, in the order of writing.
        delayed: Writes whose sender stopped waiting for the answer.
        committed: Claims that the old holder may start.
        added: Number of claims added at the old holder.
        begun: Whether the takeover has begun.
        lost_answers: Answers that may still be lost.
        sealing: Whether seals reach the store; False disables the rule.
    """

    instances: tuple[lease_model.Snapshot, lease_model.Snapshot]
    actions: tuple[Any, Any] = (None, None)
    stored: tuple[tuple[str, str], ...] = ()
    delayed: frozenset[tuple[str, str]] = frozenset()
    committed: frozenset[str] = frozenset()
    added: int = 0
    begun: bool = False
    lost_answers: int = 2
    sealing: bool = True


Steps = Iterator[tuple[str, SystemState]]
_KINDS = (leases.GroupWriter, leases.Takeover)


def initial(sealing: bool) -> SystemState:
    """Returns the state before any step."""
    writer = leases.GroupWriter("range", OLD_FENCE, "old", window_s=0.0)
    takeover = leases.Takeover("range", OLD_FENCE + 1)
    instances = (lease_model.snapshot(writer), lease_model.snapshot(takeover))
    return SystemState(instances, sealing=sealing)


def find_violation(state: SystemState) -> str | None:
    """Describes the violated invariant, or returns None."""
    takeover = lease_model.restore(leases.Takeover, state.instances[1])
    if takeover.state is not leases.TakeoverState.DONE:
        return None
    if state.committed <= set(takeover.records_by_digest):
        return None
    return "the new holder does not know a claim that the old one may start"


def successors(state: SystemState) -> Steps:
    """Yields the name and the next state of every possible step."""
    if state.added < ENTRIES:
        yield f"claim {state.added} arrives", _add(state)
    if state.actions[0] is None:
        writer = lease_model.restore(leases.GroupWriter, state.instances[0])
        yield "old holder ticks", _after(state, 0, writer, writer.tick(0.0))
    if not state.begun:
        takeover = lease_model.restore(leases.Takeover, state.instances[1])
        begun = _after(state, 1, takeover, takeover.begin())
        yield "takeover begins", begun._replace(begun=True)
    for index in (0, 1):
        if state.actions[index] is not None:
            yield from _store_steps(state, index)
    for put in state.delayed:
        rest = state._replace(delayed=state.delayed - {put})
        yield f"delayed write of {put[0]}", _write(rest, *put)[0]


def _add(state: SystemState) -> SystemState:
    writer = lease_model.restore(leases.GroupWriter, state.instances[0])
    writer.add(str(state.added), "started", 0.0)
    after = state._replace(added=state.added + 1)
    return after._replace(
        instances=(lease_model.snapshot(writer), state.instances[1])
    )


def _after(
    state: SystemState, index: int, instance: Any, actions: list[claims.Action]
) -> SystemState:
    open_action = None
    committed = set(state.committed)
    for action in actions:
        if isinstance(action, claims.StorePut):
            open_action = (action.key, json.dumps(action.value))
        elif isinstance(action, claims.StoreGet):
            open_action = (action.key, "")
        elif isinstance(action, leases.GroupCommitted):
            committed.update(digest for digest, _ in action.entries)
    instances = list(state.instances)
    instances[index] = lease_model.snapshot(instance)
    pending = list(state.actions)
    pending[index] = open_action
    return state._replace(
        instances=(instances[0], instances[1]),
        actions=(pending[0], pending[1]),
        committed=frozenset(committed),
    )


def _store_steps(state: SystemState, index: int) -> Steps:
    key, value = state.actions[index]
    after, event = _answer(state, index)
    yield (
        f"store answers {index} about {key}",
        _handle_event(after, index, event),
    )
    if state.lost_answers:
        fewer = state._replace(lost_answers=state.lost_answers - 1)
        if value and (state.sealing or index == 0):
            fewer = fewer._replace(delayed=state.delayed | {(key, value)})
        yield (
            f"{index} stops waiting",
            _handle_event(fewer, index, claims.StoreOutcomeUnknown()),
        )


def _answer(state: SystemState, index: int) -> tuple[SystemState, claims.Event]:
    key, value = state.actions[index]
    if not value:
        return state, _found(key, dict(state.stored).get(key))
    if index == 1 and not state.sealing:
        return state, _found(key, value)
    after, done = _write(state, key, value)
    return after, _found(key, value) if done else claims.StoreConflict()


def _found(key: str, value: str | None) -> claims.StoreAnswered:
    if value is None:
        return claims.StoreAnswered(None)
    stored = interfaces.StoredObject(key, json.loads(value), 1, 1)
    return claims.StoreAnswered(stored)


def _write(
    state: SystemState, key: str, value: str
) -> tuple[SystemState, bool]:
    if key in dict(state.stored):
        return state, False
    return state._replace(stored=(*state.stored, (key, value))), True


def _handle_event(
    state: SystemState, index: int, event: claims.Event
) -> SystemState:
    instance = lease_model.restore(_KINDS[index], state.instances[index])
    return _after(state, index, instance, instance.handle(event, 0.0))
