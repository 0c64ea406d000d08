"""JSON calls of the launcher and the tools, each made once."""

import dataclasses
import json
from typing import Any

import urllib3

DEFAULT_TIMEOUT_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Status and JSON body; `body` is None when it is no JSON."""

    status: int
    body: Any


class CallError(Exception):
    """A call got no answer."""


def call(
    method: str,
    url: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = DEFAULT_TIMEOUT_S,
) -> Answer:
    """Makes a call on a new connection.

    Raises:
        CallError: There was no complete answer.
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
    return Answer(response.status, _decode(data))


def expect(
    method: str,
    url: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
) -> Any:
    """Makes a call and returns the body of a successful answer.

    Raises:
        CallError: There was no answer or another status.
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
