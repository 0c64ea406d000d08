"""Client of the platform's host list."""

from typing import Any

from rattanpulley_adapters._internal.platform import http_json
from rattanpulley_core import interfaces


class HttpHostList(interfaces.HostList):
    """Reads `GET /hosts`."""

    def __init__(self, base_url: str) -> None:
        """Prepares the client.

        Args:
            base_url: URL of the platform, http://ADDRESS:PORT.

        Raises:
            exceptions.InvalidUrlError: The URL has another form.
        """
        self._client = http_json.JsonClient(base_url)

    def fetch(self) -> list[interfaces.HostEntry]:
        """Returns the rows; see the base class."""
        answer = self._client.call("GET", "/hosts")
        try:
            return [_entry(row) for row in answer.body["hosts"]]
        except (KeyError, TypeError, ValueError) as error:
            raise interfaces.StoreUnavailableError(
                f"GET /hosts: malformed answer, {type(error).__name__} {error}"
            ) from error


def _entry(row: dict[str, Any]) -> interfaces.HostEntry:
    """Converts one row of the list."""
    return interfaces.HostEntry(
        name=row["name"],
        failure_domain=row["domain"],
        url=row["url"],
        kind=row["kind"],
        version=row["version"],
        state=interfaces.HostState(row["state"]),
    )
