"""Stand-in of the platform's metadata store."""

import bisect
import http.server
import json
import threading
import time
from typing import Any
import urllib.parse
import uuid

OBJECTS_PATH = "/-/objects/"
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
# Kinds of which the system may write only the status.
STATUS_ONLY_KINDS = ("config", "servers", "rollouts")

Row = dict[str, Any]


def _revision_of(row: tuple[int, Row]) -> int:
    return row[0]


class _Server(http.server.ThreadingHTTPServer):
    """Does not report clients that are killed during a watch."""

    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request: Any, client_address: Any) -> None:
        pass


class Store:
    """Objects by kind and name, with linearizable reads and watches."""

    def __init__(self, host: str = "127.0.0.1") -> None:
        self._rows: dict[tuple[str, str], Row] = {}
        # Revision and event of each change, by kind.
        self._events: dict[str, list[tuple[int, Row]]] = {}
        self._raw_by_mark: dict[bytes, bytes] = {}
        self._changed = threading.Condition(threading.RLock())
        self._revision = 100
        self._server = _Server((host, 0), self._handler())
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    @property
    def address(self) -> str:
        """IP address and port."""
        host, port = self._server.server_address[:2]
        return f"{host!s}:{port}"

    def close(self) -> None:
        """Stops the server."""
        self._server.shutdown()
        self._server.server_close()

    def put(self, kind: str, name: str, spec: Any, status: Any = None) -> float:
        """Writes an object; returns when the write was acknowledged."""
        with self._changed:
            known = self._rows.get((kind, name))
            if known and (known["spec"], known["status"]) == (spec, status):
                return time.monotonic()
            self._revision += 1
            metadata = {
                "name": name,
                "revision": self._revision,
                "created": known["metadata"]["created"] if known else 1,
                "finalizers": [],
                "deleting": False,
            }
            row = {"metadata": metadata, "spec": spec, "status": status}
            self._rows[kind, name] = row
            self._add_event(kind, row, False)
            return time.monotonic()

    def put_raw(self, kind: str, name: str, spec: bytes) -> None:
        """Writes an object whose spec is sent as these bytes."""
        mark = uuid.uuid4().hex
        self._raw_by_mark[json.dumps(mark).encode()] = spec
        self.put(kind, name, mark)

    def remove(self, kind: str, name: str) -> None:
        """Removes an object if there is one."""
        with self._changed:
            row = self._rows.pop((kind, name), None)
            if row is not None:
                self._revision += 1
                self._add_event(kind, row, True)

    def _add_event(self, kind: str, row: Row, deleted: bool) -> None:
        event = {"deleted": deleted, "object": row}
        rows = self._events.setdefault(kind, [])
        rows.append((self._revision, event))
        self._changed.notify_all()

    def _read(self, path: str) -> tuple[int, Any]:
        url = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(url.query))
        kind, _, name = url.path[len(OBJECTS_PATH) :].partition("/")
        if name:
            row = self._rows.get((kind, urllib.parse.unquote(name)))
            return (404, {}) if row is None else (200, row)
        if "watch" in query:
            wait_s = int(query.get("wait_ms", "0")) / 1000
            return self._watch(kind, int(query["watch"]), wait_s)
        return self._list(kind, query.get("after", ""))

    def _list(self, kind: str, after: str) -> tuple[int, Any]:
        with self._changed:
            rows = [
                row
                for (row_kind, name), row in sorted(self._rows.items())
                if row_kind == kind and name > after
            ]
            page: list[Row] = []
            size = 0
            for row in rows:
                size += len(self._encode(row))
                if page and (len(page) >= PAGE_ITEMS or size > PAGE_BYTES):
                    break
                page.append(row)
            return 200, {
                "items": page,
                "has_more": len(page) < len(rows),
                "store_revision": self._revision,
            }

    def _watch(self, kind: str, after: int, wait_s: float) -> tuple[int, Any]:
        until_s = time.monotonic() + wait_s
        with self._changed:
            while True:
                rows = self._events.get(kind, [])
                first = bisect.bisect_right(rows, after, key=_revision_of)
                events = [event for _, event in rows[first:]]
                left_s = until_s - time.monotonic()
                if events or left_s <= 0:
                    return 200, {
                        "events": events,
                        "store_revision": self._revision,
                    }
                self._changed.wait(left_s)

    def _write(self, method: str, path: str, body: bytes) -> tuple[int, Any]:
        url = urllib.parse.urlsplit(path)
        kind, _, rest = url.path[len(OBJECTS_PATH) :].partition("/")
        quoted, _, part = rest.partition("/")
        name = urllib.parse.unquote(quoted)
        with self._changed:
            if method == "POST":
                return self._create(kind, json.loads(body))
            row = self._rows.get((kind, name))
            if row is None:
                return 404, {}
            if method == "DELETE":
                return self._delete(kind, row, url.query)
            return self._replace(kind, row, part, json.loads(body))

    def _create(self, kind: str, document: Row) -> tuple[int, Any]:
        name = document["metadata"]["name"]
        if (kind, name) in self._rows:
            return 409, self._rows[kind, name]
        self.put(kind, name, document["spec"])
        return 200, self._rows[kind, name]

    def _delete(self, kind: str, row: Row, query: str) -> tuple[int, Any]:
        wanted = dict(urllib.parse.parse_qsl(query)).get("revision")
        if wanted not in (None, str(row["metadata"]["revision"])):
            return 409, row
        self.remove(kind, row["metadata"]["name"])
        return 200, {}

    def _replace(
        self, kind: str, row: Row, part: str, document: Row
    ) -> tuple[int, Any]:
        wanted = document["metadata"].get("revision")
        if wanted not in (None, row["metadata"]["revision"]):
            return 409, row
        name = row["metadata"]["name"]
        if part == "status":
            self.put(kind, name, row["spec"], document["status"])
        elif kind in STATUS_ONLY_KINDS:
            return 403, {}
        else:
            self.put(kind, name, document["spec"], row["status"])
        return 200, self._rows[kind, name]

    def _encode(self, document: Any) -> bytes:
        body = json.dumps(document).encode()
        for mark, raw in self._raw_by_mark.items():
            body = body.replace(mark, raw)
        return body

    def _handler(self) -> type[http.server.BaseHTTPRequestHandler]:
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def do_GET(self) -> None:
                self._send(*store._read(self.path))

            def _write(self) -> None:
                size = int(self.headers.get("Content-Length", "0"))
                body = self.rfile.read(size)
                self._send(*store._write(self.command, self.path, body))

            def do_POST(self) -> None:
                self._write()

            def do_PUT(self) -> None:
                self._write()

            def do_DELETE(self) -> None:
                self._write()

            def _send(self, status: int, document: Any) -> None:
                body = store._encode(document)
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *_arguments: object) -> None:
                pass

        return Handler
