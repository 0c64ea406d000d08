"""Targets that answer with numbers or texts that are no final status."""

from collections.abc import Callable, Iterator
import socket
import threading
import types

import pytest

from rattanpulley_core import generations
from rattanpulley_core import interfaces
from rattanpulley_core import serving
from rattanpulleyd._internal.engine import prober
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import relay_metrics
from rattanpulleyd._internal.relay import target_connection
from rattanpulleyd._internal.relay import target_prober
from rattanpulleyd._internal.services import http_service

TIME_LIMIT_S = 1.0
BODY = b'{"boot_id": "b1", "next_index": 5}'
HEADERS = b"\r\nContent-Length: %d\r\n\r\n" % len(BODY)
ODD_STATUSES = [
    "000",
    "0",
    "099",
    "20",
    "2000",
    "-20",
    "+200",
    "2e2",
    "2_00",
    "abc",
    "",
    "101",
    "103",
    "199",
    "600",
    "999",
]


class Target:
    """Answers each request with one status and closes the connection.

    Attributes:
        status: The status, any text.
        port: Port of its address.
    """

    def __init__(self) -> None:
        self.status = "200"
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def _serve(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            with connection:
                if connection.recv(65536):
                    line = f"HTTP/1.1 {self.status} X".encode()
                    connection.sendall(line + HEADERS + BODY)

    @property
    def url(self) -> str:
        """Its base URL."""
        return f"http://127.0.0.1:{self.port}"

    def close(self) -> None:
        """Ends the target."""
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self._thread.join()


@pytest.fixture
def target() -> Iterator[Target]:
    started = Target()
    yield started
    started.close()


def relay_status(target: Target) -> int | None:
    """Returns the status of an answer to the relay, or None."""
    connection = target_connection.TargetConnection(_entry(target))
    try:
        connection.connect(TIME_LIMIT_S)
        headers = ((b"Host", b"a"),)
        connection.send(b"GET", b"/x", headers, b"", TIME_LIMIT_S)
        return connection.read_head(clock.now_s() + TIME_LIMIT_S).status
    except (
        target_connection.AttemptError,
        target_connection.ReadWaitExpired,
    ):
        return None
    finally:
        connection.close()


def relay_probe(target: Target) -> object:
    """Returns what a report of a target says to the relay, or None."""
    reader = types.SimpleNamespace(path=b"/report", read=lambda body: body)
    metrics = relay_metrics.RelayMetrics()
    return target_prober.TargetProber(reader, metrics).probe(_entry(target))  # type: ignore[arg-type]


def _entry(target: Target) -> serving.TargetEntry:
    return serving.TargetEntry(
        "t", "pool", "127.0.0.1", target.port, "n", "v1", 6, False, 0.0, 1
    )


def service_status(target: Target, fresh: bool) -> int | None:
    """Returns the status of an answer to the service API, or None."""
    request = interfaces.ServiceRequest(
        "s", target.url, "/x", "GET", (), b"", TIME_LIMIT_S, fresh
    )
    try:
        return http_service.HttpServiceApi().call(request).status
    except interfaces.ServiceOutcomeUnknownError:
        return None


def engine_probe(target: Target) -> object:
    """Returns the progress that a probed engine tells, or None."""
    probe = generations.ProbeTarget("e1", target.url, 3, (), TIME_LIMIT_S)
    event = prober.probe(probe, lambda _: None)
    is_alive = isinstance(event, generations.ProbeSucceeded)
    return event.boot_id if is_alive else None


CALLS: dict[str, Callable[[Target], object]] = {
    "relay": relay_status,
    "relay probe": relay_probe,
    "fresh connection": lambda target: service_status(target, True),
    "pooled connection": lambda target: service_status(target, False),
    "engine probe": engine_probe,
}


# Guards against a number that is no status and that reaches a caller as an
# answer, or counts as a sign of life.
@pytest.mark.parametrize("caller", CALLS)
@pytest.mark.parametrize("status", ODD_STATUSES)
def test_answer_without_a_final_status_is_none(
    target: Target, caller: str, status: str
) -> None:
    target.status = status
    assert CALLS[caller](target) is None


@pytest.mark.parametrize("caller", CALLS)
def test_answer_with_a_final_status_is_read(
    target: Target, caller: str
) -> None:
    assert CALLS[caller](target) is not None


@pytest.mark.parametrize("status", [204, 404, 500, 599])
@pytest.mark.parametrize("caller", ["relay", "fresh connection"])
def test_final_status_is_kept(target: Target, caller: str, status: int) -> None:
    # Guards against a check that keeps sound statuses from the caller.
    target.status = str(status)
    assert CALLS[caller](target) == status
