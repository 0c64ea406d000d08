"""Events into and actions out of the generation part.

A generation is one answer to one request. It is computed by one or more
attempts, numbered from 1, of which only the newest may add tokens. Token
indexes count from 0 over the whole answer.
"""

import dataclasses
import enum

from rattanpulley_core import results


@dataclasses.dataclass(frozen=True, slots=True)
class Sampling:
    """Sampling settings, the same for every attempt of a generation."""

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
        pool: Name of the pool that the route reaches.
        model: Model name for the engine.
        fingerprint: Hex digest of route, model and canonical body. It does not
            depend on the account or the Idempotency-Key.
        prompt: Prompt text.
        sampling: Sampling settings.
        priority: Larger is more urgent.
        deadline_s: Monotonic time by which the answer must be whole.
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
    """What a verified event id says about a reconnecting caller.

    Attributes:
        attempt: Attempt that delivered the token.
        target: Target of that attempt.
        version: Version that the generation is pinned to.
        index: Index of the last token that the caller received; -1 for none.
        chain: Keyed digest over the tokens up to `index`.
        key_id: Key that signed the event id; empty for the first key.
    """

    attempt: int
    target: str
    version: str
    index: int
    chain: bytes
    key_id: str = ""


class FailureReason(enum.Enum):
    """Why an attempt ended before its answer was whole."""

    NOT_CONNECTED = "not_connected"  # No byte reached the target.
    REFUSED = "refused"  # The target answered that it did not start.
    ERRORED = "errored"  # The target answered with an error; it may have run.
    REJECTED = "rejected"  # The target calls the order malformed.
    NOT_HELD = "not_held"  # The target does not hold the generation.
    HELD = "held"  # The target holds this attempt or a newer one already.
    RESET = "reset"  # The connection broke after the order was sent.
    CORRUPT = "corrupt"  # The target sent what the protocol does not allow.


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """Base of the events."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallerConnected(Event):
    """A caller asks for an answer, or comes back for the rest of it.

    Attributes:
        caller_id: Identifies this connection within the daemon.
        request: The routed request.
        resume: Where to go on, for a caller that comes back.
    """

    caller_id: int
    request: GenerationRequest
    resume: ResumePoint | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerDisconnected(Event):
    """A caller's connection ended before the answer was whole."""

    caller_id: int
    generation_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptEvent(Event):
    """Base of the events of one attempt."""

    generation_id: str
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptAccepted(AttemptEvent):
    """The target took the order; `boot_id` names the target's process."""

    boot_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class TokensReceived(AttemptEvent):
    """Consecutive tokens, the first of which has index `first_index`."""

    first_index: int
    tokens: tuple[str, ...]
    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptFinished(AttemptEvent):
    """The target says that the answer is whole with `token_count` tokens."""

    token_count: int
    finish_reason: str
    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptFailed(AttemptEvent):
    """The attempt ended; `message` is text of the target for the caller."""

    reason: FailureReason
    message: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeSucceeded(Event):
    """A target answered a probe.

    Attributes:
        target: Name of the target.
        probe_id: Number of the probe.
        boot_id: Names the target's process.
        leaving: Whether the target says that it is leaving.
        next_index_by_generation_id: Progress of the generations that the probe
            named and the target holds.
        finished_generation_ids: Those among them whose answer is whole.
    """

    target: str
    probe_id: int
    boot_id: str
    leaving: bool
    next_index_by_generation_id: dict[str, int]
    finished_generation_ids: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeFailed(Event):
    """A target did not answer a probe; `refused` when nothing listens there."""

    target: str
    probe_id: int
    refused: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Action:
    """Base of the actions."""


@dataclasses.dataclass(frozen=True, slots=True)
class StartAttempt(Action):
    """Start a generation on a target, with `resume_tokens` as prefix."""

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
    """Read a generation that the target holds, from `from_index`."""

    generation_id: str
    attempt: int
    target: str
    url: str
    from_index: int


@dataclasses.dataclass(frozen=True, slots=True)
class CancelAttempt(Action):
    """Close an attempt's connection and tell the target to stop it.

    Attributes:
        keep_running: Whether to close the connection only, because the target
            shall go on with the generation or is gone.
    """

    generation_id: str
    attempt: int
    target: str
    url: str
    keep_running: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeTarget(Action):
    """Ask a target on a new connection whether it lives, within `timeout_s`."""

    target: str
    url: str
    probe_id: int
    generation_ids: tuple[str, ...]
    timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class DeliverTokens(Action):
    """Give tokens to a caller.

    Attributes:
        caller_id: The caller.
        generation_id: The generation.
        attempt: Attempt that delivered the tokens, for the event id.
        target: Target of that attempt, for the event id.
        version: Version of the generation, for the event id.
        first_index: Index of the first token.
        tokens: The tokens.
        chains: For each token the keyed digest over all tokens up to it.
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
    """Tell a caller that the answer is whole."""

    caller_id: int
    generation_id: str
    token_count: int
    finish_reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class FailAnswer(Action):
    """Tell a caller that the answer will not be completed."""

    caller_id: int
    generation_id: str
    code: results.ResultCode
    run_state: results.RunState
    message: str
    retry_after_s: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class PublishCrashReport(Action):
    """Tell the other daemons that a target crashed while running a request."""

    fingerprint: str
    target: str
    boot_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class PublishClearance(Action):
    """Tell the other daemons that a reported request crashes no targets."""

    fingerprint: str


class AttemptResult(enum.Enum):
    """Outcome of an attempt in the comparison of versions."""

    OK = "ok"
    ERROR = "error"
    CRASH = "crash"


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptOutcome(Action):
    """Health of one first attempt, for the comparison of versions.

    Resumed and attached attempts are left out: their version is pinned, so the
    share of new requests does not say how many of them a version gets.

    Attributes:
        generation_id: The generation.
        attempt: Number of the attempt.
        pool: Name of the pool.
        route: Name of the route.
        failure_domain: Failure domain of the target.
        target: Name of the target.
        version: Version of the target.
        result: How it ended.
        first_token_s: Seconds to the first token; None without one.
        token_interval_s: Mean seconds between tokens; None below two.
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
