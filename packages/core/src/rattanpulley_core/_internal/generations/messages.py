"""Events handled by the generation core and actions that it returns.

A generation is one answer to one request. It is computed by one or more
attempts, numbered from 1, of which only the newest may add tokens. Token
indexes count from 0 over the complete answer.
"""

import dataclasses
import enum

from rattanpulley_core import results
from rattanpulley_core._internal.suspects import reports


@dataclasses.dataclass(frozen=True, slots=True)
class Sampling:
    """Sampling settings, the same for every attempt of a generation.

    Attributes:
        max_tokens: Maximum number of tokens of the answer.
        seed: Seed of the random number generator.
        temperature: Sampling temperature.
    """

    max_tokens: int
    seed: int
    temperature: float


@dataclasses.dataclass(frozen=True, slots=True)
class GenerationRequest:
    """A caller's request, after routing.

    Attributes:
        generation_id: 32 hex digits, not guessable by other accounts.
        account: Client account.
        route: Name of the route.
        pool: Name of the target pool of the route.
        model: Model name that is passed to the engine.
        fingerprint: Hex digest of route, model and canonical body. It does not
            depend on the account or the Idempotency-Key.
        prompt: Prompt text.
        sampling: Sampling settings.
        priority: Priority for the engine; a larger value is more urgent.
        deadline_s: Monotonic time by which the answer must be complete.
    """

    generation_id: str
    account: str
    route: str
    pool: str
    model: str
    fingerprint: str
    prompt: str
    sampling: Sampling
    priority: int
    deadline_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ResumePoint:
    """Position of a resuming caller, taken from its verified event id.

    Attributes:
        attempt: Attempt that delivered the token.
        target: Target of that attempt.
        version: Version that the generation is pinned to.
        index: Index of the last token that the caller received; -1 for none.
        chain: Keyed digest over the tokens up to and including `index`.
        key_id: Id of the key that signed the event id; empty for the current
            signing key.
    """

    attempt: int
    target: str
    version: str
    index: int
    chain: bytes
    key_id: str = ""


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
    request: GenerationRequest
    resume: ResumePoint | None = None


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


@dataclasses.dataclass(frozen=True, slots=True)
class Action:
    """Base class of actions."""


@dataclasses.dataclass(frozen=True, slots=True)
class StartAttempt(Action):
    """Start or resume a generation on a target.

    Attributes:
        generation_id: Id of the generation.
        attempt: Number of the attempt.
        target: Name of the target.
        url: URL of the target.
        model: Model name that is passed to the engine.
        version: Version that the target must run.
        prompt: Prompt text.
        sampling: Sampling settings.
        priority: Priority for the engine; a larger value is more urgent.
        resume_tokens: Tokens so far, from which the target continues.
    """

    generation_id: str
    attempt: int
    target: str
    url: str
    model: str
    version: str
    prompt: str
    sampling: Sampling
    priority: int
    resume_tokens: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AttachAttempt(Action):
    """Attach to a generation that the target already has.

    Attributes:
        generation_id: Id of the generation.
        attempt: Number of the attempt.
        target: Name of the target.
        url: URL of the target.
        from_index: Index of the first token to read.
    """

    generation_id: str
    attempt: int
    target: str
    url: str
    from_index: int


@dataclasses.dataclass(frozen=True, slots=True)
class CancelAttempt(Action):
    """Close an attempt's connection and tell the target to stop it.

    Attributes:
        generation_id: Id of the generation.
        attempt: Number of the attempt.
        target: Name of the target.
        url: URL of the target.
        keep_running: Whether to only close the connection, because the target
            should continue the generation or cannot be reached.
    """

    generation_id: str
    attempt: int
    target: str
    url: str
    keep_running: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeTarget(Action):
    """Check on a new connection whether a target is alive.

    Attributes:
        target: Name of the target.
        url: URL of the target.
        probe_id: Number of the probe.
        generation_ids: Generations whose progress the probe asks for.
        timeout_s: Time limit for the response, in seconds.
    """

    target: str
    url: str
    probe_id: int
    generation_ids: tuple[str, ...]
    timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class DeliverTokens(Action):
    """Deliver tokens to a caller.

    Attributes:
        caller_id: Id of the caller's connection.
        generation_id: Id of the generation.
        attempt: Attempt that delivered the tokens, for the event id.
        target: Target of that attempt, for the event id.
        version: Version of the generation, for the event id.
        first_index: Index of the first token.
        tokens: The tokens.
        chains: For each token, the keyed digest over all tokens up to and
            including it.
    """

    caller_id: int
    generation_id: str
    attempt: int
    target: str
    version: str
    first_index: int
    tokens: tuple[str, ...]
    chains: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class FinishAnswer(Action):
    """Tell a caller that the answer is complete.

    Attributes:
        caller_id: Id of the caller's connection.
        generation_id: Id of the generation.
        token_count: Number of tokens of the answer.
        finish_reason: Finish reason that the target reported.
    """

    caller_id: int
    generation_id: str
    token_count: int
    finish_reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class FailAnswer(Action):
    """Tell a caller that the answer will not be completed.

    Attributes:
        caller_id: Id of the caller's connection.
        generation_id: Id of the generation.
        code: Result code of the failure.
        run_state: Whether the request may have run.
        message: Error message for the caller.
        retry_after_s: Seconds after which the caller may retry, or None.
    """

    caller_id: int
    generation_id: str
    code: results.ResultCode
    run_state: results.RunState
    message: str
    retry_after_s: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class PublishCrashReport(Action):
    """Tell the other daemons that a target crashed while running a request.

    Attributes:
        fingerprint: Fingerprint of the request.
        target: Name of the target.
        boot_id: Id of the target's process that crashed.
        run: Run of the request on the target.
    """

    fingerprint: str
    target: str
    boot_id: str
    run: reports.CrashedRun


@dataclasses.dataclass(frozen=True, slots=True)
class PublishClearance(Action):
    """Tell the other daemons that a reported request does not crash targets.

    Attributes:
        fingerprint: Fingerprint of the request.
    """

    fingerprint: str


class AttemptResult(enum.Enum):
    """Result of an attempt as counted in the comparison of versions."""

    OK = "ok"
    ERROR = "error"
    CRASH = "crash"


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptOutcome(Action):
    """Record the outcome of a new request's attempt to compare versions.

    Resumed and attached attempts are excluded. Their version is pinned, so the
    number of them that a version gets does not follow its share of new
    requests.

    Attributes:
        generation_id: Id of the generation.
        attempt: Number of the attempt.
        pool: Name of the pool.
        route: Name of the route.
        failure_domain: Failure domain of the target.
        target: Name of the target.
        version: Version of the target.
        result: How the attempt ended.
        first_token_s: Seconds until the first token, or None without a token.
        token_interval_s: Mean seconds between tokens, or None with fewer than
            two tokens.
    """

    generation_id: str
    attempt: int
    pool: str
    route: str
    failure_domain: str
    target: str
    version: str
    result: AttemptResult
    first_token_s: float | None
    token_interval_s: float | None
