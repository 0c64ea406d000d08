"""Requests for generations, after routing and verification.

Token indexes count from 0 over the complete answer.
"""

import dataclasses


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
