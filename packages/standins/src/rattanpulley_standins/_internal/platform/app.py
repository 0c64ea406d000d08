"""HTTP interface of the platform stand-in: object API and host list."""

from collections.abc import Callable
import dataclasses
import hashlib
import json
import time
from typing import Any

import bottle

from rattanpulley_standins._internal import faults
from rattanpulley_standins._internal import serving
from rattanpulley_standins._internal.platform import hosts as hosts_lib
from rattanpulley_standins._internal.platform import store as store_lib

MAX_WATCH_S = 60.0
WATCH_CHECK_S = 0.5
FAULT_CHECKS_BY_NAME: dict[str, faults.Check] = {
    "outage": faults.is_flag,
    "slow_ms": faults.is_number,
    "lose_answers": faults.is_count,
    "stale_reads": faults.is_flag,
}
CALL_KINDS = ("get", "put", "delete", "list", "watch", "hosts")


def run(settings: dict[str, Any]) -> None:
    """Runs the platform until the process exits.

    Args:
        settings: Settings with `listen` and `hosts` (rows of the host list),
            and optionally `host_list_lag_ms`.
    """
    rows = [hosts_lib.Host(**row) for row in settings["hosts"]]
    lag_s = settings.get("host_list_lag_ms", 1000) / 1000
    http = PlatformHttp(hosts_lib.LaggingHosts(rows, lag_s))
    serving.serve(http.app, settings["listen"])


class PlatformHttp:
    """HTTP routes of the platform.

    Args:
        hosts: Rows of the host list.
        clock: Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        hosts: hosts_lib.LaggingHosts,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.app = serving.new_app()
        self._hosts = hosts
        self._clock = clock
        self._store = store_lib.Store()
        self._faults = faults.Faults(FAULT_CHECKS_BY_NAME)
        self._calls_by_kind = dict.fromkeys(CALL_KINDS, 0)
        self._add_routes()

    def _add_routes(self) -> None:
        app = self.app
        app.get("/objects", callback=self._list_objects)
        app.get("/objects/<key:path>", callback=self._get_object)
        app.put("/objects/<key:path>", callback=self._put_object)
        app.delete("/objects/<key:path>", callback=self._delete_object)
        app.get("/watch", callback=self._watch)
        app.get("/hosts", callback=self._list_hosts)
        app.post("/hosts/<name>/state", callback=self._set_host_state)
        app.get("/faults", callback=self._faults.as_json)
        app.post("/faults", callback=self._set_faults)
        app.get("/stats", callback=self._stats)
        app.get("/health", callback=self._health)

    def _start_call(self, kind: str) -> None:
        self._calls_by_kind[kind] += 1
        time.sleep((self._faults.get("slow_ms") or 0) / 1000)
        if self._faults.get("outage"):
            raise serving.RequestError(503, "the platform is unavailable")

    @property
    def _reads_stale(self) -> bool:
        return bool(self._faults.get("stale_reads"))

    def _get_object(self, key: str) -> dict[str, Any]:
        self._start_call("get")
        entry = self._store.get(key, self._reads_stale)
        if entry is None:
            raise serving.RequestError(404, f"object {key} does not exist")
        return entry.as_json()

    def _list_objects(self) -> dict[str, Any]:
        self._start_call("list")
        prefix = bottle.request.query.get("prefix", "")
        entries = self._store.list_objects(prefix, self._reads_stale)
        return {
            "objects": [entry.as_json() for entry in entries],
            "revision": self._store.revision,
        }

    def _put_object(self, key: str) -> dict[str, Any]:
        self._start_call("put")
        expected = _expected_version(allows_create=True)
        length = bottle.request.content_length
        if length > store_lib.MAX_VALUE_BYTES:
            raise serving.RequestError(413, "the value is larger than 1 MB")
        body = serving.json_object()
        if body.keys() != {"value"}:
            raise serving.RequestError(422, 'the body is not {"value": ...}')
        value = body["value"]
        return self._write_object(lambda: self._store.put(key, value, expected))

    def _delete_object(self, key: str) -> dict[str, Any]:
        self._start_call("delete")
        expected = _expected_version(allows_create=False)
        return self._write_object(lambda: self._store.delete(key, expected))

    def _write_object(
        self, write: Callable[[], store_lib.Entry]
    ) -> dict[str, Any]:
        try:
            entry = write()
        except store_lib.ConflictError as error:
            raise serving.RequestError(
                412, str(error), version=error.version
            ) from error
        if self._faults.consume_one("lose_answers"):
            serving.abort_connection()
        return entry.as_json()

    def _watch(self) -> dict[str, Any]:
        self._start_call("watch")
        prefix = bottle.request.query.get("prefix", "")
        after = int(serving.query_number("after", 0))
        timeout_s = min(serving.query_number("timeout", 30.0), MAX_WATCH_S)
        end_s = self._clock() + timeout_s
        events = self._wait_for_changes(prefix, after, end_s)
        return {
            "events": [entry.as_json() for entry in events],
            "revision": max(after, self._store.revision),
        }

    def _wait_for_changes(
        self, prefix: str, after: int, end_s: float
    ) -> list[store_lib.Entry]:
        sock = serving.connection()
        with self._store.changed:
            while not (events := self._store.changes(prefix, after)):
                left_s = end_s - self._clock()
                if left_s <= 0 or serving.peer_closed(sock):
                    break
                self._store.changed.wait(min(left_s, WATCH_CHECK_S))
                if self._faults.get("outage"):
                    raise serving.RequestError(
                        503, "the platform is unavailable"
                    )
        return events

    def _list_hosts(self) -> dict[str, Any]:
        self._start_call("hosts")
        rows = self._hosts.visible(self._clock())
        value = {"hosts": [dataclasses.asdict(row) for row in rows]}
        digest = hashlib.blake2b(json.dumps(value).encode(), digest_size=8)
        entity_tag = f'"{digest.hexdigest()}"'
        bottle.response.set_header("ETag", entity_tag)
        if bottle.request.get_header("If-None-Match") == entity_tag:
            bottle.response.status = 304
            return {}
        return value

    def _set_host_state(self, name: str) -> dict[str, Any]:
        state = serving.json_object().get("state")
        try:
            host = self._hosts.set_state(name, str(state), self._clock())
        except KeyError as error:
            raise serving.RequestError(
                404, f"host {name} does not exist"
            ) from error
        except ValueError as error:
            raise serving.RequestError(422, str(error)) from error
        return dataclasses.asdict(host)

    def _set_faults(self) -> dict[str, Any]:
        self._faults.update(serving.json_object())
        return self._faults.as_json()

    def _stats(self) -> dict[str, Any]:
        return {"calls": self._calls_by_kind, "revision": self._store.revision}

    def _health(self) -> dict[str, Any]:
        return {"state": "ready"}


def _expected_version(allows_create: bool) -> int:
    """Returns the version that the conditional headers require.

    0 requires that the object does not exist.

    Raises:
        serving.RequestError: There is no condition (428) or it is malformed
            (422).
    """
    request = bottle.request
    if allows_create and request.get_header("If-None-Match") == "*":
        return 0
    text = request.get_header("If-Match")
    if text is None:
        raise serving.RequestError(428, "If-Match or If-None-Match is required")
    try:
        version = int(text.strip('"'))
    except ValueError as error:
        raise serving.RequestError(422, "If-Match is not a version") from error
    if version < 1:
        raise serving.RequestError(422, "If-Match is not a version")
    return version
