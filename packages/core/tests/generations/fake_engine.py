"""Model of an engine for the tests of the generation part."""

import dataclasses
import itertools
from typing import Any

from rattanpulley_core import generations


@dataclasses.dataclass
class Held:
    """A generation that an engine holds."""

    attempt: int
    tokens: list[str]


@dataclasses.dataclass
class Connection:
    """A stream from an engine to a daemon."""

    daemon: int
    generation_id: str
    attempt: int
    next_index: int
    held: Held
    silent: bool = False


class Engine:
    """An engine that generates one token per call of `produce`."""

    def __init__(self, world: Any, name: str, version: str) -> None:
        self.world = world
        self.name = name
        self.version = version
        self.boots = itertools.count(1)
        self.boot_id = f"{name}-0"
        self.alive = True
        self.paused = False
        self.ignores_cancel = False
        self.deterministic = True
        self.refuses = False
        self.held_by_id: dict[str, Held] = {}
        self.connections: list[Connection] = []
        self.orders: list[tuple[int, generations.Action]] = []
        self.admission_by_order: dict[int, tuple[int, str, int]] = {}

    def receive(self, daemon: int, order: generations.Action) -> None:
        """Takes an order now, or later when the engine is paused."""
        self.admission_by_order.setdefault(
            id(order), self.world.admission(daemon, order.generation_id)
        )
        if not self.alive:
            self.fail(daemon, order, generations.FailureReason.NOT_CONNECTED)
        elif self.paused:
            self.orders.append((daemon, order))
        elif isinstance(order, generations.StartAttempt):
            self.start(daemon, order)
        else:
            self.attach(daemon, order)

    def start(self, daemon: int, order: generations.StartAttempt) -> None:
        if self.refuses:
            self.fail(daemon, order, generations.FailureReason.REFUSED)
            return
        former = self.held_by_id.get(order.generation_id)
        if former is not None and order.attempt <= former.attempt:
            self.fail(daemon, order, generations.FailureReason.HELD)
            return
        if former is not None:
            self.end_connections(former)
        self.world.accepted.add(self.admission_by_order[id(order)])
        held = Held(order.attempt, list(order.resume_tokens))
        self.held_by_id[order.generation_id] = held
        self.connect(daemon, order, len(held.tokens), held)

    def end_connections(self, held: Held) -> None:
        """Ends the streams of a run that a newer attempt replaces."""
        ended = [c for c in self.connections if c.held is held]
        self.connections = [c for c in self.connections if c.held is not held]
        for c in ended:
            if not c.silent:
                event = generations.AttemptFailed(
                    c.generation_id, c.attempt, generations.FailureReason.RESET
                )
                self.world.post(c.daemon, event)

    def attach(self, daemon: int, order: generations.AttachAttempt) -> None:
        held = self.held_by_id.get(order.generation_id)
        if held is None:
            self.fail(daemon, order, generations.FailureReason.NOT_HELD)
            return
        held.attempt = max(held.attempt, order.attempt)
        self.connect(daemon, order, order.from_index, held)

    def connect(self, daemon, order, next_index, held) -> None:
        self.connections.append(
            Connection(
                daemon, order.generation_id, order.attempt, next_index, held
            )
        )
        self.world.post(
            daemon,
            generations.AttemptAccepted(
                order.generation_id, order.attempt, self.boot_id
            ),
        )

    def fail(self, daemon, order, reason) -> None:
        self.world.post(
            daemon,
            generations.AttemptFailed(
                order.generation_id, order.attempt, reason
            ),
        )

    def cancel(self, daemon: int, order: generations.CancelAttempt) -> None:
        if self.ignores_cancel:
            return
        key = (daemon, order.generation_id, order.attempt)
        self.connections = [
            c
            for c in self.connections
            if (c.daemon, c.generation_id, c.attempt) != key
        ]
        held = self.held_by_id.get(order.generation_id)
        if held and not order.keep_running and held.attempt <= order.attempt:
            del self.held_by_id[order.generation_id]

    def produce(self) -> None:
        """Generates one token of each generation and sends what is new."""
        if not self.alive or self.paused:
            return
        helds = {id(c.held): c for c in self.connections}
        for connection in helds.values():
            self.generate(connection.generation_id, connection.held)
        for connection in list(self.connections):
            self.send(connection)

    def generate(self, generation_id: str, held: Held) -> None:
        index = len(held.tokens)
        if index >= self.world.answer_tokens:
            return
        parent = held.tokens[-1].split(".")[-1] if held.tokens else "0"
        name = f"{index + 1}d"
        if not self.deterministic:
            name = f"r{next(self.world.names)}"
        held.tokens.append(
            f"{generation_id[:8]}.{self.version}.{index}.{parent}.{name}"
        )

    def send(self, connection: Connection) -> None:
        first = connection.next_index
        tokens = tuple(connection.held.tokens[first:])
        connection.next_index = first + len(tokens)
        key = (connection.generation_id, connection.attempt)
        if connection.silent:
            return
        if tokens:
            self.world.post(
                connection.daemon,
                generations.TokensReceived(*key, first, tokens, self.version),
            )
        if connection.next_index >= self.world.answer_tokens:
            self.connections.remove(connection)
            self.world.post(
                connection.daemon,
                generations.AttemptFinished(
                    *key, self.world.answer_tokens, "stop", self.version
                ),
            )

    def kill(self) -> None:
        for c in self.connections:
            if not c.silent:
                event = generations.AttemptFailed(
                    c.generation_id, c.attempt, generations.FailureReason.RESET
                )
                self.world.post(c.daemon, event)
        self.connections = []
        self.held_by_id = {}
        self.orders = []
        self.alive = False
        self.paused = False

    def revive(self) -> None:
        """Restarts a dead engine, or lets a paused one go on."""
        if not self.alive:
            self.alive = True
            self.boot_id = f"{self.name}-{next(self.boots)}"
        self.paused = False
        orders, self.orders = self.orders, []
        for daemon, order in orders:
            self.receive(daemon, order)

    def probe(self, daemon: int, order: generations.ProbeTarget) -> None:
        if not self.alive or self.paused:
            self.world.post(
                daemon,
                generations.ProbeFailed(
                    order.target, order.probe_id, not self.alive
                ),
            )
            return
        progress = {
            name: len(self.held_by_id[name].tokens)
            for name in order.generation_ids
            if name in self.held_by_id
        }
        self.world.post(
            daemon,
            generations.ProbeSucceeded(
                order.target, order.probe_id, self.boot_id, False, progress
            ),
        )
