"""Reads the body of a streamed answer as it arrives.

The body is read from the socket directly and its chunks are decoded here. The
readers of `http.client` and `urllib3` return one chunk per call through several
layers of buffers and set a timer for each read, which takes more time than all
other work on a token.
"""

from http import client
import socket

from rattanpulleyd._internal.engine import event_stream

READ_BYTES = 65536
# A chunk is buffered until it is complete; this bounds the buffer.
MAX_CHUNK_BYTES = 1024 * 1024


class ChunkDecoder:
    """Decodes the chunked transfer coding.

    Attributes:
        is_finished: Whether the last chunk has arrived.
    """

    def __init__(self) -> None:
        self.is_finished = False
        self._buffer = b""

    def feed(self, data: bytes) -> bytes:
        """Returns the content of the chunks that `data` completes.

        Args:
            data: Bytes of one read.

        Raises:
            CorruptStreamError: The bytes are not valid chunks.
        """
        if self._buffer:
            data = self._buffer + data
        parts = []
        position = 0
        while not self.is_finished:
            size_end = data.find(b"\r\n", position)
            if size_end < 0:
                break
            start = size_end + 2
            end = start + _chunk_size(data[position:size_end])
            if len(data) < end + 2:
                break
            self.is_finished = end == start
            parts.append(data[start:end])
            position = end + 2
        self._buffer = data[position:]
        if len(self._buffer) > MAX_CHUNK_BYTES:
            raise event_stream.CorruptStreamError("a chunk is too long")
        return parts[0] if len(parts) == 1 else b"".join(parts)


def _chunk_size(line: bytes) -> int:
    """Returns the size in bytes from the first line of a chunk."""
    try:
        size = int(line.partition(b";")[0], 16)
    except ValueError as error:
        raise event_stream.CorruptStreamError("a chunk has no size") from error
    if size < 0:
        raise event_stream.CorruptStreamError("a chunk has a negative size")
    return size


class BodyReader:
    """Reads the body of one response."""

    def __init__(
        self, connection: socket.socket, response: client.HTTPResponse
    ) -> None:
        """Prepares the reader, which must be the only one of the response.

        Args:
            connection: Socket of the response.
            response: Response whose headers have been read.
        """
        self._connection = connection
        self._decoder = ChunkDecoder() if response.chunked else None
        self._response = response
        self._is_first = True
        # The generation core detects stalls and cancels the attempt, so reads
        # need no timeout.
        connection.settimeout(None)

    def read(self) -> bytes:
        """Waits for data and returns what has arrived; b"" at the end.

        Raises:
            OSError: The connection failed.
            CorruptStreamError: The bytes are not valid chunks.
        """
        decoder = self._decoder
        while True:
            data = self._receive()
            if decoder is None or not data:
                return data
            content = decoder.feed(data)
            if content or decoder.is_finished:
                return content

    def _receive(self) -> bytes:
        """Returns bytes from the connection.

        The first read drains the buffer that was filled while the headers were
        read.
        """
        if self._is_first:
            self._is_first = False
            return self._response.fp.read1(READ_BYTES)
        return self._connection.recv(READ_BYTES)
