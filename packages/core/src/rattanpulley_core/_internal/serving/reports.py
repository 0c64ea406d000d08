"""Report of an engine about its own state."""

from collections.abc import Mapping
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedRun:
    """One admitted request of an engine.

    Attributes:
        tokens: Its tokens in the memory.
        events: Number of events produced so far.
        priority: Its rank, 0 first.
    """

    tokens: int
    events: int
    priority: int


@dataclasses.dataclass(frozen=True, slots=True)
class TargetReport:
    """State of an engine a few hundred milliseconds ago.

    Attributes:
        events_by_run: Number of events produced so far, by run id.
        waiting: Requests that are not admitted yet.
        running: Admitted requests; those without an event are in prefill.
        memory_share: Fraction of the memory that cannot be evicted, 0 to 1.
        is_engine: Whether the target holds models and memory; services that
            answer plain calls do not.
        started_ms: Start of the target in Unix milliseconds, or 0.
        memory_tokens: Capacity of the memory in tokens, or 0 if unknown.
        used_tokens: Tokens of the memory that cannot be evicted.
        next_tokens: Tokens of the first waiting request, or 0.
        runs_by_id: Admitted requests by run id.
    """

    events_by_run: Mapping[str, int]
    waiting: int = 0
    running: int = 0
    memory_share: float = 0.0
    is_engine: bool = False
    started_ms: int = 0
    memory_tokens: int = 0
    used_tokens: int = 0
    next_tokens: int = 0
    runs_by_id: Mapping[str, ReportedRun] = dataclasses.field(
        default_factory=dict
    )

    @property
    def prompts(self) -> int:
        """Number of prompts that wait or are in prefill."""
        return self.waiting + max(0, self.running - len(self.events_by_run))

    def matches_start(self, started_ms: int) -> bool:
        """Returns whether the target has not restarted since a known start.

        Args:
            started_ms: The known start in Unix milliseconds, or 0.
        """
        return 0 in (self.started_ms, started_ms) or (
            self.started_ms == started_ms
        )
