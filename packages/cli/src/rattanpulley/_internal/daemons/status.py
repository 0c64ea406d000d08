"""Client of `GET /status` of the daemons."""

from collections.abc import Callable, Sequence
import dataclasses
import json
from typing import Any

import urllib3

# A daemon responds from memory, so a longer timeout would only delay the output
# that an operator needs during an incident.
TIMEOUT_S = 2.0
MAX_RESPONSE_BYTES = 4 * 1024 * 1024


class DaemonSilentError(Exception):
    """A daemon did not respond, or its response is not a valid status."""


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonStatus:
    """Result of a status request to one daemon.

    Attributes:
        url: Base URL of the daemon.
        status: Decoded JSON object; empty when the daemon is unresponsive.
        problem: Why there is no valid response, or None.
    """

    url: str
    status: dict[str, Any]
    problem: str | None = None

    @property
    def is_unresponsive(self) -> bool:
        """Whether the daemon sent no valid response."""
        return self.problem is not None


def fetch(url: str) -> dict[str, Any]:
    """Returns the status of one daemon.

    Args:
        url: Base URL of the daemon.

    Raises:
        DaemonSilentError: The daemon did not respond, or its response is not
            a valid status.
    """
    timeout = urllib3.Timeout(connect=TIMEOUT_S, read=TIMEOUT_S)
    try:
        with urllib3.PoolManager(retries=False, timeout=timeout) as pool:
            response = pool.request(
                "GET", f"{url.rstrip('/')}/status", redirect=False
            )
    except (urllib3.exceptions.HTTPError, ValueError) as error:
        raise DaemonSilentError(type(error).__name__) from error
    if response.status != 200 or len(response.data) > MAX_RESPONSE_BYTES:
        raise DaemonSilentError(f"status {response.status}")
    try:
        value = json.loads(response.data)
    except ValueError as error:
        raise DaemonSilentError("the response is not JSON") from error
    if not isinstance(value, dict):
        raise DaemonSilentError("the response is not a JSON object")
    return value


def fetch_all(
    urls: Sequence[str], fetch_status: Callable[[str], dict[str, Any]]
) -> list[DaemonStatus]:
    """Returns the result of every daemon, the unresponsive ones included."""
    statuses = []
    for url in urls:
        try:
            statuses.append(DaemonStatus(url, fetch_status(url)))
        except DaemonSilentError as error:
            statuses.append(DaemonStatus(url, {}, str(error)))
    return statuses
