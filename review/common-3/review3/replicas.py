"""Stand-ins of replicas: plain services and engines."""

import contextlib
import dataclasses
import json
import select
import socket
import threading
import time
from typing import Any

from review3 import record
from review3 import store

HEARTBEAT_S = 1.2
PREFIX = "x-rattanpulley-"


@dataclasses.dataclass(frozen=True)
class Request:
    """A request as a replica received it.

    Attributes:
        method: Method.
        path: Path and query.
        headers: Headers by lower-case name.
        body: Body.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        """Id of the client's attempt."""
        return self.headers.get(PREFIX + "request-id", "")


def _read_request(connection: socket.socket) -> Request | None:
    data = b""
    while b"\r\n\r\n" not in data:
        part = connection.recv(65536)
        if not part:
            return None
        data += part
    head, _, body = data.partition(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    method, path, _ = first.split(" ")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    while len(body) < int(headers.get("content-length", "0")):
        part = connection.recv(65536)
        if not part:
            return None
        body += part
    return Request(method, path, headers, body)


class Replica:
    """One replica: answers plain requests, and streams if it is an engine.

    Attributes:
        replica_id: Id of this start.
        address: IP address and port.
        arrivals: Ids of the requests that reached it, with the times.
        runs: Ids of the requests that it ran.
        closed_early: Seconds that it still worked on requests whose
            connection was closed, by id.
    """

    def __init__(
        self,
        replica_id: str,
        service: str,
        zone: str,
        platform: store.Store,
        log: record.Record,
        work_s: float = 0.03,
        slots: int = 6,
        queue: int = 24,
        is_engine: bool = False,
    ) -> None:
        self.replica_id = replica_id
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.slots = slots
        self.queue = queue
        self.is_engine = is_engine
        self.events = 30
        self.event_s = 0.03
        self.born = int(time.time() * 1000)
        self.cold_left_ms = 0
        self.arrivals: list[tuple[str, float]] = []
        self.runs: list[str] = []
        self._platform = platform
        self._log = log
        self._lock = threading.Lock()
        self._waiting = 0
        self._slots = threading.Semaphore(slots)
        self._runs_by_id: dict[str, int] = {}
        self._closing = False
        self._server = socket.create_server(("127.0.0.1", 0), backlog=128)
        host, port = self._server.getsockname()
        self.address = f"{host}:{port}"
        threading.Thread(target=self._accept, daemon=True).start()

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """Returns its entry in the platform's store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "cold_left_ms": self.cold_left_ms,
            "sequence": 1,
            "born": self.born,
        }

    def register(self) -> None:
        """Writes its entry; the store makes no event if nothing changes."""
        self._platform.put("servers", self.replica_id, self.entry())

    def close(self) -> None:
        """Stops accepting connections."""
        self._closing = True
        with contextlib.suppress(OSError):
            self._server.shutdown(socket.SHUT_RDWR)
        self._server.close()

    def _accept(self) -> None:
        while not self._closing:
            try:
                connection, _ = self._server.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError, ValueError):
            request = _read_request(connection)
            if request is not None:
                self._answer(connection, request)

    def _answer(self, connection: socket.socket, request: Request) -> None:
        if request.path == "/-/report":
            self._send(connection, 200, {}, self._report())
            return
        if request.path.startswith("/-/"):
            self._send(connection, 404, {}, b"")
            return
        self.arrivals.append((request.request_id, time.monotonic()))
        expected = request.headers.get(PREFIX + "expect-replica")
        if expected not in (None, self.replica_id):
            found = {"X-Rattanpulley-Replica-Id": self.replica_id}
            self._log.write(
                f"{self.replica_id} answered 421 to {request.request_id}, "
                f"which expects {expected}"
            )
            self._send(connection, 421, found, b"")
            return
        if not self._admit():
            refusal = {"X-Rattanpulley-Not-Executed": "1"}
            self._send(connection, 503, self._named(request) | refusal, b"")
            return
        try:
            with self._slots:
                self.run(connection, request)
        finally:
            with self._lock:
                self._waiting -= 1

    def _admit(self) -> bool:
        with self._lock:
            if self._waiting >= self.slots + self.queue:
                return False
            self._waiting += 1
            return True

    def run(self, connection: socket.socket, request: Request) -> None:
        """Runs a request and answers it."""
        self.runs.append(request.request_id)
        self._log.write(f"{self.replica_id} runs {request.request_id}")
        if self.is_engine:
            self._stream(connection, request)
        elif self.work(connection, self.work_s):
            body = f"answer of {self.replica_id}".encode()
            self._send(connection, 200, self._proof(request), body)

    def work(self, connection: socket.socket, seconds: float) -> bool:
        """Works for a time; returns False once the connection is closed."""
        until_s = time.monotonic() + seconds
        while (left_s := until_s - time.monotonic()) > 0:
            if select.select([connection], [], [], left_s)[0]:
                return False
        return True

    def _stream(self, connection: socket.socket, request: Request) -> None:
        run_id = request.request_id
        first = int(request.headers.get("last-event-id", "0")) + 1
        self._runs_by_id[run_id] = first - 1
        try:
            if not self.work(connection, self.work_s):
                return
            headers = self._proof(request) | {
                "Content-Type": "text/event-stream",
                "Transfer-Encoding": "chunked",
                "X-Rattanpulley-Weight-Versions": "1",
            }
            connection.sendall(_head(200, headers))
            for number in range(first, self.events + 1):
                data = f"id: {number}\ndata: {run_id}.{number}\n\n".encode()
                connection.sendall(b"%x\r\n%b\r\n" % (len(data), data))
                self._runs_by_id[run_id] = number
                if not self.work(connection, self.event_s):
                    return
            connection.sendall(b"0\r\n\r\n")
        finally:
            self._runs_by_id.pop(run_id, None)

    def _named(self, request: Request) -> dict[str, str]:
        return {"X-Rattanpulley-Request-Id": request.request_id}

    def _proof(self, request: Request) -> dict[str, str]:
        return self._named(request) | {
            "X-Rattanpulley-Upstream-Signature": f"{self.replica_id}.proof"
        }

    def _report(self) -> bytes:
        if not self.is_engine:
            return b"{}"
        runs = [[key, 100, n, 5] for key, n in list(self._runs_by_id.items())]
        report = {
            "stage": "unified",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": 1,
            "queued": 0,
            "running": len(runs),
            "kv_used": 100 * len(runs),
            "kv_total": 88000,
            "handles": 0,
            "runs": runs,
            "born": self.born,
        }
        return json.dumps(report).encode()

    def _send(
        self,
        connection: socket.socket,
        status: int,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        length = {"Content-Length": str(len(body))}
        connection.sendall(_head(status, headers | length) + body)


def _head(status: int, headers: dict[str, str]) -> bytes:
    rows = [f"HTTP/1.1 {status} status"]
    rows += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(rows) + "\r\n\r\n").encode()


def config(version: int, **timeouts_ms: int) -> dict[str, Any]:
    """Returns a configuration like that of a small deployment."""
    rows = [
        ("stock-check", "/stock/", "safe", "kiosk-api", 150, 2500, False),
        ("deposit-charge", "/pay/", "unsafe", "kiosk-api", 150, 2500, False),
        ("fit-advice", "/ask/", "stream", "assistant-pool", 4500, 25000, True),
    ]
    engine = {"slots": 64, "backups": False, "kv_capacity_tokens": 88000}
    return {
        "version": version,
        "routes": [
            {
                "name": name,
                "host": "kiosk.example",
                "path_prefix": prefix,
                "kind": kind,
                "timeout_ms": timeouts_ms.get(kind, timeout_ms),
                "slo_ms": slo_ms,
                "priority": 1,
                "service": service,
                "max_attempts": 5,
                "public": False,
                "resumable": resumable,
                "gap_aim_ms": 700,
            }
            for (
                name,
                prefix,
                kind,
                service,
                slo_ms,
                timeout_ms,
                resumable,
            ) in rows
        ],
        "services": [
            {
                "name": "kiosk-api",
                "health_path": "/healthz",
                "max_connections": 110,
            },
            {
                "name": "assistant-pool",
                "health_path": "/healthz",
                "max_connections": 370,
                "engine": engine,
            },
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "kiosks", "api_keys": ["key-of-kiosks"]}],
    }
