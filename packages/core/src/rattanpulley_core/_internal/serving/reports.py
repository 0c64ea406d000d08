"""What an engine reports of itself."""

from collections.abc import Mapping
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class TargetReport:
    """State of an engine a few hundred milliseconds ago.

    Attributes:
        events_by_run: Events made so far, by id of the run.
        waiting: Requests that are not admitted yet.
        running: Requests that are admitted; those without an event have their
            prompt read.
        memory_share: Part of the memory that cannot yield, from 0 to 1.
        is_engine: Whether the target holds models and memory; services that
            answer plain calls do not.
        started_ms: Unix milliseconds of the target's start, or 0.
    """

    events_by_run: Mapping[str, int]
    waiting: int = 0
    running: int = 0
    memory_share: float = 0.0
    is_engine: bool = False
    started_ms: int = 0

    @property
    def prompts(self) -> int:
        """Prompts that wait or are being read."""
        return self.waiting + max(0, self.running - len(self.events_by_run))
