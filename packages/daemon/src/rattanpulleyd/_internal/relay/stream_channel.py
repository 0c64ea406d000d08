"""Where a stream goes, and how it went."""

import dataclasses
from typing import Protocol

from rattanpulleyd._internal.relay import wire


class StreamAbortedError(Exception):
    """A stream that had begun could not be completed."""


class StreamChannel(Protocol):
    """Where the events of a stream go; raises `ClientGoneError`."""

    def start_stream(self, status: int, headers: wire.Headers) -> None:
        """Sends the head."""

    def write(self, data: bytes) -> None:
        """Sends whole events."""

    def finish(self) -> None:
        """Ends the answer as complete."""


@dataclasses.dataclass(slots=True)
class StreamReport:
    """How a stream went, for the log.

    Attributes:
        resumes: Continuations on another target.
        resumes_from_copy: Those that used a copy of the memory.
        first_event_s: Time to the first event, or None.
        longest_pause_s: Longest pause between events.
        last_event_at_s: When the last event was passed on.
        targets: Targets in the order of use.
    """

    resumes: int = 0
    resumes_from_copy: int = 0
    first_event_s: float | None = None
    longest_pause_s: float = 0.0
    last_event_at_s: float = 0.0
    targets: list[str] = dataclasses.field(default_factory=list)
