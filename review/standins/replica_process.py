"""A replica that runs as a process of its own.

It is the project's stand-in of a replica, which prints its address and a line
for each run. A request to a replica that floods is answered with bytes that are
no answer, without end, until the caller closes or `FLOOD_S` has passed. A model
replica reports what it runs; its streams may have no length.
"""

import argparse
import sys
import threading
import time

from platform_tests.standin import connections
from platform_tests.standin import http_wire
from platform_tests.standin import replica

FLOOD_S = 12.0
BLANK_LINES = b"\n\n" * 30_000
INTERIM_ANSWERS = b"HTTP/1.1 100 Continue\r\n\r\n" * 2_000
WORK_S = 0.045


class ProcessReplica(replica.Replica):
    """Prints its runs; floods if it is told so.

    Attributes:
        flood: Where the bytes without end are: head, body, or empty for none.
    """

    flood = ""

    def __init__(self, replica_id: str) -> None:
        """Starts to accept connections."""
        self._running_ids: set[str] = set()
        super().__init__(replica_id)

    def record_run(self, request: http_wire.ReceivedRequest) -> None:
        """Prints the id of the request that is run."""
        super().record_run(request)
        request_id = request.headers[replica.REQUEST_ID_HEADER]
        self._running_ids.add(request_id)
        # The clock is the same for all processes of the machine.
        sys.stdout.write(f"run {request_id} {time.monotonic():.6f}\n")
        sys.stdout.flush()

    def record_end(self, request: http_wire.ReceivedRequest) -> None:
        """Forgets a run that has ended."""
        self._running_ids.discard(request.headers[replica.REQUEST_ID_HEADER])

    def _runs(self) -> dict[str, int]:
        return dict.fromkeys(list(self._running_ids), 0)

    def _run(
        self,
        connection: connections.ReplicaConnection,
        request: http_wire.ReceivedRequest,
    ) -> None:
        time.sleep(WORK_S)
        if not self.flood:
            super()._run(connection, request)
            return
        data = INTERIM_ANSWERS
        if self.flood == "body":
            connection.sendall(_stream_head(request))
            data = b"%x\r\n%s\r\n" % (len(BLANK_LINES), BLANK_LINES)
        until_s = time.monotonic() + FLOOD_S
        while time.monotonic() < until_s:
            connection.sendall(data)


def _stream_head(request: http_wire.ReceivedRequest) -> bytes:
    request_id = request.headers[replica.REQUEST_ID_HEADER]
    lines = (
        "HTTP/1.1 200 OK",
        "Content-Type: text/event-stream",
        f"{replica.SIGNATURE_HEADER}: proof",
        f"{replica.REQUEST_ID_HEADER}: {request_id}",
        "Transfer-Encoding: chunked",
    )
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def main() -> None:
    """Serves until the process is ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--id", required=True)
    parser.add_argument("--flood", default="")
    parser.add_argument("--behaviour", default="good")
    parser.add_argument("--events", type=int, default=replica.EVENT_COUNT)
    parser.add_argument("--event-interval-s", type=float, default=0.005)
    arguments = parser.parse_args()
    replica.EVENT_COUNT = arguments.events
    served = ProcessReplica(arguments.id)
    served.flood = arguments.flood
    served.behaviour = arguments.behaviour
    served.event_interval_s = arguments.event_interval_s
    sys.stdout.write(f"{served.address}\n")
    sys.stdout.flush()
    threading.Event().wait()


if __name__ == "__main__":
    main()
