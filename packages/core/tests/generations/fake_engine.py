"""Simulated engine for the tests of the generation core."""

import dataclasses
import itertools
from typing import Any

from rattanpulley_core import generations


@dataclasses.dataclass
class HeldGeneration:
    """A generation that an engine runs or keeps.

    Attributes:
        attempt: Number of the newest attempt.
        tokens: Tokens so far, including the resumed ones.
    """

    attempt: int
    tokens: list[str]


@dataclasses.dataclass
class Connection:
    """A stream from an engine to a daemon.

    Attributes:
        daemon: Index of the daemon.
        generation_id: Id of the generation.
        attempt: Number of the attempt.
        next_index: Index of the next token to send.
        held: The generation that is streamed.
        unresponsive: Whether the connection drops everything without an error.
    """

    daemon: int
    generation_id: str
    attempt: int
    next_index: int
    held: HeldGeneration
    unresponsive: bool = False


class Engine:
    """An engine that generates one token per call of `produce`.

    Attributes:
        world: The simulation.
        name: Name of the target.
        version: Version that the engine runs.
        boots: Numbers of the next processes.
        boot_id: Id of the current process.
        alive: Whether the process runs.
        paused: Whether the process hangs; it handles queued actions later.
        ignores_cancel: Whether cancelled streams continue.
        deterministic: Whether every run generates the same tokens.
        refuses: Whether new attempts are refused.
        held_by_id: Generations by id.
        connections: Open streams.
        queued_actions: Daemons and actions that arrived during a pause.
        admission_by_action: Admission that each action belongs to, by the
            action's `id()`.
    """

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
        self.held_by_id: dict[str, HeldGeneration] = {}
        self.connections: list[Connection] = []
        self.queued_actions: list[tuple[int, generations.Action]] = []
        self.admission_by_action: dict[int, tuple[int, str, int]] = {}

    def receive(self, daemon: int, action: generations.Action) -> None:
        """Handles an action, or queues it while the engine is paused."""
        self.admission_by_action.setdefault(
            id(action), self.world.admission_key(daemon, action.generation_id)
        )
        if not self.alive:
            self.fail(daemon, action, generations.FailureReason.NOT_CONNECTED)
        elif self.paused:
            self.queued_actions.append((daemon, action))
        elif isinstance(action, generations.StartAttempt):
            self.start(daemon, action)
        else:
            self.attach(daemon, action)

    def start(self, daemon: int, action: generations.StartAttempt) -> None:
        if self.refuses:
            self.fail(daemon, action, generations.FailureReason.REFUSED)
            return
        former = self.held_by_id.get(action.generation_id)
        if former is not None and action.attempt <= former.attempt:
            self.fail(daemon, action, generations.FailureReason.HELD)
            return
        if former is not None:
            self.end_connections(former)
        self.world.accepted.add(self.admission_by_action[id(action)])
        held = HeldGeneration(action.attempt, list(action.resume_tokens))
        self.held_by_id[action.generation_id] = held
        self.connect(daemon, action, len(held.tokens), held)

    def end_connections(self, held: HeldGeneration) -> None:
        """Resets the streams of a run that a newer attempt replaces."""
        ended = [c for c in self.connections if c.held is held]
        self.connections = [c for c in self.connections if c.held is not held]
        for c in ended:
            if not c.unresponsive:
                event = generations.AttemptFailed(
                    c.generation_id, c.attempt, generations.FailureReason.RESET
                )
                self.world.post(c.daemon, event)

    def attach(self, daemon: int, action: generations.AttachAttempt) -> None:
        held = self.held_by_id.get(action.generation_id)
        if held is None:
            self.fail(daemon, action, generations.FailureReason.NOT_HELD)
            return
        held.attempt = max(held.attempt, action.attempt)
        self.connect(daemon, action, action.from_index, held)

    def connect(self, daemon, action, next_index, held) -> None:
        self.connections.append(
            Connection(
                daemon, action.generation_id, action.attempt, next_index, held
            )
        )
        self.world.post(
            daemon,
            generations.AttemptAccepted(
                action.generation_id, action.attempt, self.boot_id
            ),
        )

    def fail(self, daemon, action, reason) -> None:
        self.world.post(
            daemon,
            generations.AttemptFailed(
                action.generation_id, action.attempt, reason
            ),
        )

    def cancel(self, daemon: int, action: generations.CancelAttempt) -> None:
        if self.ignores_cancel:
            return
        key = (daemon, action.generation_id, action.attempt)
        self.connections = [
            c
            for c in self.connections
            if (c.daemon, c.generation_id, c.attempt) != key
        ]
        held = self.held_by_id.get(action.generation_id)
        if held and not action.keep_running and held.attempt <= action.attempt:
            del self.held_by_id[action.generation_id]

    def produce(self) -> None:
        """Generates one token per streamed generation and sends new tokens."""
        if not self.alive or self.paused:
            return
        connections_by_run = {id(c.held): c for c in self.connections}
        for connection in connections_by_run.values():
            self.generate(connection.generation_id, connection.held)
        for connection in list(self.connections):
            self.send(connection)

    def generate(self, generation_id: str, held: HeldGeneration) -> None:
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
        if connection.unresponsive:
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
            if not c.unresponsive:
                event = generations.AttemptFailed(
                    c.generation_id, c.attempt, generations.FailureReason.RESET
                )
                self.world.post(c.daemon, event)
        self.connections = []
        self.held_by_id = {}
        self.queued_actions = []
        self.alive = False
        self.paused = False

    def revive(self) -> None:
        """Restarts a dead engine or continues a paused one."""
        if not self.alive:
            self.alive = True
            self.boot_id = f"{self.name}-{next(self.boots)}"
        self.paused = False
        queued_actions, self.queued_actions = self.queued_actions, []
        for daemon, action in queued_actions:
            self.receive(daemon, action)

    def probe(self, daemon: int, action: generations.ProbeTarget) -> None:
        if not self.alive or self.paused:
            self.world.post(
                daemon,
                generations.ProbeFailed(
                    action.target, action.probe_id, not self.alive
                ),
            )
            return
        progress = {
            name: len(self.held_by_id[name].tokens)
            for name in action.generation_ids
            if name in self.held_by_id
        }
        self.world.post(
            daemon,
            generations.ProbeSucceeded(
                action.target, action.probe_id, self.boot_id, False, progress
            ),
        )
