"""Stand-ins of clients, and of the platform's balancer in front of hosts."""

from collections.abc import Iterable
import contextlib
import dataclasses
import http.client
import itertools
import random
import threading
import time
import uuid

from review3 import hosts as hosts_lib
from review3 import record

KEY = "key-of-kiosks"
# Statuses that promise that the request has not run and never will.
PROMISES = frozenset({408, 421, 429, 503})


@dataclasses.dataclass
class Attempt:
    """One attempt of a client, which is one request.

    Attributes:
        request_id: Its id.
        kind: safe, unsafe or stream.
        host: Name of the host that was connected to.
        sent_s: When it was sent, on the monotonic clock.
        ended_s: When its answer ended or it was given up.
        status: Status of the answer; 0 without an answer.
        is_whole: Whether the answer has its proof and is complete.
        note: What else there is to say of the end.
    """

    request_id: str
    kind: str
    host: str
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    is_whole: bool = False
    note: str = ""

    @property
    def is_served(self) -> bool:
        """Whether it was answered with success."""
        return 200 <= self.status < 300 and self.is_whole


class Balancer:
    """Chooses the host of a new connection, as the pages say."""

    def __init__(self, hosts: list[hosts_lib.Host]) -> None:
        self._hosts = hosts
        self._misses = dict.fromkeys((host.name for host in hosts), 0)
        self._is_open = True
        for host in hosts:
            threading.Thread(
                target=self._watch, args=(host,), daemon=True
            ).start()

    def _watch(self, host: hosts_lib.Host) -> None:
        while self._is_open:
            if host.is_ready():
                self._misses[host.name] = 0
            else:
                self._misses[host.name] += 1
            time.sleep(1.0)

    def choose(self) -> hosts_lib.Host:
        """Returns a host in rotation; any if fewer than half are."""
        ready = [h for h in self._hosts if self._misses[h.name] < 2]
        if 2 * len(ready) < len(self._hosts):
            ready = self._hosts
        return random.choice(ready)

    def close(self) -> None:
        """Ends the checks."""
        self._is_open = False


class Clients:
    """Clients that send requests one after the other, each in a thread.

    Attributes:
        attempts: All attempts so far.
    """

    def __init__(self, balancer: Balancer, log: record.Record) -> None:
        self.attempts: list[Attempt] = []
        self._balancer = balancer
        self._log = log
        self._threads: list[threading.Thread] = []
        self._is_open = True

    def start(self, kind: str, count: int, pause_s: float) -> None:
        """Starts clients of one kind of request."""
        for _ in range(count):
            thread = threading.Thread(
                target=self._run, args=(kind, pause_s), daemon=True
            )
            thread.start()
            self._threads.append(thread)

    def stop(self) -> None:
        """Ends the clients; requests that run get their answers."""
        self._is_open = False
        for thread in self._threads:
            thread.join(timeout=30.0)

    def _run(self, kind: str, pause_s: float) -> None:
        time.sleep(random.uniform(0.0, pause_s))
        while self._is_open:
            self.send_once(kind)
            time.sleep(pause_s * random.uniform(0.8, 1.2))

    def send_once(self, kind: str) -> Attempt:
        """Sends one request on a new connection."""
        host = self._balancer.choose()
        attempt = Attempt(uuid.uuid4().hex[:16], kind, host.name, 0.0)
        self.attempts.append(attempt)
        attempt.sent_s = time.monotonic()
        self._log.write(f"sent {attempt.request_id} {kind} to {host.name}")
        try:
            _exchange(host.client_address, attempt)
        except (OSError, http.client.HTTPException) as error:
            attempt.note = type(error).__name__
        attempt.ended_s = time.monotonic()
        self._log.write(
            f"answered {attempt.request_id} {attempt.status} "
            f"{'whole' if attempt.is_whole else 'not whole'} {attempt.note}"
        )
        return attempt


def headers_of(request_id: str, time_limit_ms: int) -> dict[str, str]:
    """Returns the headers of a request."""
    return {
        "Host": "kiosk.example",
        "X-Rattanpulley-Request-Id": request_id,
        "X-Rattanpulley-Deadline-Ms": str(time_limit_ms),
        "X-Rattanpulley-Credential": KEY,
    }


_METHOD_AND_PATH = {
    "safe": ("GET", "/stock/helmets", None, 2500),
    "unsafe": ("POST", "/pay/deposit", b"amount=20", 2500),
    "stream": ("POST", "/ask/size", b"which size fits?", 25000),
}
_numbers = itertools.count(1)


def _exchange(address: tuple[str, int], attempt: Attempt) -> None:
    method, path, body, limit_ms = _METHOD_AND_PATH[attempt.kind]
    headers = headers_of(attempt.request_id, limit_ms)
    if attempt.kind == "stream":
        own = f"{next(_numbers):08x}"
        headers |= {
            "X-Rattanpulley-Model": "m",
            "X-Rattanpulley-Token-Usage": "1000,200",
            "X-Rattanpulley-Prefix-Hash": f"5c1e07a2:200,{own}:800",
        }
    # Clients allow a new connection one second to be established.
    connection = http.client.HTTPConnection(*address, timeout=1.0)
    with contextlib.closing(connection):
        connection.connect()
        connection.sock.settimeout(limit_ms / 1000)
        connection.request(method, f"{path}?n={next(_numbers)}", body, headers)
        response = connection.getresponse()
        attempt.status = response.status
        response.read()
        attempt.is_whole = (
            response.getheader("X-Rattanpulley-Upstream-Signature") is not None
        )


def served_share(attempts: Iterable[Attempt]) -> tuple[int, int]:
    """Returns how many attempts were served, and of how many."""
    rows = list(attempts)
    return sum(row.is_served for row in rows), len(rows)
