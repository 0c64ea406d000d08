"""HTTP client for JSON over a bounded urllib3 connection pool."""

import dataclasses
import json
import time
from typing import Any
import urllib.parse

import urllib3

from rattanpulley_adapters import exceptions
from rattanpulley_core import interfaces

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 3.0
# The timeout of a read does not end a body that never stops.
BODY_TIMEOUT_S = 10.0
READ_BYTES = 64 * 1024
# One connection waits for changes. The others serve claims while the store is
# slow.
MAX_CONNECTIONS = 16
# The object API stores values up to 1 MB, and a list contains several of them.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class JsonResponse:
    """HTTP response with a JSON body.

    Attributes:
        status: HTTP status code.
        body: Decoded body; None if the body is not JSON.
        entity_tag: Value of the `ETag` header; empty if it is absent.
    """

    status: int
    body: Any
    entity_tag: str = ""


class JsonClient:
    """Sends JSON requests to one base URL, without retries.

    `urllib3` would by default retry a request whose response was lost, but a
    repeated write is not equivalent to a single one.
    """

    def __init__(
        self,
        base_url: str,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        read_timeout_s: float = READ_TIMEOUT_S,
        pool_class: type[urllib3.HTTPConnectionPool] = (
            urllib3.HTTPConnectionPool
        ),
    ) -> None:
        """Creates the connection pool; the first requests open connections.

        Args:
            base_url: URL of the form http://ADDRESS:PORT.
            connect_timeout_s: Timeout for opening a connection.
            read_timeout_s: Maximum time without data of the response.
            pool_class: Class of the connections.

        Raises:
            exceptions.InvalidUrlError: The URL does not have this form.
        """
        parts = urllib.parse.urlsplit(base_url)
        if parts.scheme != "http" or not parts.hostname or parts.query:
            raise exceptions.InvalidUrlError(base_url)
        if parts.path not in ("", "/"):
            raise exceptions.InvalidUrlError(base_url)
        self._connect_timeout_s = connect_timeout_s
        self._read_timeout_s = read_timeout_s
        self._pool = pool_class(
            parts.hostname,
            parts.port or 80,
            maxsize=MAX_CONNECTIONS,
            block=True,
            retries=False,
        )

    def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
        extra_read_timeout_s: float = 0.0,
    ) -> JsonResponse:
        """Sends one request.

        Args:
            method: HTTP method.
            path: Path and query string.
            body: JSON value of the request, or None for no body.
            headers: Additional headers.
            extra_read_timeout_s: Time that the server may wait before it
                responds; extends the read timeout.

        Raises:
            interfaces.StoreUnavailableError: There is no complete response, or
                its status is a server error.
        """
        request_body = None if body is None else json.dumps(body).encode()
        request_headers = {
            "Content-Type": "application/json",
            **(headers or {}),
        }
        timeout = urllib3.Timeout(
            connect=self._connect_timeout_s,
            read=self._read_timeout_s + extra_read_timeout_s,
        )
        try:
            response = self._pool.request(
                method,
                path,
                body=request_body,
                headers=request_headers,
                timeout=timeout,
                pool_timeout=self._connect_timeout_s,
                redirect=False,
                preload_content=False,
            )
            response_body = _read_bounded(response)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise interfaces.StoreUnavailableError(
                f"{method} {path}: {type(error).__name__}"
            ) from error
        if response.status >= 500:
            raise interfaces.StoreUnavailableError(
                f"{method} {path}: status {response.status}"
            )
        entity_tag = response.headers.get("ETag", "")
        return JsonResponse(
            response.status, _decode_json(response_body), entity_tag
        )


def _read_bounded(response: urllib3.BaseHTTPResponse) -> bytes:
    """Reads the body and releases the connection to the pool.

    Raises:
        interfaces.StoreUnavailableError: The body exceeds `MAX_RESPONSE_BYTES`
            or takes longer than `BODY_TIMEOUT_S`.
    """
    until_s = time.monotonic() + BODY_TIMEOUT_S
    body = bytearray()
    try:
        while part := response.read1(READ_BYTES):
            body += part
            if len(body) > MAX_RESPONSE_BYTES:
                raise interfaces.StoreUnavailableError(
                    "the response body is too large"
                )
            if time.monotonic() > until_s:
                raise interfaces.StoreUnavailableError(
                    "the response body is not complete in time"
                )
    except BaseException:
        # Unread bytes would answer the next request of the connection.
        response.close()
        raise
    finally:
        response.release_conn()
    return bytes(body)


def _decode_json(response_body: bytes) -> Any:
    """Decodes a JSON body; returns None if it is not JSON."""
    try:
        return json.loads(response_body)
    except ValueError:
        return None
