"""Tests for the service client against a scripted server."""

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
