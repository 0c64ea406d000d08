"""JSON requests of the launcher and the tools, without retries."""

import dataclasses
import json
from typing import Any

import urllib3

DEFAULT_TIMEOUT_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """Status and JSON body; `body` is None if it is not JSON."""

    status: int
    body: Any


class CallError(Exception):
    """A request got no response or an unexpected status."""


def call(
    method: str,
    url: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = DEFAULT_TIMEOUT_S,
) -> Response:
    """Sends a request on a new connection.

    Raises:
        CallError: There was no complete response.
    """
    content = None if body is None else json.dumps(body).encode()
    try:
        with urllib3.PoolManager(retries=False, timeout=timeout_s) as pool:
            response = pool.request(
                method, url, body=content, headers=headers or {}
            )
            data = response.data
    except (urllib3.exceptions.HTTPError, OSError) as error:
        raise CallError(f"{method} {url}: {error}") from error
    return Response(response.status, _decode(data))


def expect(
    method: str,
    url: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
) -> Any:
    """Sends a request and returns the body of a successful response.

    Raises:
        CallError: There was no complete response, or its status is neither
            200 nor 201.
    """
    answer = call(method, url, body, headers)
    if answer.status not in (200, 201):
        raise CallError(f"{method} {url}: {answer.status} {answer.body}")
    return answer.body


def _decode(data: bytes) -> Any:
    try:
        return json.loads(data)
    except ValueError:
        return None
