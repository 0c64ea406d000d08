"""Parser for the server-sent events of an engine."""

import json
from typing import Any

from rattanpulley_core import generations

# An event holds one token, so a larger one means that the engine is faulty.
MAX_EVENT_BYTES = 256 * 1024


class CorruptStreamError(Exception):
    """The target sent data that violates the protocol."""


class EventStreamParser:
    """Parses the bytes of one attempt's connection into typed events."""

    def __init__(self, generation_id: str, attempt: int) -> None:
        """Prepares the parser.

        Args:
            generation_id: Generation id that every event must have.
            attempt: Attempt number that every event must have.
        """
        self._generation_id = generation_id
        self._attempt = attempt
        self._buffer = b""

    def feed(self, data: bytes) -> list[generations.Event]:
        """Returns the events that `data` completes.

        Consecutive tokens of one version become one event, so that a read with
        many tokens needs one call of the generation core.

        Args:
            data: Bytes of one read.

        Raises:
            CorruptStreamError: The bytes are not events of this attempt.
        """
        data = self._buffer + data
        end = data.rfind(b"\n\n")
        if end < 0:
            self._store_incomplete(data)
            return []
        self._store_incomplete(data[end + 2 :])
        try:
            text = data[:end].decode()
        except UnicodeDecodeError as error:
            raise CorruptStreamError("the stream is not UTF-8") from error
        rows = [
            self._parse_event(block[6:])
            for block in text.split("\n\n")
            if block.startswith("data: ")
        ]
        return self._events(rows)

    def _store_incomplete(self, incomplete: bytes) -> None:
        """Stores the beginning of an event until the next read."""
        if len(incomplete) > MAX_EVENT_BYTES:
            raise CorruptStreamError("an event is too long")
        self._buffer = incomplete

    def _parse_event(self, text: str) -> dict[str, Any]:
        """Decodes and validates one event."""
        try:
            row = json.loads(text)
        except ValueError as error:
            raise CorruptStreamError("an event is not JSON") from error
        if type(row) is not dict or type(row.get("index")) is not int:
            raise CorruptStreamError("an event has no index")
        if row.get("generation_id") != self._generation_id:
            raise CorruptStreamError("an event is of another generation")
        if row.get("attempt") != self._attempt:
            raise CorruptStreamError("an event is of another attempt")
        if type(row.get("version")) is not str:
            raise CorruptStreamError("an event has no version")
        return row

    def _events(self, rows: list[dict[str, Any]]) -> list[generations.Event]:
        """Converts rows to events and joins consecutive tokens."""
        events: list[generations.Event] = []
        position = 0
        while position < len(rows):
            if "finish_reason" in rows[position]:
                events.append(self._finished(rows[position]))
                position += 1
                continue
            end = _token_run_end(rows, position)
            events.append(self._tokens(rows[position:end]))
            position = end
        return events

    def _tokens(self, rows: list[dict[str, Any]]) -> generations.Event:
        """Returns the event for a run of consecutive tokens."""
        return generations.TokensReceived(
            generation_id=self._generation_id,
            attempt=self._attempt,
            first_index=rows[0]["index"],
            tokens=tuple(_token(row) for row in rows),
            version=rows[0]["version"],
        )

    def _finished(self, row: dict[str, Any]) -> generations.Event:
        """Returns the event for the end of the answer."""
        if type(row["finish_reason"]) is not str:
            raise CorruptStreamError("the finish reason is not a string")
        return generations.AttemptFinished(
            generation_id=self._generation_id,
            attempt=self._attempt,
            token_count=row["index"],
            finish_reason=row["finish_reason"],
            version=row["version"],
        )


def _token_run_end(rows: list[dict[str, Any]], start: int) -> int:
    """Returns the index after the run of consecutive tokens from `start`."""
    index = rows[start]["index"]
    version = rows[start]["version"]
    end = start + 1
    while end < len(rows):
        row = rows[end]
        if "finish_reason" in row or row["version"] != version:
            break
        if row["index"] != index + end - start:
            break
        end += 1
    return end


def _token(row: dict[str, Any]) -> str:
    """Returns the text of a row's token."""
    token = row.get("token")
    if type(token) is not str:
        raise CorruptStreamError("an event has neither token nor finish reason")
    return token
