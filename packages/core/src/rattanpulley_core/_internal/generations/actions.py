"""Actions that the generation core returns, to be carried out in order.

Generations, attempts and token indexes are described in `events`.
"""

import dataclasses
import enum

from rattanpulley_core import results
from rattanpulley_core._internal.generations import requests
from rattanpulley_core._internal.suspects import reports


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
        sampling: requests.Sampling settings.
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
    sampling: requests.Sampling
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
