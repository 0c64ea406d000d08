"""Targets that answer and end the connection before they read a request."""

from collections.abc import Callable
import socket
import struct
import threading

import pytest

from rattanpulley_core import interfaces
from rattanpulley_core import serving
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import target_connection
from rattanpulleyd._internal.services import http_service

UPLOAD = b"x" * 4_000_000
# Fits into the buffers of the sender.
SHORT_UPLOAD = b"x" * 300_000
TIME_LIMIT_S = 1.0
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n"
WITH_LENGTH = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"
PART = b"part"


def reset(connection: socket.socket) -> None:
    linger = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    connection.close()


def shut_down(connection: socket.socket) -> None:
    connection.shutdown(socket.SHUT_RDWR)


def end_sending(connection: socket.socket) -> None:
    connection.shutdown(socket.SHUT_WR)


ENDS = [reset, socket.socket.close, shut_down, end_sending]


class EarlyTarget:
    """Answers one request before it has read it, then ends the connection.

    Attributes:
        port: Port of its address.
    """

    def __init__(
        self,
        answer: bytes,
        end: Callable[[socket.socket], None],
        first_bytes: int = 1000,
    ) -> None:
        """Starts the target.

        Args:
            answer: Bytes that it sends.
            end: Ends the connection.
            first_bytes: Bytes that it reads before it answers.
        """
        self._answer = answer
        self._end = end
        self._first_bytes = first_bytes
        self._is_over = threading.Event()
        self._listener = socket.socket()
        # A small window, so that the request is still being sent.
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen()
        self.port = self._listener.getsockname()[1]
        self._thread = threading.Thread(target=self._serve)
        self._thread.start()

    def _serve(self) -> None:
        connection, _ = self._listener.accept()
        left = self._first_bytes
        while left > 0 and (data := connection.recv(left)):
            left -= len(data)
        connection.sendall(self._answer)
        self._end(connection)
        self._is_over.wait()
        connection.close()

    def close(self) -> None:
        """Ends the target."""
        self._is_over.set()
        self._thread.join()
        self._listener.close()


def call_as_relay(port: int, body: bytes) -> bytes:
    """Returns the body of a complete answer to the relay."""
    entry = serving.TargetEntry(
        "t", "pool", "127.0.0.1", port, "north", "v1", 6, False, 0.0, 1
    )
    connection = target_connection.TargetConnection(entry)
    try:
        connection.connect(TIME_LIMIT_S)
        headers = ((b"Host", b"a"),)
        connection.send(b"POST", b"/x", headers, body, TIME_LIMIT_S)
        until_s = clock.now_s() + TIME_LIMIT_S
        connection.read_head(until_s)
        parts = []
        while (part := connection.read_data(until_s)) is not None:
            parts.append(part)
        return b"".join(parts)
    finally:
        connection.close()


def call_service(port: int, body: bytes, fresh: bool) -> bytes:
    """Returns the body of a complete answer to the service API."""
    request = interfaces.ServiceRequest(
        "s",
        f"http://127.0.0.1:{port}",
        "/x",
        "POST",
        (),
        body,
        TIME_LIMIT_S,
        fresh,
    )
    return http_service.HttpServiceApi().call(request).body


CALLS = {
    "relay": call_as_relay,
    "fresh connection": lambda port, body: call_service(port, body, True),
    "pooled connection": lambda port, body: call_service(port, body, False),
}
FAILURES = (
    target_connection.AttemptError,
    target_connection.ReadWaitExpired,
    interfaces.ServiceOutcomeUnknownError,
)


# Guards against a part of an answer that passes as complete: the write that met
# the reset was ignored, and the next read ended like a complete body.
@pytest.mark.parametrize("caller", CALLS)
@pytest.mark.parametrize("end", ENDS, ids=lambda end: end.__name__)
@pytest.mark.parametrize(
    ("answer", "body", "first_bytes"),
    [
        (UNFRAMED, UPLOAD, 1000),
        (UNFRAMED, UPLOAD, 50_000),
        (UNFRAMED, SHORT_UPLOAD, 1000),
        (CHUNKED, UPLOAD, 1000),
        (WITH_LENGTH, UPLOAD, 1000),
    ],
    ids=["at once", "after a part", "short", "chunked", "with a length"],
)
def test_cut_answer_to_an_unfinished_upload_is_lost(
    caller: str,
    end: Callable[[socket.socket], None],
    answer: bytes,
    body: bytes,
    first_bytes: int,
) -> None:
    target = EarlyTarget(answer + PART, end, first_bytes)
    try:
        with pytest.raises(FAILURES):
            CALLS[caller](target.port, body)
    finally:
        target.close()


# Guards against a sound answer that counts as cut.
@pytest.mark.parametrize("caller", CALLS)
@pytest.mark.parametrize(
    "body", [b"", b"x" * 500, UPLOAD], ids=["none", "small", "large"]
)
@pytest.mark.parametrize("end", [socket.socket.close, end_sending])
def test_answer_without_a_length_is_complete_after_the_whole_request(
    caller: str, body: bytes, end: Callable[[socket.socket], None]
) -> None:
    class Target(EarlyTarget):
        def _serve(self) -> None:
            connection, _ = self._listener.accept()
            received = b""
            while b"\r\n\r\n" not in received:
                received += connection.recv(65536)
            left = len(body) - len(received.partition(b"\r\n\r\n")[2])
            while left > 0:
                left -= len(connection.recv(65536))
            connection.sendall(UNFRAMED + PART)
            end(connection)
            self._is_over.wait()

    target = Target(b"", end)
    try:
        assert CALLS[caller](target.port, body) == PART
    finally:
        target.close()
