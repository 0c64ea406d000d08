"""Client for server-sent events over one HTTP connection."""

from collections.abc import Iterator
import dataclasses
from http import client
import json
import socket
from typing import Any
import urllib.parse

MAX_LINE_BYTES = 1024 * 1024


class ConnectionLostError(Exception):
    """The connection was closed or timed out before the end."""


class HttpStatusError(Exception):
    """The server responded with a status other than 200.

    Attributes:
        status: HTTP status.
        body: JSON body, or None.
        retry_after_s: Value of Retry-After in seconds, or None.
    """

    def __init__(
        self, status: int, body: Any, retry_after_s: float | None
    ) -> None:
        super().__init__(f"status {status}: {body}")
        self.status = status
        self.body = body
        self.retry_after_s = retry_after_s


@dataclasses.dataclass(frozen=True, slots=True)
class ServerSentEvent:
    """Server-sent event; `name` and `event_id` are empty if absent."""

    name: str
    event_id: str
    data: str


class EventSource:
    """Streaming request that yields server-sent events.

    Args:
        url: URL with path and query.
        method: HTTP method.
        body: JSON body, or None.
        headers: Headers of the request.
        read_timeout_s: Longest time without a byte, in seconds.
    """

    def __init__(
        self,
        url: str,
        method: str,
        body: Any,
        headers: dict[str, str],
        read_timeout_s: float,
    ) -> None:
        parts = urllib.parse.urlsplit(url)
        self._connection = client.HTTPConnection(
            parts.hostname or "", parts.port, timeout=read_timeout_s
        )
        self._path = parts.path + (f"?{parts.query}" if parts.query else "")
        self._method = method
        self._body = None if body is None else json.dumps(body)
        self._headers = {"Content-Type": "application/json", **headers}

    def __iter__(self) -> Iterator[ServerSentEvent]:
        """Sends the request and yields its events.

        Raises:
            ConnectionLostError: The connection was closed or timed out.
            HttpStatusError: The status is not 200.
        """
        try:
            response = self._open()
            yield from _parse_events(response)
        except (OSError, client.HTTPException, ValueError) as error:
            raise ConnectionLostError(
                f"{type(error).__name__}: {error}"
            ) from error
        finally:
            self.close()

    def close(self) -> None:
        """Closes the connection."""
        self._connection.close()

    def _open(self) -> client.HTTPResponse:
        self._connection.connect()
        self._connection.sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
        )
        self._connection.request(
            self._method, self._path, self._body, self._headers
        )
        response = self._connection.getresponse()
        if response.status != 200:
            raise _status_error(response)
        return response


def _parse_events(response: client.HTTPResponse) -> Iterator[ServerSentEvent]:
    name, event_id = "", ""
    data: list[str] = []
    while line := response.readline(MAX_LINE_BYTES):
        text = line.decode().rstrip("\r\n")
        field, _, value = text.partition(": ")
        if not text:
            if data:
                yield ServerSentEvent(name, event_id, "\n".join(data))
            name, event_id, data = "", "", []
        elif field == "data":
            data.append(value)
        elif field == "id":
            event_id = value
        elif field == "event":
            name = value


def _status_error(response: client.HTTPResponse) -> HttpStatusError:
    data = response.read(MAX_LINE_BYTES)
    try:
        body = json.loads(data)
    except ValueError:
        body = None
    text = response.headers.get("Retry-After")
    retry_after_s = float(text) if text is not None else None
    return HttpStatusError(response.status, body, retry_after_s)
