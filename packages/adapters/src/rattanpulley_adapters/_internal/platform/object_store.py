"""HTTP client of the platform's object API."""

from typing import Any
import urllib.parse

import urllib3

from rattanpulley_adapters._internal.platform import http_json
from rattanpulley_core import interfaces


class HttpObjectStore(interfaces.ObjectStore):
    """Sends the requests of the object API (design 4.1), without retries."""

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

    def get(self, key: str) -> interfaces.StoredObject | None:
        """Returns the object, or None; see the base class."""
        path = _object_path(key)
        response = self._client.call("GET", path)
        if response.status == 404:
            return None
        return _parse_object(
            _require_success(response, f"GET {path}"), f"GET {path}"
        )

    def put(
        self, key: str, value: Any, expected_version: int
    ) -> interfaces.StoredObject:
        """Writes conditionally; see the base class."""
        path = _object_path(key)
        response = self._client.call(
            "PUT",
            path,
            {"value": value},
            _precondition_headers(expected_version),
        )
        _raise_on_conflict(response, key)
        body = _require_success(response, f"PUT {path}")
        return _parse_object(body, f"PUT {path}")

    def delete(self, key: str, expected_version: int) -> None:
        """Deletes conditionally; see the base class."""
        path = _object_path(key)
        response = self._client.call(
            "DELETE", path, headers=_precondition_headers(expected_version)
        )
        _raise_on_conflict(response, key)
        if response.status != 404:
            _require_success(response, f"DELETE {path}")

    def list_objects(
        self, prefix: str
    ) -> tuple[list[interfaces.StoredObject], int]:
        """Returns the objects below a prefix; see the base class."""
        path = "/objects?" + urllib.parse.urlencode({"prefix": prefix})
        body = _require_success(self._client.call("GET", path), f"GET {path}")
        return _parse_objects(body, "objects", f"GET {path}")

    def watch(
        self, prefix: str, after_revision: int, timeout_s: float
    ) -> tuple[list[interfaces.StoredObject], int]:
        """Waits for writes below a prefix; see the base class."""
        query = {
            "prefix": prefix,
            "after": str(after_revision),
            "timeout": f"{timeout_s:g}",
        }
        path = "/watch?" + urllib.parse.urlencode(query)
        response = self._client.call(
            "GET", path, extra_read_timeout_s=timeout_s
        )
        return _parse_objects(
            _require_success(response, f"GET {path}"), "events", path
        )


def _object_path(key: str) -> str:
    """Returns the URL path of an object."""
    return "/objects/" + urllib.parse.quote(key, safe="/")


def _precondition_headers(expected_version: int) -> dict[str, str]:
    """Returns the header that makes a write conditional on the version."""
    if expected_version == 0:
        return {"If-None-Match": "*"}
    return {"If-Match": str(expected_version)}


def _raise_on_conflict(response: http_json.JsonResponse, key: str) -> None:
    """Raises an exception if the response reports a version conflict.

    Raises:
        interfaces.StoreConflictError: The status is 412.
        interfaces.StoreUnavailableError: The status is 412, but the response
            lacks the current version.
    """
    if response.status != 412:
        return
    body = response.body if isinstance(response.body, dict) else {}
    version = body.get("version")
    if not isinstance(version, int):
        raise interfaces.StoreUnavailableError(
            f"{key}: the conflict response lacks the current version"
        )
    raise interfaces.StoreConflictError(key, version)


def _require_success(
    response: http_json.JsonResponse, operation: str
) -> dict[str, Any]:
    """Returns the body of a successful response.

    Raises:
        interfaces.StoreUnavailableError: The status is not 200 or 201, or the
            body is not a JSON object.
    """
    if response.status not in (200, 201) or not isinstance(response.body, dict):
        raise interfaces.StoreUnavailableError(
            f"{operation}: unexpected response with status {response.status}"
        )
    return response.body


def _parse_objects(
    body: dict[str, Any], field: str, operation: str
) -> tuple[list[interfaces.StoredObject], int]:
    """Parses a list of objects and the revision of the store."""
    rows = body.get(field)
    revision = body.get("revision")
    if not isinstance(rows, list) or not isinstance(revision, int):
        raise interfaces.StoreUnavailableError(
            f"{operation}: malformed response"
        )
    return [_parse_object(row, operation) for row in rows], revision


def _parse_object(row: Any, operation: str) -> interfaces.StoredObject:
    """Parses one object."""
    try:
        return interfaces.StoredObject(
            key=row["key"],
            value=row.get("value"),
            version=int(row["version"]),
            revision=int(row["revision"]),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise interfaces.StoreUnavailableError(
            f"{operation}: malformed object, {type(error).__name__} {error}"
        ) from error
