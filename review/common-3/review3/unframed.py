"""A replica in a process of its own, whose answers have no length.

An answer ends with its connection. The kernel closes the connections of a
killed process.
"""

import json
import socket
import subprocess
import sys
import threading
import time
from typing import Any

from review3 import record as record_lib
from review3 import replicas as replicas_lib
from review3 import store as store_lib

PIECES = 12
PIECE_S = 0.03


def body_of(request_id: str) -> bytes:
    """Returns the whole body of the answer to a request."""
    return b"".join(_piece(request_id, number) for number in range(PIECES))


def _piece(request_id: str, number: int) -> bytes:
    return f"line {number + 1} of {PIECES} to {request_id}\n".encode()


class _StdoutLog:
    """Writes the record to the process that started this one."""

    def write(self, text: str) -> None:
        print(text, flush=True)


class UnframedReplica(replicas_lib.Replica):
    """Writes a body piece by piece and then closes the connection."""

    def run(
        self, connection: socket.socket, request: replicas_lib.Request
    ) -> None:
        """Runs a request and answers it."""
        self.runs.append(request.request_id)
        self._log.write(f"{self.replica_id} runs {request.request_id}")
        head = [
            "HTTP/1.1 200 OK",
            "Connection: close",
            f"X-Rattanpulley-Request-Id: {request.request_id}",
            f"X-Rattanpulley-Upstream-Signature: {self.replica_id}.proof",
        ]
        connection.sendall("\r\n".join([*head, "", ""]).encode())
        for number in range(PIECES):
            connection.sendall(_piece(request.request_id, number))
            if not self.work(connection, PIECE_S):
                return
        self._log.write(f"{self.replica_id} has answered {request.request_id}")


class ReplicaProcess:
    """Starts, registers and kills such a replica."""

    def __init__(
        self,
        replica_id: str,
        zone: str,
        platform: store_lib.Store,
        log: record_lib.Record,
    ) -> None:
        self.replica_id = replica_id
        self._log = log
        self._process = subprocess.Popen(
            [sys.executable, "-m", "review3.unframed", replica_id, zone],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        assert self._process.stdout is not None
        entry = json.loads(self._process.stdout.readline())
        platform.put("servers", replica_id, entry)
        threading.Thread(target=self._read, daemon=True).start()

    def kill(self) -> None:
        """Ends the process at once."""
        self._process.kill()
        self._process.wait()

    def _read(self) -> None:
        assert self._process.stdout is not None
        for line in self._process.stdout:
            self._log.write(line.rstrip())


def main() -> None:
    """Serves until the process that started this one has ended."""
    replica_id, zone = sys.argv[1:]
    log: Any = _StdoutLog()
    platform: Any = None
    replica = UnframedReplica(replica_id, "kiosk-api", zone, platform, log)
    print(json.dumps(replica.entry()), flush=True)
    sys.stdin.read()
    time.sleep(0.1)


if __name__ == "__main__":
    main()
