"""Reads and checks the heads of the streams of targets."""

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import attempt_progress
from rattanpulleyd._internal.relay import attempts as attempts_lib
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import context as context_lib
from rattanpulleyd._internal.relay import responses
from rattanpulleyd._internal.relay import stream_monitor
from rattanpulleyd._internal.relay import target_connection
from rattanpulleyd._internal.relay import target_health
from rattanpulleyd._internal.relay import wire

MAX_FAILED_RESPONSE_BYTES = 1024 * 1024


class StreamHeadReader:
    """Reads the head of one attempt of a stream."""

    def __init__(
        self,
        context: context_lib.RelayContext,
        attempts: attempts_lib.RequestAttempts,
        entry: serving.TargetEntry,
        monitor: stream_monitor.StreamMonitor,
    ) -> None:
        """Creates a reader.

        Args:
            context: State of the process.
            attempts: Keeps an error response of the target.
            entry: The target.
            monitor: Waits for the bytes of the target.
        """
        self._context = context
        self._attempts = attempts
        self._entry = entry
        self._monitor = monitor

    def read(
        self,
        request: wire.ClientRequest,
        connection: target_connection.TargetConnection,
        progress: attempt_progress.AttemptProgress,
    ) -> target_connection.ResponseHead:
        """Returns the head that starts the stream of a request.

        Raises:
            AttemptError: The response is none, or belongs to another request.
        """
        head = self._monitor.wait(connection.read_head)
        progress.answered_at_s = clock.now_s()
        # A refusal tells the load as well.
        target_health.record_load(self._context, self._entry, head)
        responses.check_response_head(head, request, self._context.names)
        if head.status != 200:
            self._keep_failed_response(head, connection)
            raise target_connection.AttemptError(
                serving.FailureKind.FAILED, f"the target answered {head.status}"
            )
        content_type = (
            wire.single_header_value(head.headers, b"content-type") or ""
        )
        if not content_type.startswith(wire.EVENT_STREAM.decode()):
            raise target_connection.AttemptError(
                serving.FailureKind.CORRUPT, f"the answer is {content_type!r}"
            )
        return head

    def _keep_failed_response(
        self,
        head: target_connection.ResponseHead,
        connection: target_connection.TargetConnection,
    ) -> None:
        """Stores a target's error response in case no other target succeeds."""
        body = bytearray()
        while len(body) <= MAX_FAILED_RESPONSE_BYTES:
            part = self._monitor.wait(connection.read_data)
            if part is None:
                headers = wire.forwarded_headers(head.headers, frozenset())
                self._attempts.failed_response = responses.Response(
                    head.status,
                    headers,
                    bytes(body),
                    responses.TARGET_ERROR,
                    f"response of {self._entry.target_id}",
                )
                return
            body += part
