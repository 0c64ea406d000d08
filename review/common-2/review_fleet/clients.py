"""Clients that send plain requests at a steady rate."""

import collections
import http.client
import random
import threading
import time
import uuid

from review_fleet import hosts
from review_fleet import record as record_lib

KEY = "key-of-north"
HOST_NAME = "shop.example"
DEADLINE_MS = 2500


class Clients:
    """A few clients for each host; each sends one request after the other.

    Attributes:
        counts: Number of requests by path and status; 0 is no answer.
    """

    def __init__(
        self,
        entry_hosts: list[hosts.Host],
        record: record_lib.Record,
        clients_per_host: int,
        interval_s: float,
    ) -> None:
        """Creates clients that have sent nothing.

        Args:
            entry_hosts: The hosts that the balancer chooses from.
            record: Record of the script.
            clients_per_host: Clients that the balancer sends to each host.
            interval_s: Mean time between two requests of a client.
        """
        self.counts: collections.Counter[tuple[str, int]] = (
            collections.Counter()
        )
        self._record = record
        self._interval_s = interval_s
        self._lock = threading.Lock()
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(host,), daemon=True)
            for host in entry_hosts
            for _ in range(clients_per_host)
        ]

    def start(self) -> None:
        """Starts all clients."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stops all clients."""
        self._stop.set()
        for thread in self._threads:
            thread.join(timeout=5)

    def _run(self, host: hosts.Host) -> None:
        rng = random.Random()
        connection: http.client.HTTPConnection | None = None
        next_s = time.monotonic() + rng.uniform(0, self._interval_s)
        while not self._stop.wait(max(0.0, next_s - time.monotonic())):
            next_s += self._interval_s * rng.uniform(0.5, 1.5)
            connection = connection or http.client.HTTPConnection(
                *host.client_address, timeout=DEADLINE_MS / 1000
            )
            is_unsafe = rng.random() < 0.7
            status = self._send(connection, host, is_unsafe)
            if not status:
                connection.close()
                connection = None

    def _send(
        self,
        connection: http.client.HTTPConnection,
        host: hosts.Host,
        is_unsafe: bool,
    ) -> int:
        """Sends one request; returns the status, or 0 without an answer."""
        request_id = uuid.uuid4().hex[:16]
        method, path = ("POST", "/pay/x") if is_unsafe else ("GET", "/stock/x")
        headers = {
            "Host": HOST_NAME,
            "X-Rattanpulley-Request-Id": request_id,
            "X-Rattanpulley-Deadline-Ms": str(DEADLINE_MS),
            "X-Rattanpulley-Credential": KEY,
        }
        body = b"deposit" if is_unsafe else None
        self._record.write(
            "sent", request=request_id, path=path, host=host.name
        )
        status, reason = 0, ""
        try:
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            response.read()
            status = response.status
            if response.will_close:
                connection.close()
        except (OSError, http.client.HTTPException) as error:
            reason = repr(error)
        self._record.write(
            "answered", request=request_id, status=status, reason=reason
        )
        with self._lock:
            self.counts[path, status] += 1
        return status
