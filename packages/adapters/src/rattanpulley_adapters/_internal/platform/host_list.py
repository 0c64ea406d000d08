"""HTTP client of the platform's host list."""

from typing import Any

import urllib3

from rattanpulley_adapters._internal.platform import http_json
from rattanpulley_core import interfaces

NOT_MODIFIED_STATUS = 304


class HttpHostList(interfaces.HostList):
    """Reads the host list by conditional `GET /hosts` requests.

    At 600 targets, transferring the whole list every two seconds would take ten
    times the control budget of a node. Each request therefore carries the
    entity tag of the last response, so that an unchanged list is not sent.
    """

    def __init__(
        self,
        base_url: str,
        pool_class: type[urllib3.HTTPConnectionPool] = (
            urllib3.HTTPConnectionPool
        ),
    ) -> None:
        """Creates the client.

        Args:
            base_url: URL of the platform, http://ADDRESS:PORT.
            pool_class: Class of the connections.

        Raises:
            exceptions.InvalidUrlError: The URL does not have this form.
        """
        self._client = http_json.JsonClient(base_url, pool_class=pool_class)
        self._entity_tag = ""
        self._entries: list[interfaces.HostEntry] = []

    def fetch(self) -> list[interfaces.HostEntry]:
        """Returns the entries; see the base class."""
        headers = {}
        if self._entity_tag:
            headers["If-None-Match"] = self._entity_tag
        response = self._client.call("GET", "/hosts", headers=headers)
        if response.status == NOT_MODIFIED_STATUS and self._entity_tag:
            return self._entries
        try:
            entries = [_parse_entry(row) for row in response.body["hosts"]]
        except (KeyError, TypeError, ValueError) as error:
            raise interfaces.StoreUnavailableError(
                f"GET /hosts: malformed response, {type(error).__name__}"
                f" {error}"
            ) from error
        self._entries = entries
        self._entity_tag = response.entity_tag
        return entries


def _parse_entry(row: dict[str, Any]) -> interfaces.HostEntry:
    """Parses one row of the list."""
    return interfaces.HostEntry(
        name=row["name"],
        failure_domain=row["domain"],
        url=row["url"],
        kind=row["kind"],
        version=row["version"],
        state=interfaces.HostState(row["state"]),
    )
