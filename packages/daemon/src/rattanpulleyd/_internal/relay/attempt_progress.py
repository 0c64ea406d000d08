"""Progress of one attempt at a target."""

import dataclasses


@dataclasses.dataclass(slots=True)
class AttemptProgress:
    """How far one attempt has come.

    Attributes:
        sent_at_s: When the attempt started.
        answered_at_s: When the head of the response arrived, or None.
        events: Number of events that arrived; 0 for a plain request.
        is_sound: Whether the answer was recorded as sound.
    """

    sent_at_s: float
    answered_at_s: float | None = None
    events: int = 0
    is_sound: bool = False
