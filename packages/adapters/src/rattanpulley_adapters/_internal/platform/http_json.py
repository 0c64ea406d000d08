"""JSON calls over one bounded urllib3 pool, without retries."""

import dataclasses
import json
from typing import Any
import urllib.parse

import urllib3

from rattanpulley_adapters import exceptions
from rattanpulley_core import interfaces

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 3.0
# One waits for changes; the others serve claims while the store is slow.
POOL_CONNECTIONS = 16
# The object API stores values up to 1 MB; a list holds several of them.
MAX_ANSWER_BYTES = 16 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class JsonAnswer:
    """One answer.

    Attributes:
        status: HTTP status.
        body: Decoded body; None without JSON.
        entity_tag: Value of the `ETag` header; empty without one.
    """

    status: int
    body: Any
    entity_tag: str = ""


class JsonClient:
    """Makes JSON calls to one base URL.

    A call is made once. `urllib3` would repeat a call whose answer was lost,
    and a repeated write is not the same as one write.
    """

    def __init__(
        self,
        base_url: str,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        read_timeout_s: float = READ_TIMEOUT_S,
    ) -> None:
        """Prepares the pool; connections are opened by the first calls.

        Args:
            base_url: URL of the form http://ADDRESS:PORT.
            connect_timeout_s: Longest time to open a connection.
            read_timeout_s: Longest time without a byte of the answer.

        Raises:
            exceptions.InvalidUrlError: The URL has another form.
        """
        parts = urllib.parse.urlsplit(base_url)
        if parts.scheme != "http" or not parts.hostname or parts.query:
            raise exceptions.InvalidUrlError(base_url)
        if parts.path not in ("", "/"):
            raise exceptions.InvalidUrlError(base_url)
        self._connect_timeout_s = connect_timeout_s
        self._read_timeout_s = read_timeout_s
        self._pool = urllib3.HTTPConnectionPool(
            parts.hostname,
            parts.port or 80,
            maxsize=POOL_CONNECTIONS,
            block=True,
            retries=False,
        )

    def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
        extra_read_s: float = 0.0,
    ) -> JsonAnswer:
        """Makes one call.

        Args:
            method: HTTP method.
            path: Path and query.
            body: JSON value of the request, or None for no body.
            headers: Additional headers.
            extra_read_s: Time for which the server is asked to wait.

        Raises:
            interfaces.StoreUnavailableError: There was no complete answer, or
                the server answered with a server error.
        """
        content = None if body is None else json.dumps(body).encode()
        all_headers = {"Content-Type": "application/json", **(headers or {})}
        timeout = urllib3.Timeout(
            connect=self._connect_timeout_s,
            read=self._read_timeout_s + extra_read_s,
        )
        try:
            response = self._pool.request(
                method,
                path,
                body=content,
                headers=all_headers,
                timeout=timeout,
                pool_timeout=self._connect_timeout_s,
                redirect=False,
                preload_content=False,
            )
            data = _read_bounded(response)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise interfaces.StoreUnavailableError(
                f"{method} {path}: {type(error).__name__}"
            ) from error
        if response.status >= 500:
            raise interfaces.StoreUnavailableError(
                f"{method} {path}: status {response.status}"
            )
        entity_tag = response.headers.get("ETag", "")
        return JsonAnswer(response.status, _decode(data), entity_tag)


def _read_bounded(response: urllib3.BaseHTTPResponse) -> bytes:
    """Reads the body and returns the connection to the pool."""
    try:
        data = response.read(MAX_ANSWER_BYTES + 1)
        if len(data) > MAX_ANSWER_BYTES:
            response.close()
            raise interfaces.StoreUnavailableError("the answer is too large")
        return data
    finally:
        response.release_conn()


def _decode(data: bytes) -> Any:
    """Decodes a JSON body; anything else gives None."""
    try:
        return json.loads(data)
    except ValueError:
        return None
