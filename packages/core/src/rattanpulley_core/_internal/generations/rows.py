"""Records of the generation table."""

import dataclasses
import enum
import math

from rattanpulley_core._internal.detection import estimator
from rattanpulley_core._internal.generations import journal as journals
from rattanpulley_core._internal.generations import requests
from rattanpulley_core._internal.targets import rows as target_rows

# Time for a caller to reconnect after its connection was lost.
RECONNECT_GRACE_S = 15.0


class GenerationState(enum.IntEnum):
    """State of a generation; an integer enum for cheap lookups."""

    QUEUED = 1  # Waits for a target.
    STARTING = 2  # A start request was sent; the target has not responded.
    PREFILLING = 3  # The target accepted; no token of the attempt arrived.
    STREAMING = 4  # Tokens of the attempt are arriving.
    ATTACHING = 5  # An attach request was sent; the target has not responded.
    PARKED = 6  # Has neither a caller nor an attempt.
    DONE = 7  # The answer is complete and kept for callers that reconnect.


@dataclasses.dataclass(slots=True)
class Caller:
    """A caller's connection that receives the answer of a generation.

    Attributes:
        caller_id: Id of the connection.
        deadline_s: Monotonic time by which the caller must have the complete
            answer.
        resume: Position that is not verified yet, or None.
    """

    caller_id: int
    deadline_s: float
    resume: requests.ResumePoint | None


@dataclasses.dataclass(slots=True)
class Attempt:
    """The current run of a generation on a target.

    Attributes:
        number: Number of the attempt, from 1.
        target: The target.
        version: Version that the target must report.
        started_at_s: Monotonic time at which the attempt was started.
        first_index: Journal length at the start.
        estimator: Estimates the threshold after which the stream is stalled.
        is_resume: Whether it uses a resume slot of the target.
        is_attach: Whether it attaches to a generation that the target already
            has.
        suspect: Whether the request was suspected of crashing targets at the
            start.
        accepted: Whether the target accepted the attempt.
        has_token: Whether a token of the attempt arrived.
        has_produced: Whether the target has sent a token of the generation,
            also before an attach.
        boot_id: Id of the target's process; empty if not known.
        idle_probes: Number of consecutive probes that showed no progress in the
            engine.
        first_token_at_s: Monotonic time of the first token, or None.
    """

    number: int
    target: target_rows.Target
    version: str
    started_at_s: float
    first_index: int
    estimator: estimator.IntervalEstimator
    is_resume: bool = False
    is_attach: bool = False
    suspect: bool = False
    accepted: bool = False
    has_received_token: bool = False
    target_has_produced: bool = False
    boot_id: str = ""
    idle_probes: int = 0
    first_token_at_s: float | None = None


@dataclasses.dataclass(slots=True)
class Generation:
    """One answer to one request.

    Attributes:
        request: The request of the first caller.
        arrived_at_s: Monotonic time at which the request arrived.
        deadline_s: Latest deadline of its callers; monotonic time.
        state: Current state.
        journal: Tokens so far.
        version: Pinned version, or None before the first token.
        attempt: Current attempt, or None.
        last_attempt: Number of the newest attempt of any daemon.
        callers: Connected callers.
        may_have_run: Whether a target may have worked on it.
        was_accepted: Whether a target accepted it, from any daemon.
        needs_permit: Whether the next attempt is a retry that needs a permit.
        waiting_since_s: Monotonic time at which it was first queued, or None.
        excluded_until_s: Monotonic time until which a target is not used for
            it, by target name.
        last_target: Target of the newest attempt that produced a token; empty
            if there is none.
        prefix_block_hashes: Hashes of the prompt's prefix blocks.
        attach_to: Target that may hold the generation, or None.
        orphaned_at_s: Monotonic time since which it has no caller, or None.
        next_expiry_s: Next monotonic time at which a deadline or grace period
            may end.
        done_at_s: Monotonic time at which the answer was complete.
        finish_reason: Finish reason that the target reported.
        errored_attempts: Number of attempts that a target ended with an error.
    """

    request: requests.GenerationRequest
    arrived_at_s: float
    deadline_s: float
    state: GenerationState = GenerationState.QUEUED
    journal: journals.Journal = dataclasses.field(
        default_factory=journals.Journal
    )
    version: str | None = None
    attempt: Attempt | None = None
    last_attempt: int = 0
    callers: list[Caller] = dataclasses.field(default_factory=list)
    may_have_run: bool = False
    was_accepted: bool = False
    needs_retry_permit: bool = False
    waiting_since_s: float | None = None
    excluded_until_s: dict[str, float] | None = None
    last_target: str = ""
    prefix_block_hashes: tuple[int, ...] = ()
    attach_target: str | None = None
    orphaned_at_s: float | None = None
    next_expiry_s: float = math.inf
    done_at_s: float = 0.0
    finish_reason: str = ""
    errored_attempts: int = 0

    @property
    def generation_id(self) -> str:
        """Id of the generation."""
        return self.request.generation_id

    @property
    def is_resume(self) -> bool:
        """Whether a target accepted, or may have worked on, the generation.

        The next attempt then resumes the generation.
        """
        return self.was_accepted or self.may_have_run

    def schedule_expiry(self) -> None:
        """Updates the next time at which a deadline or grace period may end."""
        if self.callers:
            self.next_expiry_s = min(
                caller.deadline_s for caller in self.callers
            )
        elif self.state is GenerationState.DONE:
            self.next_expiry_s = self.done_at_s + RECONNECT_GRACE_S
        elif self.orphaned_at_s is not None:
            self.next_expiry_s = self.orphaned_at_s + RECONNECT_GRACE_S

    def exclude(self, target: str, until_s: float) -> None:
        """Excludes a target for this generation until `until_s`."""
        if self.excluded_until_s is None:
            self.excluded_until_s = {}
        self.excluded_until_s[target] = until_s

    def excluded(self, now_s: float) -> frozenset[str]:
        """Returns the names of targets that must not be chosen at `now_s`."""
        if not self.excluded_until_s:
            return frozenset()
        return frozenset(
            name
            for name, until_s in self.excluded_until_s.items()
            if until_s > now_s
        )
