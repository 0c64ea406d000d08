"""Replicas that a request crashes, and clients that send it again."""

import http.client
import threading
import time
from typing import Any
import uuid

from platform_tests.standin import http_wire
from platform_tests.standin import replica
from review_fleet import clients
from review_fleet import hosts
from review_fleet import platform
from review_fleet import record as record_lib

PATH = "/stock/deadly"
BODY = b"deadly"
# A replica is back some seconds after its crash.
DOWN_S = 3.0
# Its entry is removed after three intervals of silence.
LAPSE_S = 3.6
POLL_S = 0.05
DEADLINE_MS = 9000


class _Replica(replica.Replica):
    """A replica of the project's stand-in that runs for a while.

    Attributes:
        site: The replicas of the service.
    """

    site: "DeadlySite"

    def record_run(self, request: http_wire.ReceivedRequest) -> None:
        super().record_run(request)
        self.site.record_run(self.replica_id, request)

    def _run(self, connection: Any, request: Any) -> None:
        if request.body == BODY:
            time.sleep(self.site.run_s)
        super()._run(connection, request)


class DeadlySite:
    """Replicas of one service, which crash and come back.

    Attributes:
        run_s: How long the request runs until it ends or crashes.
        sends: When the request reached a replica that ran it.
        crashes: When a replica crashed under it.
    """

    def __init__(
        self,
        site: platform.Platform,
        record: record_lib.Record,
        count: int,
        run_s: float,
        is_deadly: bool,
    ) -> None:
        """Starts the replicas and registers them.

        Args:
            site: The platform.
            record: Record of the script.
            count: Number of replicas.
            run_s: How long the request runs until it ends or crashes.
            is_deadly: Whether it crashes its replicas.
        """
        self.run_s = run_s
        self.sends: list[float] = []
        self.crashes: list[float] = []
        self._site = site
        self._record = record
        self._is_deadly = is_deadly
        self._starts = 0
        self._closing = threading.Event()
        self._up: dict[str, _Replica] = {}
        for _ in range(count):
            self._start()
        threading.Thread(target=self._replace, daemon=True).start()

    def _start(self) -> None:
        """Starts a replica under a new id."""
        self._starts += 1
        name = f"i-{self._starts}"
        row = _Replica(name)
        row.site = self
        row.crash_body = BODY if self._is_deadly else None
        row.started_ms = int(time.time() * 1000)
        self._up[name] = row
        entry = row.entry(platform.SERVICE, "north")
        self._site.store.put("servers", name, entry)
        self._record.write("replica is ready", replica=name)

    def _replace(self) -> None:
        """Starts replicas again that have crashed."""
        lapsing: list[tuple[float, str]] = []
        back_at: list[float] = []
        while not self._closing.wait(POLL_S):
            now_s = time.monotonic()
            for name, row in list(self._up.items()):
                if row.crashed_at_s is None:
                    continue
                del self._up[name]
                at_s = row.crashed_at_s - self._record.started_s
                self.crashes.append(at_s)
                self._record.write("crashed", replica=name, at_s=round(at_s, 3))
                back_at.append(row.crashed_at_s + DOWN_S)
                lapsing.append((row.crashed_at_s + LAPSE_S, name))
            for at_s in [at_s for at_s in back_at if at_s <= now_s]:
                back_at.remove(at_s)
                self._start()
            for at_s, name in [row for row in lapsing if row[0] <= now_s]:
                lapsing.remove((at_s, name))
                self._site.store.delete("servers", name)

    def record_run(self, name: str, request: http_wire.ReceivedRequest) -> None:
        """Records a request that a replica begins to run."""
        at_s = self._record.write(
            "runs",
            replica=name,
            request=request.headers[replica.REQUEST_ID_HEADER],
            path=request.path,
        )
        if request.body == BODY:
            self.sends.append(at_s)

    def close(self) -> None:
        """Stops all replicas."""
        self._closing.set()
        for row in list(self._up.values()):
            row.close()


def send_again(
    host: hosts.Host,
    record: record_lib.Record,
    pause_s: float,
    stop: threading.Event,
) -> None:
    """Sends the request again and again, each time after its answer."""
    while not stop.is_set():
        request_id = uuid.uuid4().hex[:16]
        record.write("sent", request=request_id, path=PATH, host=host.name)
        status, reason = 0, ""
        connection = http.client.HTTPConnection(
            *host.client_address, timeout=DEADLINE_MS / 1000
        )
        headers = {
            "Host": clients.HOST_NAME,
            "X-Rattanpulley-Request-Id": request_id,
            "X-Rattanpulley-Deadline-Ms": str(DEADLINE_MS),
            "X-Rattanpulley-Credential": clients.KEY,
        }
        try:
            connection.request("POST", PATH, BODY, headers)
            response = connection.getresponse()
            response.read()
            status = response.status
        except (OSError, http.client.HTTPException) as error:
            reason = repr(error)
        connection.close()
        record.write(
            "answered", request=request_id, status=status, reason=reason
        )
        stop.wait(pause_s)
