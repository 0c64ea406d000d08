"""Limits bytes that frame a body, which no limit on the body counts.

Interim responses, chunk sizes with extensions, and trailers may come without
end.
"""

# Heads of one message, and more interim responses than a sound peer sends.
MAX_FRAMING_BYTES = 256 * 1024
# Chunks of one byte have six bytes for each byte of content.
MAX_FRAMING_FACTOR = 16


class FramingLimit:
    """Counts the bytes of one message and those of its content."""

    def __init__(self) -> None:
        self._received_bytes = 0
        self._content_bytes = 0

    def record_received(self, size_bytes: int) -> None:
        """Records bytes from the connection."""
        self._received_bytes += size_bytes

    def record_content(self, size_bytes: int) -> None:
        """Records bytes of the body."""
        self._content_bytes += size_bytes

    def is_exceeded(self) -> bool:
        """Returns whether the message has too many bytes besides its body."""
        allowed = MAX_FRAMING_BYTES + MAX_FRAMING_FACTOR * self._content_bytes
        return self._received_bytes > allowed
