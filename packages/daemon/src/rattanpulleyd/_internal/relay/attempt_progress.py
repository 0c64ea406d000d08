"""Progress of one attempt at a target."""

import dataclasses


@dataclasses.dataclass(slots=True)
class AttemptProgress:
    """How far one attempt has come.

    Attributes:
        sent_at_s: When the attempt started.
        answered_at_s: When the head of the response arrived, or None.
        first_event_at_s: When the first event arrived, or None.
        events: Number of events that arrived; 0 for a plain request.
        base_id: Id of the last event that earlier attempts have brought, or 0.
    """

    sent_at_s: float
    answered_at_s: float | None = None
    events: int = 0
    base_id: int = 0
    first_event_at_s: float | None = None

    def record_events(self, count: int, now_s: float) -> None:
        """Records that events arrived."""
        if self.first_event_at_s is None:
            self.first_event_at_s = now_s
        self.events += count

    def writing_s(self, now_s: float) -> float:
        """Returns the seconds since the first event, 0 before it."""
        if self.first_event_at_s is None:
            return 0.0
        return now_s - self.first_event_at_s
