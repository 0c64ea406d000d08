"""Responses of `http.client` whose status line must be one.

`http.client` converts the status as Python reads numbers, so that `+200` and
`2_00` are 200.
"""

from http import client
import io
import re
from typing import Any

_STATUS_LINE = re.compile(rb"HTTP/1\.[0-9] [1-5][0-9][0-9](?: [^\r\n]*)?\r?\n")


class _StrictReader(io.BufferedReader):
    """Reads the lines of a head; a malformed status line ends the read."""

    def readline(self, size: int | None = -1, /) -> bytes:
        """Returns the next line.

        Raises:
            client.BadStatusLine: It begins like a status line and is none.
        """
        line = super().readline(size)
        if line.startswith(b"HTTP/") and not _STATUS_LINE.fullmatch(line):
            raise client.BadStatusLine(line[:100].decode("latin-1"))
        return line


class StrictResponse(client.HTTPResponse):
    """A response that takes only digits for a status."""

    def __init__(self, sock: Any, *args: Any, **options: Any) -> None:
        super().__init__(sock, *args, **options)
        self.fp = _StrictReader(self.fp.detach())
