"""Reads one attempt's answer and reports it."""

from http import client
import socket

import urllib3.connection

from rattanpulley_core import generations
from rattanpulley_core import interfaces
from rattanpulleyd._internal.engine import body_reader
from rattanpulleyd._internal.engine import connection
from rattanpulleyd._internal.engine import event_stream
from rattanpulleyd._internal.engine import orders

MAX_MESSAGE_CHARACTERS = 500

_Reason = generations.FailureReason
# Too Many Requests and Service Unavailable: the target did not start.
_NOT_STARTED_STATUSES = frozenset({429, 503})
_BROKEN = (*connection.CallError, client.HTTPException)


class Attempt:
    """One attempt; runs in a greenlet of its own."""

    def __init__(self, order: orders.Order, sink: interfaces.EventSink) -> None:
        """Prepares the attempt.

        Args:
            order: The start or the attach.
            sink: Takes the events.
        """
        self._order = order
        self._sink = sink
        self.cancelled = False

    def run(self) -> None:
        """Makes the call and reports events until the answer ends."""
        try:
            opened = connection.connect(self._order.url)
        except _BROKEN as error:
            self._fail(_Reason.NOT_CONNECTED, type(error).__name__)
            return
        try:
            self._run_on(opened)
        finally:
            opened.close()

    def _run_on(self, opened: urllib3.connection.HTTPConnection) -> None:
        """Sends the order on an open connection and reads the answer."""
        sock = opened.sock
        assert sock is not None
        try:
            request = orders.request_for(self._order)
            response = connection.open_stream(opened, request)
        except _BROKEN as error:
            # Bytes may have reached the target, so the request may have run.
            self._fail(_Reason.RESET, type(error).__name__)
            return
        try:
            self._read(sock, response)
        except _BROKEN as error:
            self._fail(_Reason.RESET, type(error).__name__)
        except event_stream.CorruptStreamError as error:
            self._fail(_Reason.CORRUPT, str(error))
        finally:
            response.close()
            sock.close()

    def _read(self, sock: socket.socket, response: client.HTTPResponse) -> None:
        """Reports the answer by its status and events."""
        if response.status != 200:
            self._fail(*self._refusal(response))
            return
        self._emit(
            generations.AttemptAccepted(
                generation_id=self._order.generation_id,
                attempt=self._order.attempt,
                boot_id=response.headers.get("X-Boot-Id", ""),
            )
        )
        stream = event_stream.EventStream(
            self._order.generation_id, self._order.attempt
        )
        reader = body_reader.BodyReader(sock, response)
        while not self.cancelled:
            data = reader.read()
            if not data:
                self._fail(_Reason.RESET, "the stream ended early")
                return
            for event in stream.feed(data):
                self._emit(event)
                if isinstance(event, generations.AttemptFinished):
                    return

    def _refusal(
        self, response: client.HTTPResponse
    ) -> tuple[generations.FailureReason, str]:
        """Returns the reason and the target's message for a status."""
        attach = isinstance(self._order, generations.AttachAttempt)
        if response.status == 404 and attach:
            return _Reason.NOT_HELD, ""
        if response.status == 409 and not attach:
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
        """Reports the end of the attempt."""
        self._emit(
            generations.AttemptFailed(
                generation_id=self._order.generation_id,
                attempt=self._order.attempt,
                reason=reason,
                message=message,
            )
        )

    def _emit(self, event: generations.Event) -> None:
        """Reports an event unless the attempt was cancelled."""
        if not self.cancelled:
            self._sink(event)
