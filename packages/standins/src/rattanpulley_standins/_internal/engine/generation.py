"""A generation of an engine and its event streams."""

from collections.abc import Iterator
import json
import socket
import threading
from typing import Any

from rattanpulley_standins._internal import serving
from rattanpulley_standins._internal.engine import completion_request

# Interval at which a waiting stream checks that its connection is open.
READER_CHECK_S = 0.5


class Generation:
    """Tokens of one answer, buffered for any number of readers.

    Attributes:
        request: Request of the newest attempt.
        tokens: All tokens of the answer so far, including the resume prefix.
        length: Number of tokens of the complete answer.
        ready_at_s: Monotonic time of the first computed token; None while the
            generation waits for a slot.
        finish_reason: `length` or `stop` once the answer is complete, else
            None.
        ended: Whether no more tokens follow.
        unread_since_s: Monotonic time since which there is no reader.
        changed: Condition that is notified of each change.
    """

    def __init__(
        self, request: completion_request.CompletionRequest, now_s: float
    ) -> None:
        self.request = request
        self.tokens = list(request.resume_tokens)
        self.length = request.answer_length()
        self.ready_at_s: float | None = None
        self.finish_reason: str | None = None
        self.ended = False
        self.unread_since_s = now_s
        self.changed = threading.Condition()
        self._attempts: list[int] = []

    @property
    def generation_id(self) -> str:
        """Id of the generation."""
        return self.request.generation_id

    @property
    def has_reader(self) -> bool:
        """Whether at least one reader is attached."""
        return bool(self._attempts)

    def newest_reading_attempt(self) -> int:
        """Returns the largest attempt that has a reader, or 0."""
        return max(self._attempts, default=0)

    def add_reader(self, attempt: int) -> None:
        """Registers a reader of an attempt."""
        self._attempts.append(attempt)

    def remove_reader(self, attempt: int, now_s: float) -> None:
        """Unregisters a reader; the last one starts the grace period."""
        self._attempts.remove(attempt)
        self.unread_since_s = now_s

    def append(self, token: str) -> None:
        """Adds the next token and ends the answer if it is complete."""
        with self.changed:
            self.tokens.append(token)
            self._finish_if_complete()
            self.changed.notify_all()

    def finish_if_complete(self) -> None:
        """Ends a generation whose resume prefix is the complete answer."""
        with self.changed:
            self._finish_if_complete()
            self.changed.notify_all()

    def stop(self) -> None:
        """Ends the generation without a final event."""
        with self.changed:
            self.ended = True
            self.changed.notify_all()

    def _finish_if_complete(self) -> None:
        if len(self.tokens) < self.length:
            return
        by_limit = self.length == self.request.max_tokens
        self.finish_reason = "length" if by_limit else "stop"
        self.ended = True


class ConnectionStaller:
    """Stalls all connections that are open at one moment, permanently."""

    def __init__(self) -> None:
        self.epoch = 0

    def stall_open_connections(self) -> None:
        """Stalls the existing streams; streams opened later are unaffected."""
        self.epoch += 1


class GenerationStream:
    """Server-sent events of a generation for one connection.

    Args:
        generation: Generation to read.
        attempt: Attempt that the events name.
        from_index: Index of the first token to send.
        sock: Connection, to detect that the other end has closed it.
        staller: Staller that all streams of the engine share.
        clock: Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        generation: Generation,
        attempt: int,
        from_index: int,
        sock: socket.socket,
        staller: ConnectionStaller,
        clock: Any,
    ) -> None:
        self._generation = generation
        self._attempt = attempt
        self._index = from_index
        self._sock = sock
        self._staller = staller
        self._epoch = staller.epoch
        self._clock = clock
        self._attached = True
        generation.add_reader(attempt)

    def __iter__(self) -> Iterator[bytes]:
        """Yields the events until the answer or the connection ends."""
        # The comment sends the headers immediately, so that the client learns
        # before the first token that the request was accepted.
        yield b": accepted\n\n"
        while self._wait():
            # All tokens that are due are sent in one write.
            yield b"".join(self._events())
            if self._at_end():
                return

    def close(self) -> None:
        """Detaches from the generation."""
        if self._attached:
            self._attached = False
            self._generation.remove_reader(self._attempt, self._clock())

    def _wait(self) -> bool:
        generation = self._generation
        with generation.changed:
            while self._is_stalled or not self._has_pending_events():
                if generation.ended and not self._is_stalled and self._at_end():
                    return False
                generation.changed.wait(READER_CHECK_S)
                if serving.peer_closed(self._sock):
                    return False
        return True

    @property
    def _is_stalled(self) -> bool:
        return self._staller.epoch != self._epoch

    def _has_pending_events(self) -> bool:
        generation = self._generation
        if self._index < len(generation.tokens):
            return True
        return generation.finish_reason is not None

    def _at_end(self) -> bool:
        generation = self._generation
        return generation.ended and self._index >= len(generation.tokens)

    def _events(self) -> list[bytes]:
        generation = self._generation
        events = []
        while self._index < len(generation.tokens):
            token = generation.tokens[self._index]
            events.append(self._event(token=token))
            self._index += 1
        if generation.finish_reason is not None:
            events.append(self._event(finish_reason=generation.finish_reason))
        return events

    def _event(self, **content: str) -> bytes:
        value = {
            "generation_id": self._generation.generation_id,
            "attempt": self._attempt,
            "index": self._index,
            **content,
            "version": self._generation.request.version,
        }
        return b"data: " + json.dumps(value).encode() + b"\n\n"
