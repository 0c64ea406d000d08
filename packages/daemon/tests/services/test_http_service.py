"""Tests for the service client against a scripted server."""

import dataclasses
import socket
import threading

import pytest

from rattanpulley_core import interfaces
from rattanpulleyd._internal.services import http_service

ANSWER = (
    b"HTTP/1.1 201 Created\r\nX-A: 1\r\nServer: s\r\n"
    b"Content-Length: 2\r\n\r\nok"
)


class ScriptedService:
    """Server that answers one request per connection and closes it."""

    def __init__(self, answer: bytes) -> None:
        self.requests: list[bytes] = []
        self._answer = answer
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.url = f"http://127.0.0.1:{self._listener.getsockname()[1]}"
        self._thread = threading.Thread(target=self._serve)
        self._thread.start()

    def _serve(self) -> None:
        while True:
            connection, _ = self._listener.accept()
            with connection:
                request = connection.recv(65536)
                if not request:
                    return
                self.requests.append(request)
                connection.sendall(self._answer)

    def stop(self) -> None:
        """Stops the thread, after which connections are refused."""
        address = self._listener.getsockname()
        socket.create_connection(address).close()
        self._thread.join()
        self._listener.close()


@pytest.fixture(params=[True, False])
def fresh(request: pytest.FixtureRequest) -> bool:
    return bool(request.param)


def _service_request(url: str, fresh: bool) -> interfaces.ServiceRequest:
    headers = (("Idempotency-Key", "k"),)
    return interfaces.ServiceRequest(
        "s1", url, "/a?b=c", "POST", headers, b"{}", 5.0, fresh
    )


def test_call_and_answer_are_forwarded(fresh: bool) -> None:
    """Guards against lost headers and forwarded hop-by-hop headers."""
    service = ScriptedService(ANSWER)
    answer = http_service.HttpServiceApi().call(
        _service_request(service.url, fresh)
    )
    service.stop()
    assert answer == interfaces.ServiceAnswer(201, (("X-A", "1"),), b"ok")
    assert service.requests[0].startswith(b"POST /a?b=c HTTP/1.1\r\n")
    assert b"Idempotency-Key: k\r\n" in service.requests[0]


@pytest.mark.parametrize("answer", [b"", ANSWER[:-1], b"x\r\n\r\n"])
def test_lost_answer_is_unknown_and_not_retried(
    fresh: bool, answer: bytes
) -> None:
    """Guards against a second call after the first was sent."""
    service = ScriptedService(answer)
    with pytest.raises(interfaces.ServiceOutcomeUnknownError):
        http_service.HttpServiceApi().call(_service_request(service.url, fresh))
    service.stop()
    assert len(service.requests) == 1


def test_refused_connection_is_not_sent(fresh: bool) -> None:
    """Guards against an unknown outcome for a call that was never sent."""
    service = ScriptedService(ANSWER)
    service.stop()
    with pytest.raises(interfaces.ServiceNotSentError):
        http_service.HttpServiceApi().call(_service_request(service.url, fresh))


class EndlessService:
    """Server that repeats bytes until the caller closes the connection."""

    def __init__(self, first: bytes, rest: bytes) -> None:
        self._first = first
        self._rest = rest
        self.is_closed_by_caller = threading.Event()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.url = f"http://127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        connection, _ = self._listener.accept()
        with connection:
            connection.recv(65536)
            try:
                connection.sendall(self._first)
                while True:
                    connection.sendall(self._rest)
            except OSError:
                self.is_closed_by_caller.set()
        self._listener.close()


# Bytes that came all the time kept a call beyond its time limit, and stopped
# the daemon.
@pytest.mark.parametrize(
    ("first", "rest"),
    [
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 999),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            b"1\r\nx\r\n" * 999,
        ),
        (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 65536),
    ],
    ids=["interim responses", "small chunks", "content"],
)
def test_endless_answer_ends_with_its_call(
    fresh: bool, first: bytes, rest: bytes
) -> None:
    """Guards against calls without end; their outcome is unknown."""
    service = EndlessService(first, rest)
    request = dataclasses.replace(
        _service_request(service.url, fresh), timeout_s=0.5
    )
    with pytest.raises(interfaces.ServiceOutcomeUnknownError):
        http_service.HttpServiceApi().call(request)
    assert service.is_closed_by_caller.wait(10.0)
