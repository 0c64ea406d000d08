"""Report of an engine about its own state."""

from collections.abc import Mapping
import dataclasses


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
    """

    events_by_run: Mapping[str, int]
    waiting: int = 0
    running: int = 0
    memory_share: float = 0.0
    is_engine: bool = False
    started_ms: int = 0

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
