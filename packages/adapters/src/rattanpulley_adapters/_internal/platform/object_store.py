"""Client of the platform's object API."""

from typing import Any
import urllib.parse

from rattanpulley_adapters._internal.platform import http_json
from rattanpulley_core import interfaces


class HttpObjectStore(interfaces.ObjectStore):
    """Makes the calls of design section 4.1, each of them once."""

    def __init__(self, base_url: str) -> None:
        """Prepares the client.

        Args:
            base_url: URL of the platform, http://ADDRESS:PORT.

        Raises:
            exceptions.InvalidUrlError: The URL has another form.
        """
        self._client = http_json.JsonClient(base_url)

    def get(self, key: str) -> interfaces.StoredObject | None:
        """Returns the object, or None; see the base class."""
        path = _path(key)
        answer = self._client.call("GET", path)
        if answer.status == 404:
            return None
        return _object(_checked(answer, f"GET {path}"), f"GET {path}")

    def put(
        self, key: str, value: Any, expected_version: int
    ) -> interfaces.StoredObject:
        """Writes conditionally; see the base class."""
        path = _path(key)
        answer = self._client.call(
            "PUT", path, {"value": value}, _condition(expected_version)
        )
        _raise_on_conflict(answer, key)
        body = _checked(answer, f"PUT {path}")
        return _object(body, f"PUT {path}")

    def delete(self, key: str, expected_version: int) -> None:
        """Deletes conditionally; see the base class."""
        path = _path(key)
        answer = self._client.call(
            "DELETE", path, headers=_condition(expected_version)
        )
        _raise_on_conflict(answer, key)
        if answer.status != 404:
            _checked(answer, f"DELETE {path}")

    def list_objects(
        self, prefix: str
    ) -> tuple[list[interfaces.StoredObject], int]:
        """Returns the objects below a prefix; see the base class."""
        path = "/objects?" + urllib.parse.urlencode({"prefix": prefix})
        body = _checked(self._client.call("GET", path), f"GET {path}")
        return _objects(body, "objects", f"GET {path}")

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
        answer = self._client.call("GET", path, extra_read_s=timeout_s)
        return _objects(_checked(answer, f"GET {path}"), "events", path)


def _path(key: str) -> str:
    """Returns the path of an object."""
    return "/objects/" + urllib.parse.quote(key, safe="/")


def _condition(expected_version: int) -> dict[str, str]:
    """Returns the header that makes a write conditional."""
    if expected_version == 0:
        return {"If-None-Match": "*"}
    return {"If-Match": str(expected_version)}


def _raise_on_conflict(answer: http_json.JsonAnswer, key: str) -> None:
    """Raises the conflict that a 412 reports."""
    if answer.status != 412:
        return
    body = answer.body if isinstance(answer.body, dict) else {}
    version = body.get("version")
    if not isinstance(version, int):
        raise interfaces.StoreUnavailableError(
            f"{key}: the conflict does not name a version"
        )
    raise interfaces.StoreConflictError(key, version)


def _checked(answer: http_json.JsonAnswer, call: str) -> dict[str, Any]:
    """Returns the body of a successful answer."""
    if answer.status not in (200, 201) or not isinstance(answer.body, dict):
        raise interfaces.StoreUnavailableError(
            f"{call}: status {answer.status} without the expected body"
        )
    return answer.body


def _objects(
    body: dict[str, Any], field: str, call: str
) -> tuple[list[interfaces.StoredObject], int]:
    """Converts a list of objects and the store's revision."""
    rows = body.get(field)
    revision = body.get("revision")
    if not isinstance(rows, list) or not isinstance(revision, int):
        raise interfaces.StoreUnavailableError(f"{call}: malformed answer")
    return [_object(row, call) for row in rows], revision


def _object(row: Any, call: str) -> interfaces.StoredObject:
    """Converts one object."""
    try:
        return interfaces.StoredObject(
            key=row["key"],
            value=row.get("value"),
            version=int(row["version"]),
            revision=int(row["revision"]),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise interfaces.StoreUnavailableError(
            f"{call}: malformed object, {type(error).__name__} {error}"
        ) from error
