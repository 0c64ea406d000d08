"""Splits the bytes of an event stream into complete events."""

import dataclasses
import re

# One event holds a few tokens; a working engine sends no larger one.
MAX_EVENT_BYTES = 256 * 1024
# Comments, blank lines and repeated events between two new events.
MAX_BYTES_WITHOUT_PROGRESS = 1024 * 1024
_END = re.compile(rb"\r?\n\r?\n")
# The longest end of an event may be split after all but its last byte.
_END_BYTES = 4
_BLANK_LINES = re.compile(rb"(?:\r?\n)*")
_ID = re.compile(rb"(?:^|\n)id: ?([0-9]{1,18})\r?(?=\n|$)")


class MalformedEventError(Exception):
    """The bytes are not complete events with consecutive ids."""


@dataclasses.dataclass(frozen=True, slots=True)
class EventFrame:
    """One complete event.

    Attributes:
        event_id: Its id, or None if it has none.
        data: Its bytes, including the blank line that ends it.
    """

    event_id: int | None
    data: bytes


class EventParser:
    """Incremental parser that buffers bytes until an event is complete."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        # No event ends before this position.
        self._searched = 0

    @property
    def incomplete(self) -> bool:
        """Whether the buffer holds a part of an event."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[EventFrame]:
        """Adds bytes and returns the events that they complete.

        Raises:
            MalformedEventError: An event is too long or has more than one id.
        """
        buffer = self._buffer
        buffer += data
        frames: list[EventFrame] = []
        start = _skip_blank_lines(buffer, 0)
        position = max(start, self._searched)
        while match := _END.search(buffer, position):
            frames.append(_parse_frame(bytes(buffer[start : match.end()])))
            start = position = _skip_blank_lines(buffer, match.end())
        del buffer[:start]
        self._searched = max(0, len(buffer) - (_END_BYTES - 1))
        if len(buffer) > MAX_EVENT_BYTES:
            raise MalformedEventError("an event is too long")
        return frames


def _skip_blank_lines(data: bytearray, start: int) -> int:
    """Returns where the blank lines from `start` on end.

    They belong to no event, and a peer in trouble may send nothing else.
    """
    match = _BLANK_LINES.match(data, start)
    return match.end() if match else start


def _parse_frame(data: bytes) -> EventFrame:
    ids = _ID.findall(data)
    if len(ids) > 1:
        raise MalformedEventError("an event has two ids")
    return EventFrame(int(ids[0]) if ids else None, data)


class EventSequence:
    """Filters events so that each passes once and in order.

    Attributes:
        last_id: Id of the last event that passed, or None before the first.
    """

    def __init__(self, last_id: int | None) -> None:
        """Creates a filter that continues after an event.

        Args:
            last_id: Id of the last event that the client has, or None.
        """
        self.last_id = last_id

    def admit(self, frames: list[EventFrame]) -> bytes:
        """Returns the bytes of the events that are next in the sequence.

        Events that the client already has are dropped; comments pass.

        Raises:
            MalformedEventError: An event id was skipped.
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


class ProgressLimit:
    """Limits the bytes of one attempt that bring no new event."""

    def __init__(self, sequence: EventSequence) -> None:
        """Creates a limit that counts from the last event of a sequence."""
        self._sequence = sequence
        self._last_id = sequence.last_id
        self._idle_bytes = 0

    def check(self, size_bytes: int) -> None:
        """Counts bytes that the sequence has admitted.

        Raises:
            MalformedEventError: No new event was among too many bytes.
        """
        if self._sequence.last_id != self._last_id:
            self._last_id = self._sequence.last_id
            self._idle_bytes = 0
            return
        self._idle_bytes += size_bytes
        if self._idle_bytes > MAX_BYTES_WITHOUT_PROGRESS:
            raise MalformedEventError("many bytes without a new event")
