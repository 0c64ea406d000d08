"""Client of the platform's host list."""

from typing import Any

from rattanpulley_adapters._internal.platform import http_json
from rattanpulley_core import interfaces

NOT_MODIFIED_STATUS = 304


class HttpHostList(interfaces.HostList):
    """Reads `GET /hosts`, and its rows only when they changed.

    At 600 targets the whole list every two seconds would take ten times the
    control budget of a node, so the entity tag of the last answer is sent.
    """

    def __init__(self, base_url: str) -> None:
        """Prepares the client.

        Args:
            base_url: URL of the platform, http://ADDRESS:PORT.

        Raises:
            exceptions.InvalidUrlError: The URL has another form.
        """
        self._client = http_json.JsonClient(base_url)
        self._entity_tag = ""
        self._entries: list[interfaces.HostEntry] = []

    def fetch(self) -> list[interfaces.HostEntry]:
        """Returns the rows; see the base class."""
        headers = {}
        if self._entity_tag:
            headers["If-None-Match"] = self._entity_tag
        answer = self._client.call("GET", "/hosts", headers=headers)
        if answer.status == NOT_MODIFIED_STATUS and self._entity_tag:
            return self._entries
        try:
            entries = [_entry(row) for row in answer.body["hosts"]]
        except (KeyError, TypeError, ValueError) as error:
            raise interfaces.StoreUnavailableError(
                f"GET /hosts: malformed answer, {type(error).__name__} {error}"
            ) from error
        self._entries = entries
        self._entity_tag = answer.entity_tag
        return entries


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
