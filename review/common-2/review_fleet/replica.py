"""A replica of a plain service, as the users' pages describe it."""

import dataclasses
import http.server
import random
import threading
import time
from typing import Any

from review_fleet import record as record_lib

WORK_S = 0.02
SLOTS = 40


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """How a bad version is bad.

    Attributes:
        error_share: Share of its requests that end with an error.
        slowness: How many times as long its work takes.
        after_s: Seconds after its start from which that is so.
    """

    error_share: float = 0.0
    slowness: float = 1.0
    after_s: float = 0.0


SOUND = Fault()


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One request that reached a replica and that it ran.

    Attributes:
        at_s: When it arrived, on the clock of the record.
        request_id: Its id.
        version: Version of the replica.
        status: Status of the answer.
    """

    at_s: float
    request_id: str
    version: str
    status: int


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Connections that the other side has closed are no error."""


class Replica:
    """Runs each request once and answers with its proof.

    Attributes:
        replica_id: Its id.
        version: Version of its software.
        address: IP address and port.
        arrivals: Requests that it ran.
    """

    def __init__(
        self,
        replica_id: str,
        version: str,
        record: record_lib.Record,
        fault: Fault = SOUND,
    ) -> None:
        """Starts the replica.

        Args:
            replica_id: Its id.
            version: Version of its software.
            record: Record of the script.
            fault: How its version is bad.
        """
        self.replica_id = replica_id
        self.version = version
        self.arrivals: list[Arrival] = []
        self._fault = fault
        self._bad_from_s = time.monotonic() + fault.after_s
        self._record = record
        self._rng = random.Random(replica_id)
        self._born = int(time.time() * 1000)
        self._server = _Server(("127.0.0.1", 0), self._handler())
        host, port = self._server.server_address[:2]
        self.address = f"{host!s}:{port}"
        threading.Thread(
            target=self._server.serve_forever, args=(0.05,), daemon=True
        ).start()

    def entry(self, service: str, state: str = "ready") -> dict[str, Any]:
        """Returns its entry in the platform's store."""
        return {
            "service": service,
            "address": self.address,
            "zone": "north",
            "version": self.version,
            "slots": SLOTS,
            "state": state,
            "cold_left_ms": 0,
            "sequence": 1,
            "born": self._born,
        }

    def close(self) -> None:
        """Stops the replica at once."""
        self._server.shutdown()
        self._server.server_close()

    def run(self, request_id: str, method: str, path: str) -> int:
        """Runs a request; returns the status of its answer."""
        fault = self._fault if time.monotonic() >= self._bad_from_s else SOUND
        status = 500 if self._rng.random() < fault.error_share else 200
        at_s = self._record.write(
            "runs",
            replica=self.replica_id,
            version=self.version,
            request=request_id,
            method=method,
            path=path,
            status=status,
        )
        self.arrivals.append(Arrival(at_s, request_id, self.version, status))
        time.sleep(WORK_S * fault.slowness)
        return status

    def _handler(self) -> type[http.server.BaseHTTPRequestHandler]:
        replica = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def _answer(self) -> None:
                length = int(self.headers.get("Content-Length", "0"))
                self.rfile.read(length)
                expected = self.headers.get("X-Rattanpulley-Expect-Replica")
                request_id = self.headers.get("X-Rattanpulley-Request-Id")
                if expected not in (None, replica.replica_id):
                    self._send(421, request_id, is_refusal=True)
                elif not request_id:
                    self._send(400, None, is_refusal=True)
                else:
                    status = replica.run(request_id, self.command, self.path)
                    self._send(status, request_id)

            do_GET = do_POST = _answer  # noqa: N815 - names of the base class

            def _send(
                self,
                status: int,
                request_id: str | None,
                is_refusal: bool = False,
            ) -> None:
                body = b"" if is_refusal else f"of {request_id}".encode()
                self.send_response(status)
                self.send_header(
                    "X-Rattanpulley-Replica-Id", replica.replica_id
                )
                if request_id:
                    self.send_header("X-Rattanpulley-Request-Id", request_id)
                if is_refusal:
                    self.send_header("X-Rattanpulley-Not-Executed", "1")
                else:
                    self.send_header(
                        "X-Rattanpulley-Upstream-Signature", "proof"
                    )
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *_arguments: object) -> None:
                pass

        return Handler
