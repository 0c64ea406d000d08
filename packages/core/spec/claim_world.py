"""Specification of the claim protocol: everything around the daemons.

One key, several calls of it at independent daemons, and the environment: the
store (delayed, repeated and lost messages, stale reads), the service (delayed
requests, lost answers), pauses and crashes of daemons, and an operator.

Bounds: the number of calls and the counts in `Faults`. Everything else is
unbounded within them: any order, any delay. A pause is time that passes for a
call (`age`) while its daemon takes no step.
"""

from collections.abc import Iterator
from typing import NamedTuple

from packages.core.spec import claim_daemon as daemon

OPERATOR = -2
_OPEN = ("started", "unknown")
_WAITING = ("claiming", "recording", "recording_answered")


class Faults(NamedTuple):
    """How often each fault may still occur; `stale_reads` is a switch."""

    lost: int = 2
    crashes: int = 1
    repeats: int = 1
    settlements: int = 1
    stale_reads: bool = False


class Put(NamedTuple):
    """A write on its way to the store; `expected` None writes always."""

    sender: int
    number: int
    expected: int | None
    record: daemon.Record


class World(NamedTuple):
    """State of the whole system.

    Attributes:
        calls: Calls by token.
        history: Records that the object has held; its version is the length.
        to_store: Writes on their way.
        to_service: Tokens of the requests on their way.
        faults: Faults left.
    """

    calls: tuple[daemon.Call, ...]
    history: tuple[daemon.Record, ...] = ()
    to_store: frozenset[Put] = frozenset()
    to_service: frozenset[int] = frozenset()
    faults: Faults = Faults()


Steps = Iterator[tuple[str, World]]


def initial(calls: int, faults: Faults) -> World:
    """Returns the state before any call."""
    new = tuple(daemon.Call(token) for token in range(calls))
    return World(new, faults=faults)


def broken_invariant(world: World) -> str | None:
    """Returns the name of an invariant that the state breaks, or None."""
    if sum(call.runs for call in world.calls) > 1:
        return "the action ran twice"
    for call in world.calls:
        if call.answer == "not_run" and call.runs:
            return "a call that was answered not_run ran"
        if call.answer == "ok" and not world.calls[call.answer_run].runs:
            return "an answer is not the outcome of a run"
    for record in world.history[-1:]:
        runs = world.calls[record.token].runs
        if record.state == "done" and (
            record.outcome != record.token or not runs
        ):
            return "a recorded outcome is not the outcome of the run"
        if record.state in daemon.REPEATABLE and runs:
            return "a claim that is recorded as not run ran"
    return None


def successors(world: World, rules: daemon.Rules) -> Steps:
    """Returns every step that can happen next."""
    for call in world.calls:
        if call.phase == "new":
            # Calls are alike, so the order of their starts is fixed.
            yield f"call {call.token} begins", _begin(world, call, rules)
            break
        yield from _call_steps(world, call, rules)
    for put in world.to_store:
        yield from _deliver(world, put, rules)
    for token in world.to_service:
        yield f"service runs call {token}", _run(world, token)
    yield from _operator_steps(world, rules)


def _begin(world: World, call: daemon.Call, rules: daemon.Rules) -> World:
    return _apply(world, daemon.begin(call, rules))


def _tell(
    world: World, call: daemon.Call, event: daemon.Event, rules: daemon.Rules
) -> World:
    event = event._replace(late=call.age > 0)
    return _apply(world, daemon.step(call, event, rules))


def _apply(world: World, taken: daemon.Step) -> World:
    call, action = taken
    world = _with_call(world, call)
    if action is not None and action.kind in ("put", "answer_and_put"):
        assert action.record is not None
        number = call.claim_puts + call.outcome_puts
        put = Put(call.token, number, action.expected, action.record)
        world = world._replace(to_store=world.to_store | {put})
    return _without_dead_puts(world)


def _with_call(world: World, call: daemon.Call) -> World:
    calls = list(world.calls)
    calls[call.token] = call
    return world._replace(calls=tuple(calls))


def _without_dead_puts(world: World) -> World:
    """Drops writes that can neither take effect nor be answered."""
    version = len(world.history)
    alive = frozenset(
        put
        for put in world.to_store
        if put.expected in (None, version) or _awaits(world, put)
    )
    return world._replace(to_store=alive)


def _awaits(world: World, put: Put) -> bool:
    if put.sender == OPERATOR:
        return False
    call = world.calls[put.sender]
    number = call.claim_puts + call.outcome_puts
    return call.phase in _WAITING and number == put.number


def _lose(world: World) -> World:
    faults = world.faults
    return world._replace(faults=faults._replace(lost=faults.lost - 1))


