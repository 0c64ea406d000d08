"""Events handled by the generation core.

A generation is one answer to one request. It is computed by one or more
attempts, numbered from 1, of which only the newest may add tokens. Token
indexes count from 0 over the complete answer.
"""

import dataclasses
import enum

from rattanpulley_core._internal.generations import requests


class FailureReason(enum.Enum):
    """Reason why an attempt ended before its answer was complete."""

    NOT_CONNECTED = "not_connected"  # No byte reached the target.
    REFUSED = "refused"  # The target responded that it did not start.
    ERRORED = "errored"  # The target returned an error; it may have run.
    REJECTED = "rejected"  # The target rejected the request as malformed.
    NOT_HELD = "not_held"  # The target does not have the generation.
    HELD = "held"  # The target already has this attempt or a newer one.
    RESET = "reset"  # The connection broke after the request was sent.
    CORRUPT = "corrupt"  # The target violated the protocol.


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """Base class of events."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallerConnected(Event):
    """A caller requests an answer, or reconnects to resume one.

    Attributes:
        caller_id: Id of this connection within the daemon.
        request: The routed request.
        resume: Position to resume from, or None for a caller that requests the
            answer from its start.
    """

    caller_id: int
    request: requests.GenerationRequest
    resume: requests.ResumePoint | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerDisconnected(Event):
    """A caller's connection ended before the answer was complete."""

    caller_id: int
    generation_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptEvent(Event):
    """Base class of the events of one attempt.

    Attributes:
        generation_id: Id of the generation.
        attempt: Number of the attempt.
    """

    generation_id: str
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptAccepted(AttemptEvent):
    """The target accepted the attempt.

    Attributes:
        boot_id: Id of the target's process; empty if the target sent none.
    """

    boot_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class TokensReceived(AttemptEvent):
    """The target sent consecutive tokens.

    Attributes:
        first_index: Index of the first token.
        tokens: The tokens.
        version: Version that the target reported.
    """

    first_index: int
    tokens: tuple[str, ...]
    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptFinished(AttemptEvent):
    """The target reported that the answer is complete.

    Attributes:
        token_count: Number of tokens of the complete answer.
        finish_reason: Finish reason that the target reported.
        version: Version that the target reported.
    """

    token_count: int
    finish_reason: str
    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptFailed(AttemptEvent):
    """The attempt ended before the answer was complete.

    Attributes:
        reason: Why the attempt ended.
        message: Error message for the caller; empty if there is none.
    """

    reason: FailureReason
    message: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeSucceeded(Event):
    """A target responded to a probe.

    Attributes:
        target: Name of the target.
        probe_id: Number of the probe.
        boot_id: Id of the target's process.
        leaving: Whether the target reports that it is leaving.
        next_index_by_generation_id: Index of the next token of each generation
            that the probe asked for and that the target has.
        finished_generation_ids: Those of these generations whose answer is
            complete.
    """

    target: str
    probe_id: int
    boot_id: str
    leaving: bool
    next_index_by_generation_id: dict[str, int]
    finished_generation_ids: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeFailed(Event):
    """A target did not respond to a probe.

    Attributes:
        target: Name of the target.
        probe_id: Number of the probe.
        refused: Whether the connection was refused, so that nothing listens at
            the target's address.
    """

    target: str
    probe_id: int
    refused: bool
