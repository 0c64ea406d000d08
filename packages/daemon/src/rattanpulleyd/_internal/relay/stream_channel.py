"""Destination of a relayed stream, and the report on a stream."""

import dataclasses
from typing import Protocol

from rattanpulleyd._internal.relay import wire


class StreamAbortedError(Exception):
    """A stream that had started could not be completed."""


class StreamChannel(Protocol):
    """Destination of a stream's events.

    Its methods raise `ClientDisconnectedError`.
    """

    def start_stream(self, status: int, headers: wire.Headers) -> None:
        """Sends the response head."""

    def write(self, data: bytes) -> None:
        """Sends complete events."""

    def finish(self) -> None:
        """Ends the response as complete."""


@dataclasses.dataclass(slots=True)
class StreamReport:
    """Progress of a stream, for the log.

    Attributes:
        resumes: Number of times the stream resumed on another target.
        resumes_from_copy: Those that used a copy of the run's memory.
        first_event_s: Time from the request to the first event, or None.
        longest_pause_s: Longest pause between events.
        last_event_at_s: When the last event was forwarded.
        events: Id of the last event forwarded, or 0.
        targets: Ids of the targets of all attempts, in order.
    """

    resumes: int = 0
    resumes_from_copy: int = 0
    first_event_s: float | None = None
    longest_pause_s: float = 0.0
    last_event_at_s: float = 0.0
    events: int = 0
    targets: list[str] = dataclasses.field(default_factory=list)
