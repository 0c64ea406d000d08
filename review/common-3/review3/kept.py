"""Stand-ins of clients that keep their connections."""

import contextlib
import http.client
import threading
import time
import uuid

from review3 import clients as clients_lib
from review3 import record as record_lib

LIMIT_MS = 2500
CONNECT_S = 1.0


class KeptClients:
    """Clients that send unsafe requests, each on a connection that it keeps.

    Attributes:
        attempts: All attempts so far. The note of one that was sent on a kept
            connection and that the host ended without an answer is `cut`.
    """

    def __init__(
        self, balancer: clients_lib.Balancer, log: record_lib.Record
    ) -> None:
        self.attempts: list[clients_lib.Attempt] = []
        self._balancer = balancer
        self._log = log
        self._is_open = True
        self._threads: list[threading.Thread] = []

    def start(self, count: int, pause_s: float) -> None:
        """Starts clients."""
        for _ in range(count):
            thread = threading.Thread(
                target=self._run, args=(pause_s,), daemon=True
            )
            thread.start()
            self._threads.append(thread)

    def stop(self) -> None:
        """Ends the clients; requests that run get their answers."""
        self._is_open = False
        for thread in self._threads:
            thread.join(timeout=10.0)

    def _run(self, pause_s: float) -> None:
        while self._is_open:
            host = self._balancer.choose()
            connection = http.client.HTTPConnection(
                *host.client_address, timeout=CONNECT_S
            )
            with contextlib.closing(connection):
                self._use(connection, host.name, pause_s)
            time.sleep(pause_s)

    def _use(
        self, connection: http.client.HTTPConnection, host: str, pause_s: float
    ) -> None:
        """Sends requests on a connection until it ends."""
        try:
            connection.connect()
        except OSError:
            return
        connection.sock.settimeout(LIMIT_MS / 1000)
        is_kept = False
        while self._is_open and self._send(connection, host, is_kept):
            is_kept = True
            time.sleep(pause_s)

    def _send(
        self, connection: http.client.HTTPConnection, host: str, is_kept: bool
    ) -> bool:
        """Sends one request; returns whether the connection can be used."""
        attempt = clients_lib.Attempt(
            uuid.uuid4().hex[:16], "unsafe", host, time.monotonic()
        )
        self.attempts.append(attempt)
        self._log.write(f"sent {attempt.request_id} unsafe to {host}")
        headers = clients_lib.headers_of(attempt.request_id, LIMIT_MS)
        try:
            connection.request("POST", "/pay/deposit", b"amount=20", headers)
            response = connection.getresponse()
            attempt.status = response.status
            response.read()
            attempt.is_whole = (
                response.getheader("X-Rattanpulley-Upstream-Signature")
                is not None
            )
        except TimeoutError:
            attempt.note = "no answer in time"
        except (OSError, http.client.HTTPException):
            attempt.note = "cut" if is_kept else "cut, not kept"
        attempt.ended_s = time.monotonic()
        self._log.write(
            f"answered {attempt.request_id} {attempt.status} {attempt.note}"
        )
        return not attempt.note and connection.sock is not None
