"""Clients that follow the users' pages."""

import dataclasses
import http.client
import threading
import time
import uuid

from standins import harness

SIGNATURE_HEADER = "X-Rattanpulley-Upstream-Signature"


@dataclasses.dataclass
class Sent:
    """One request of a client and how it ended.

    Attributes:
        request_id: Id of the client's attempt.
        host: Name of the host.
        path: Path.
        sent_at_s: When it was sent, on the monotonic clock.
        ended_at_s: When its answer was complete, or None.
        status: Status of the answer, or None.
        error: Why there is no answer.
        body: Body of the answer.
    """

    request_id: str
    host: str
    path: str
    sent_at_s: float
    ended_at_s: float | None = None
    status: int | None = None
    error: str = ""
    body: bytes = b""

    def answered_within(self, seconds: float) -> bool:
        """Returns whether the answer was complete by then."""
        return (
            self.ended_at_s is not None
            and self.ended_at_s - self.sent_at_s <= seconds
        )


class KeptConnection:
    """A client that sends one request after the other on one connection."""

    def __init__(
        self, host: harness.Host, record: harness.Record, patience_ms: int
    ) -> None:
        """Opens the connection with the first request.

        Args:
            host: The host.
            record: Receives what is sent and answered.
            patience_ms: How long the client waits for an answer.
        """
        self._host = host
        self._record = record
        self._patience_ms = patience_ms
        self._connection = http.client.HTTPConnection(
            host.client_address, timeout=patience_ms / 1000
        )
        self.sent: list[Sent] = []

    def send(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> Sent:
        """Sends a request and waits for its answer."""
        row = Sent(
            uuid.uuid4().hex[:16], self._host.name, path, time.monotonic()
        )
        self.sent.append(row)
        self._record.write(
            f"sent {row.request_id} {method} {path} to {row.host}"
        )
        sent_headers = {
            "Host": harness.CLIENT_HOST,
            "X-Rattanpulley-Request-Id": row.request_id,
            "X-Rattanpulley-Deadline-Ms": str(self._patience_ms),
            "X-Rattanpulley-Credential": harness.API_KEY,
            **(headers or {}),
        }
        try:
            self._connection.request(method, path, body, sent_headers)
            answer = self._connection.getresponse()
            row.body = answer.read()
            row.status = answer.status
            row.ended_at_s = time.monotonic()
        except (OSError, http.client.HTTPException) as error:
            row.error = repr(error)
            self._connection.close()
        took_s = time.monotonic() - row.sent_at_s
        self._record.write(
            f"answered {row.request_id}: {row.status or row.error} "
            f"after {took_s:.3f} s"
        )
        return row

    def close(self) -> None:
        """Closes the connection."""
        self._connection.close()


def run_threads(threads: list[threading.Thread]) -> None:
    """Starts threads and waits for their end."""
    for thread in threads:
        # A script that fails does not wait for them.
        thread.daemon = True
        thread.start()
    for thread in threads:
        thread.join()