def _call_steps(world: World, call: daemon.Call, rules: daemon.Rules) -> Steps:
    name = f"call {call.token}"
    if _may_age(world, call, rules):
        older = _with_call(world, call._replace(age=call.age + 1))
        yield f"{name} ages to {call.age + 1}", older
    if call.phase == "ended":
        return
    if world.faults.crashes:
        yield f"{name} crashes", _crash(world, call)
    if call.phase == "calling":
        yield from _service_steps(world, call, rules)
        return
    if call.phase == "reading":
        yield from _read_steps(world, call, rules)
    if world.faults.lost:
        unclear = daemon.Event("store_unclear")
        yield (
            f"{name} gets no answer from the store",
            _tell(_lose(world), call, unclear, rules),
        )


def _may_age(world: World, call: daemon.Call, rules: daemon.Rules) -> bool:
    if call.age == 2:
        return False
    if rules.bounded_send and call.sending == "committed":
        # Assumption: a pause between the last look at the clock and the first
        # byte is shorter than the operator's wait.
        return call.age == 0
    holds = bool(world.history) and world.history[-1].token == call.token
    return (
        call.phase in ("claiming", "reading", "calling")
        or (holds and world.history[-1].state in _OPEN)
        or any(put.sender == call.token for put in world.to_store)
    )


def _crash(world: World, call: daemon.Call) -> World:
    ended, _ = daemon.end(call, call.answer, call.answer_run)
    faults = world.faults._replace(crashes=world.faults.crashes - 1)
    return _without_dead_puts(_with_call(world, ended)._replace(faults=faults))


def _read_steps(world: World, call: daemon.Call, rules: daemon.Rules) -> Steps:
    newest = len(world.history)
    oldest = 0 if world.faults.stale_reads else newest
    for version in range(oldest, newest + 1):
        record = world.history[version - 1] if version else None
        event = daemon.Event("store_answered", version, record)
        text = f"call {call.token} reads version {version}"
        yield text, _tell(world, call, event, rules)


def _service_steps(
    world: World, call: daemon.Call, rules: daemon.Rules
) -> Steps:
    name = f"call {call.token}"
    not_sent = daemon.Event("service_not_sent")
    if call.sending == "decided" and call.age and rules.pause_check:
        yield f"{name} is too late", _tell(world, call, not_sent, rules)
    elif call.sending == "decided":
        committed = call._replace(sending="committed")
        yield f"{name} checks its clock", _with_call(world, committed)
    elif call.sending == "committed":
        sent = _with_call(world, call._replace(sending="sent"))
        on_way = world.to_service | {call.token}
        yield f"{name} sends", sent._replace(to_service=on_way)
        yield f"{name} cannot send", _tell(world, call, not_sent, rules)
    else:
        yield from _answer_steps(world, call, rules)


def _answer_steps(
    world: World, call: daemon.Call, rules: daemon.Rules
) -> Steps:
    name = f"call {call.token}"
    if call.runs:
        answered = daemon.Event("service_answered")
        yield f"{name} is answered", _tell(world, call, answered, rules)
    if world.faults.lost:
        unknown = daemon.Event("service_unknown")
        yield (
            f"{name} loses the service's answer",
            _tell(_lose(world), call, unknown, rules),
        )


def _run(world: World, token: int) -> World:
    call = world.calls[token]
    ran = _with_call(world, call._replace(runs=call.runs + 1))
    return ran._replace(to_service=world.to_service - {token})


def _deliver(world: World, put: Put, rules: daemon.Rules) -> Steps:
    written = put.expected in (None, len(world.history))
    name = f"store {'takes' if written else 'refuses'} {put.record}"
    after = world._replace(to_store=world.to_store - {put})
    if written:
        after = after._replace(history=(*world.history, put.record))
    if _awaits(world, put):
        kind = "store_answered" if written else "store_conflict"
        event = daemon.Event(kind, len(after.history))
        call = after.calls[put.sender]
        yield name, _tell(after, call, event, rules)
    if not _awaits(world, put) or world.faults.lost:
        yield f"{name} without an answer", _without_dead_puts(after)
    if world.faults.repeats and written:
        faults = world.faults._replace(repeats=world.faults.repeats - 1)
        kept = after._replace(to_store=world.to_store, faults=faults)
        yield f"{name} and a copy stays", _without_dead_puts(kept)


def _operator_steps(world: World, rules: daemon.Rules) -> Steps:
    if not world.history or not world.faults.settlements:
        return
    record = world.history[-1]
    call = world.calls[record.token]
    if record.state not in _OPEN or (rules.settle_wait and call.age < 2):
        return
    yield "operator settles as run", _settle(world, "settled_run")
    # The operator has looked at the service: the action did not run and no
    # request is on its way.
    if not call.runs and call.token not in world.to_service:
        yield "operator settles as not run", _settle(world, "settled_not_run")


def _settle(world: World, state: str) -> World:
    faults = world.faults._replace(settlements=world.faults.settlements - 1)
    record = world.history[-1]._replace(state=state)
    put = Put(OPERATOR, 0, len(world.history), record)
    return world._replace(to_store=world.to_store | {put}, faults=faults)
