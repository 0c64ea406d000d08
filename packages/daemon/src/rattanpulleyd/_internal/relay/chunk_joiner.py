"""Joins the chunks of a body before the HTTP parser sees them.

The parser takes some microseconds for each chunk, so that a proper body in
chunks of a few bytes would use up the time of its request and the processor.
Whatever is not a plain chunk is left to the parser, which also judges it.
"""

import re

# A size without leading zeros to speak of, and without extensions.
_HEAD = re.compile(rb"([0-9a-fA-F]{1,8})\r\n")
_PARTIAL_HEAD = re.compile(rb"[0-9a-fA-F]{0,8}\r?")
_END = b"\r\n"


class ChunkJoiner:
    """Rewrites the bytes of one chunked body.

    The content stays the same; all chunks that are complete in one read become
    a single one.
    """

    def __init__(self, parsed: bytes) -> None:
        """Starts within a body.

        Args:
            parsed: Bytes of the body that the parser has already.
        """
        # Rest of a chunk whose beginning the parser has.
        self._rest_bytes = 0
        # Beginning of the head of a chunk, which waits for its rest.
        self._partial_head = b""
        self._parser_has_partial_head = False
        self._is_left_to_parser = False
        self.feed(parsed)
        self._parser_has_partial_head = bool(self._partial_head)

    def feed(self, data: bytes) -> bytes:
        """Returns the bytes for the parser; may be empty.

        Args:
            data: Bytes of one read.
        """
        if self._is_left_to_parser:
            return data
        if self._parser_has_partial_head:
            return self._complete_head(data)
        passed = data[: self._rest_bytes]
        self._rest_bytes -= len(passed)
        if self._rest_bytes:
            return passed
        data = self._partial_head + data[len(passed) :]
        self._partial_head = b""
        return passed + self._join(data)

    def _complete_head(self, data: bytes) -> bytes:
        """Passes the first chunk on, a part of whose head was passed on."""
        known = len(self._partial_head)
        data = self._partial_head + data
        self._partial_head = b""
        match = _HEAD.match(data)
        if match is None and _PARTIAL_HEAD.fullmatch(data):
            self._partial_head = data
            return data[known:]
        self._parser_has_partial_head = False
        size = int(match[1], 16) if match else 0
        if match is None or size == 0:
            self._is_left_to_parser = True
            return data[known:]
        end = match.end() + size + len(_END)
        self._rest_bytes = max(0, end - len(data))
        return data[known:end] + self._join(data[end:])

    def _join(self, data: bytes) -> bytes:
        """Joins the complete chunks at the beginning of `data`."""
        parts: list[bytes] = []
        position = 0
        while match := _HEAD.match(data, position):
            start = match.end()
            end = start + int(match[1], 16)
            if end == start or data[end : end + len(_END)] != _END:
                break
            parts.append(data[start:end])
            position = end + len(_END)
        return _as_chunk(b"".join(parts)) + self._pass_on(data[position:])

    def _pass_on(self, data: bytes) -> bytes:
        """Returns what the parser gets of bytes that begin no whole chunk."""
        match = _HEAD.match(data)
        if match is None and _PARTIAL_HEAD.fullmatch(data):
            self._partial_head = data
            return b""
        size = int(match[1], 16) if match else 0
        missing = match.end() + size + len(_END) - len(data) if match else 0
        if size and missing > 0:
            self._rest_bytes = missing
        else:
            # The last chunk, an extension, or an error.
            self._is_left_to_parser = True
        return data


def _as_chunk(content: bytes) -> bytes:
    """Returns content as one chunk; the empty one would end the body."""
    return b"%x\r\n%b\r\n" % (len(content), content) if content else b""
