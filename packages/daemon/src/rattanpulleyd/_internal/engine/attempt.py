"""Runs one attempt: sends its request and reports the answer as events."""

from http import client
import socket

import urllib3.connection

from rattanpulley_core import generations
from rattanpulley_core import interfaces
from rattanpulleyd._internal.engine import body_reader
from rattanpulleyd._internal.engine import connection
from rattanpulleyd._internal.engine import engine_requests
from rattanpulleyd._internal.engine import event_stream

MAX_MESSAGE_CHARACTERS = 500

_Reason = generations.FailureReason
# Too Many Requests and Service Unavailable: the target did not start the
# generation.
_NOT_STARTED_STATUSES = frozenset({429, 503})
_CONNECTION_ERRORS = (*connection.CALL_ERRORS, client.HTTPException)


class Attempt:
    """One attempt on a target, run in its own greenlet.

    Attributes:
        cancelled: Whether the attempt is cancelled and reports no more events.
    """

    def __init__(
        self,
        request: engine_requests.AttemptRequest,
        sink: interfaces.EventSink,
    ) -> None:
        """Prepares the attempt.

        Args:
            request: The start or attach request.
            sink: Receives the events.
        """
        self._request = request
        self._sink = sink
        self.cancelled = False

    def run(self) -> None:
        """Sends the request and reports events until the answer ends."""
        try:
            opened = connection.connect(self._request.url)
        except _CONNECTION_ERRORS as error:
            self._fail(_Reason.NOT_CONNECTED, type(error).__name__)
            return
        try:
            self._send_and_read(opened)
        finally:
            opened.close()

    def _send_and_read(self, opened: urllib3.connection.HTTPConnection) -> None:
        """Sends the request on an open connection and reads the answer."""
        sock = opened.sock
        assert sock is not None
        try:
            http_request = engine_requests.attempt_http_request(self._request)
            response = connection.open_stream(opened, http_request)
        except _CONNECTION_ERRORS as error:
            # Bytes may have reached the target, so the request may have run.
            self._fail(_Reason.RESET, type(error).__name__)
            return
        try:
            self._read_response(sock, response)
        except _CONNECTION_ERRORS as error:
            self._fail(_Reason.RESET, type(error).__name__)
        except event_stream.CorruptStreamError as error:
            self._fail(_Reason.CORRUPT, str(error))
        finally:
            response.close()
            sock.close()

    def _read_response(
        self, sock: socket.socket, response: client.HTTPResponse
    ) -> None:
        """Reports a failure for an error status, otherwise the events."""
        if response.status != 200:
            self._fail(*self._failure_for_status(response))
            return
        self._emit(
            generations.AttemptAccepted(
                generation_id=self._request.generation_id,
                attempt=self._request.attempt,
                boot_id=response.headers.get("X-Boot-Id", ""),
            )
        )
        parser = event_stream.EventStreamParser(
            self._request.generation_id, self._request.attempt
        )
        reader = body_reader.BodyReader(sock, response)
        while not self.cancelled:
            data = reader.read()
            if not data:
                self._fail(_Reason.RESET, "the stream ended early")
                return
            for event in parser.feed(data):
                self._emit(event)
                if isinstance(event, generations.AttemptFinished):
                    return

    def _failure_for_status(
        self, response: client.HTTPResponse
    ) -> tuple[generations.FailureReason, str]:
        """Returns the failure reason and message for an error status."""
        is_attach = isinstance(self._request, generations.AttachAttempt)
        if response.status == 404 and is_attach:
            return _Reason.NOT_HELD, ""
        if response.status == 409 and not is_attach:
            return _Reason.HELD, ""
        if response.status in _NOT_STARTED_STATUSES:
            return _Reason.REFUSED, f"status {response.status}"
        if 400 <= response.status < 500:
            text = response.read(4 * MAX_MESSAGE_CHARACTERS).decode(
                errors="replace"
            )
            return _Reason.REJECTED, text[:MAX_MESSAGE_CHARACTERS]
        return _Reason.ERRORED, f"status {response.status}"

    def _fail(self, reason: generations.FailureReason, message: str) -> None:
        """Reports that the attempt failed."""
        self._emit(
            generations.AttemptFailed(
                generation_id=self._request.generation_id,
                attempt=self._request.attempt,
                reason=reason,
                message=message,
            )
        )

    def _emit(self, event: generations.Event) -> None:
        """Reports an event unless the attempt was cancelled."""
        if not self.cancelled:
            self._sink(event)
