"""Splits the bytes of an event stream into whole events."""

import dataclasses
import re

# One event holds a few tokens; a larger one is not from a working engine.
MAX_EVENT_BYTES = 256 * 1024
_END = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"(?:^|\n)id: ?([0-9]{1,18})\r?(?=\n|$)")


class MalformedEventError(Exception):
    """The bytes are not whole events with growing ids."""


@dataclasses.dataclass(frozen=True, slots=True)
class EventFrame:
    """One whole event.

    Attributes:
        event_id: Its id, or None when it has none.
        data: Its bytes with the blank line that ends it.
    """

    event_id: int | None
    data: bytes


class EventParser:
    """Collects bytes until events are whole."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def incomplete(self) -> bool:
        """Whether the bytes so far end within an event."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[EventFrame]:
        """Returns the events that are whole with `data`.

        Raises:
            BrokenEventError: An event is too long.
        """
        data = self._buffer + data
        frames: list[EventFrame] = []
        start = 0
        for match in _END.finditer(data):
            frames.append(_parse_frame(data[start : match.end()]))
            start = match.end()
        self._buffer = data[start:]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise MalformedEventError("an event is too long")
        return frames


def _parse_frame(data: bytes) -> EventFrame:
    ids = _ID.findall(data)
    if len(ids) > 1:
        raise MalformedEventError("an event has two ids")
    return EventFrame(int(ids[0]) if ids else None, data)


class EventSequence:
    """Lets each event of a stream pass once and in order."""

    def __init__(self, last_id: int | None) -> None:
        """Starts after an event.

        Args:
            last_id: Last event that the client has, or None.
        """
        self.last_id = last_id

    def admit(self, frames: list[EventFrame]) -> bytes:
        """Returns the bytes of the events that follow.

        Events that the client has are dropped, comments pass.

        Raises:
            BrokenEventError: An event is missing.
        """
        passed: list[bytes] = []
        for frame in frames:
            if self._is_next(frame):
                passed.append(frame.data)
        return b"".join(passed)

    def _is_next(self, frame: EventFrame) -> bool:
        if frame.event_id is None:
            return frame.data.startswith(b":")
        if self.last_id is not None:
            if frame.event_id <= self.last_id:
                return False
            if frame.event_id > self.last_id + 1:
                raise MalformedEventError(
                    f"event {frame.event_id} follows {self.last_id}"
                )
        self.last_id = frame.event_id
        return True
