"""Collects the body of a client's request within its limits."""

from rattanpulleyd._internal.relay import wire
from rattanpulleyd._internal.sockets import framing_limit
from rattanpulleyd._internal.sockets import late_reads

BODY_TIMEOUT_S = 10.0
# A client that sends at least this much in a second has more time.
MIN_RATE_BYTES_PER_S = 1024
# The time limits of requests, which count from their heads, are shorter.
MAX_BODY_TIME_S = 60.0


class RequestBody:
    """The body of one request."""

    def __init__(self, max_bytes: int, begins_at_s: float) -> None:
        """Creates an empty body.

        Args:
            max_bytes: Maximum size of the body.
            begins_at_s: When its head was complete, on `clock.now_s`.
        """
        self._begins_at_s = begins_at_s
        self._declared_bytes: int | None = None
        self._max_bytes = max_bytes
        self._content = bytearray()
        self._framing = framing_limit.FramingLimit()
        self._late = late_reads.LateReads()

    @property
    def until_s(self) -> float:
        """When the body must be complete, on `clock.now_s`."""
        earned_s = len(self._content) / MIN_RATE_BYTES_PER_S
        allowed_s = min(BODY_TIMEOUT_S + earned_s, MAX_BODY_TIME_S)
        return self._begins_at_s + allowed_s

    def extend_time(self, waited_s: float) -> None:
        """Allows for time in which the host did not read."""
        self._begins_at_s += waited_s

    def next_size(self, read_bytes: int) -> int:
        """Returns the size of the body after another read, at most.

        Args:
            read_bytes: Size of the read.
        """
        size = len(self._content) + read_bytes
        if self._declared_bytes is None:
            return size
        return min(size, self._declared_bytes)

    def check_declared(self, size_bytes: int | None) -> None:
        """Checks the declared length before the body is asked for.

        Args:
            size_bytes: The length, or None if the head does not have it.

        Raises:
            wire.MalformedRequestError: The body is too long.
        """
        self._declared_bytes = size_bytes
        if size_bytes is not None and size_bytes > self._max_bytes:
            raise wire.MalformedRequestError(413, "body too long")

    def add(self, content: bytes | bytearray) -> None:
        """Adds a part.

        Raises:
            wire.MalformedRequestError: The body is too long.
        """
        self._content += content
        self._framing.record_content(len(content))
        if len(self._content) > self._max_bytes:
            raise wire.MalformedRequestError(413, "body too long")

    def record_received(self, size_bytes: int) -> None:
        """Records bytes from the connection, with what frames the body.

        Raises:
            wire.MalformedRequestError: There are too many besides the body.
        """
        self._framing.record_received(size_bytes)
        if self._framing.is_exceeded():
            raise wire.MalformedRequestError(
                413, "too many bytes besides the body"
            )

    def check_time(self, now_s: float) -> None:
        """Checks the time before more bytes are read.

        Raises:
            wire.MalformedRequestError: The body is not complete in time.
        """
        if self._late.are_over(now_s, self.until_s):
            raise late_request()

    def content(self) -> bytes:
        """Returns all parts."""
        return bytes(self._content)

    def clear(self) -> None:
        """Drops all parts."""
        self._content.clear()


def late_request() -> wire.MalformedRequestError:
    """Returns the error for a request that does not arrive in time."""
    return wire.MalformedRequestError(408, "the request did not arrive in time")
