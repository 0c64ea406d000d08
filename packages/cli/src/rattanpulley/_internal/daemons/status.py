"""Reads `GET /status` of daemons."""

from collections.abc import Callable, Sequence
import dataclasses
import json
from typing import Any

import urllib3

# A daemon answers from memory; a longer wait only delays the table that an
# operator looks at during an incident.
TIMEOUT_S = 2.0
MAX_ANSWER_BYTES = 4 * 1024 * 1024


class DaemonSilentError(Exception):
    """A daemon did not answer, or not with a status."""


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonStatus:
    """Answer of one daemon.

    Attributes:
        url: Base URL that was asked.
        status: Decoded answer; empty when the daemon is silent.
        problem: Why there is no answer, or None.
    """

    url: str
    status: dict[str, Any]
    problem: str | None = None

    @property
    def is_silent(self) -> bool:
        """Whether the daemon did not answer."""
        return self.problem is not None


def fetch(url: str) -> dict[str, Any]:
    """Reads the status of one daemon.

    Args:
        url: Base URL of the daemon.

    Raises:
        DaemonSilentError: There was no status.
    """
    timeout = urllib3.Timeout(connect=TIMEOUT_S, read=TIMEOUT_S)
    try:
        with urllib3.PoolManager(retries=False, timeout=timeout) as pool:
            response = pool.request(
                "GET", f"{url.rstrip('/')}/status", redirect=False
            )
    except (urllib3.exceptions.HTTPError, ValueError) as error:
        raise DaemonSilentError(type(error).__name__) from error
    if response.status != 200 or len(response.data) > MAX_ANSWER_BYTES:
        raise DaemonSilentError(f"status {response.status}")
    try:
        value = json.loads(response.data)
    except ValueError as error:
        raise DaemonSilentError("the answer is not JSON") from error
    if not isinstance(value, dict):
        raise DaemonSilentError("the answer is not an object")
    return value


def ask_all(
    urls: Sequence[str], fetch_status: Callable[[str], dict[str, Any]]
) -> list[DaemonStatus]:
    """Asks every daemon; a silent one gets a row of its own."""
    answers = []
    for url in urls:
        try:
            answers.append(DaemonStatus(url, fetch_status(url)))
        except DaemonSilentError as error:
            answers.append(DaemonStatus(url, {}, str(error)))
    return answers
