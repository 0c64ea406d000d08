"""Handles one client connection: its requests, and its end."""

import traceback

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import client_connection
from rattanpulleyd._internal.relay import client_limits
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import connection_ends
from rattanpulleyd._internal.relay import connection_memory
from rattanpulleyd._internal.relay import context as context_lib
from rattanpulleyd._internal.relay import gateway
from rattanpulleyd._internal.relay import request_fields
from rattanpulleyd._internal.relay import responses
from rattanpulleyd._internal.relay import stream_channel
from rattanpulleyd._internal.relay import wire

LINGER_S = 0.2
# Bounds the log line of a failed request.
MAX_REASON_CHARACTERS = 300
# Clients repeat unsafe requests only if the host has not read them.
_UNREAD_ENDS = frozenset(
    (
        connection_ends.EndReason.IDLE,
        connection_ends.EndReason.STOP,
        connection_ends.EndReason.ANNOUNCED,
        connection_ends.EndReason.LIMIT,
    )
)
# Of a request that is not read to its end, so that it cannot have run.
_REFUSAL_BY_CAUSE: dict[serving.EndCause, tuple[int, str]] = {
    serving.EndCause.STALLED: (408, "the request did not arrive in time"),
    serving.EndCause.CROWDED: (408, "the request did not arrive in time"),
    serving.EndCause.WAITED: (503, "there is no memory for the request"),
}
# Long enough for the bytes of clients without progress to become free.
MEMORY_RETRY_AFTER_RANGE_S = (1.0, 3.0)
# Refusals that depend on the configuration.
_LIMIT_STATUSES = frozenset({413, 431})
_EXPECTED_ENDS = (
    client_connection.ConnectionEndedError,
    context_lib.ClientDisconnectedError,
    stream_channel.StreamAbortedError,
)


class ConnectionHandler:
    """Handles client connections, each in its own greenlet.

    Attributes:
        shutdown: The shutdown of the host, once it has started.
    """

    def __init__(
        self, context: context_lib.RelayContext, requests: gateway.Gateway
    ) -> None:
        """Creates a handler.

        Args:
            context: State of the process.
            requests: Handles the requests.
        """
        self.shutdown: gateway.Shutdown | None = None
        self._context = context
        self._gateway = requests
        self._limits = client_limits.ClientLimitsInForce(context.cached_config)
        self._ends = connection_ends.ConnectionEnds(
            context.log, context.metrics
        )

    def handle(self, connection: client_connection.ClientConnection) -> None:
        """Handles a connection until it may be closed."""
        # A kill of the greenlet ends the connection without a close.
        reason = connection_ends.EndReason.ABORTED
        try:
            reason = self._serve(connection)
        except client_connection.ConnectionEndedError as error:
            reason = error.reason
        except context_lib.ClientDisconnectedError:
            # Logged with the request that was interrupted, if any.
            reason = connection_ends.EndReason.CLIENT
        except stream_channel.StreamAbortedError:
            reason = connection_ends.EndReason.ABORTED
        finally:
            self._end(connection, reason)

    def _end(
        self,
        connection: client_connection.ClientConnection,
        reason: connection_ends.EndReason,
    ) -> None:
        """Ends a connection and records what arrived meanwhile."""
        crossing, arrived = connection_ends.Crossing.NONE, b""
        try:
            if reason in _UNREAD_ENDS:
                crossing, arrived = self._leave_unread(connection)
            elif reason is connection_ends.EndReason.REFUSED:
                # What follows is the rest of the request.
                _end_sending(connection)
                with connection.memory.waiting():
                    connection.linger().discard()
        except context_lib.ClientDisconnectedError:
            # Noticed while the last response was sent; nobody is waited for.
            pass
        except connection_memory.EndedForMemoryError:
            # There are too many connections to wait for this client.
            pass
        finally:
            self._record(connection, reason, crossing, arrived)

    def _leave_unread(
        self, connection: client_connection.ClientConnection
    ) -> tuple[connection_ends.Crossing, bytes]:
        """Returns what happened to a request that arrived, and its begin."""
        _end_sending(connection)
        arrived = connection.linger().leave_unread(clock.now_s() + LINGER_S)
        if connection.read_ahead:
            return connection_ends.Crossing.DISCARDED, connection.read_ahead
        if arrived:
            return connection_ends.Crossing.UNREAD, arrived
        return connection_ends.Crossing.NONE, b""

    def _record(
        self,
        connection: client_connection.ClientConnection,
        reason: connection_ends.EndReason,
        crossing: connection_ends.Crossing,
        arrived: bytes,
    ) -> None:
        config = self._context.cached_config.config
        self._ends.record(
            connection_ends.ConnectionEnd(
                reason,
                crossing,
                request_fields.find_request_id(arrived, self._context.names),
                clock.now_s() - connection.waiting_since_s,
                connection.responses,
            ),
            config.version if config else 0,
            config.limits.idle_timeout_s if config else 0.0,
        )

    def _serve(
        self, connection: client_connection.ClientConnection
    ) -> connection_ends.EndReason:
        """Handles the requests of a connection; returns why it ends."""
        while True:
            is_served = self._serve_next(connection)
            if not connection.next_cycle():
                if not is_served:
                    return connection_ends.EndReason.REFUSED
                return connection_ends.EndReason.ANNOUNCED

    def _serve_next(
        self, connection: client_connection.ClientConnection
    ) -> bool:
        """Handles one request; returns whether it could be read.

        Its body is dropped on return, not when the next request has arrived.
        """
        request = self._read(connection)
        if request is None:
            return False
        self._serve_request(connection, request)
        return True

    def _read(
        self, connection: client_connection.ClientConnection
    ) -> wire.ClientRequest | None:
        """Returns the next request, or None if it has been refused."""
        try:
            return connection.read_request()
        except wire.MalformedRequestError as error:
            connection.memory.begin_close()
            self._refuse(connection, error)
        except connection_memory.EndedForMemoryError as error:
            if not connection.busy:
                raise client_connection.ConnectionEndedError(
                    connection_ends.EndReason.LIMIT
                ) from error
            self._refuse_for_memory(connection, error.cause)
        except _EXPECTED_ENDS:
            raise
        except Exception as error:  # noqa: BLE001 - whatever the fault is
            # The rest of the request may not have been read.
            self._fail(connection, "", error, closes=True)
        return None

    def _serve_request(
        self,
        connection: client_connection.ClientConnection,
        request: wire.ClientRequest,
    ) -> None:
        """Handles one request; a program error costs only its own answer."""
        try:
            self._gateway.serve(
                connection, request, self._should_close(), self.shutdown
            )
        except _EXPECTED_ENDS:
            raise
        except Exception as error:  # noqa: BLE001 - whatever the fault is
            self._fail(connection, request.request_id, error, closes=False)

    def _fail(
        self,
        connection: client_connection.ClientConnection,
        request_id: str,
        error: Exception,
        closes: bool,
    ) -> None:
        """Ends a request that a program error interrupted.

        The request may have been sent to a target, so that the response must
        not promise anything.

        Raises:
            stream_channel.StreamAbortedError: The response has started.
        """
        self._context.metrics.request_failures.inc()
        self._context.log.failure(
            "request.failed",
            request=request_id,
            reason=repr(error)[:MAX_REASON_CHARACTERS],
            where=traceback.format_exc(limit=-3),
        )
        if not connection.can_respond():
            raise stream_channel.StreamAbortedError("program error") from error
        response = responses.error_response(502, "program error")
        connection.send_response(response, closes)

    def _should_close(self) -> bool:
        """Returns whether connections close after their next response."""
        ready = self._context.cached_config.ready(clock.suspend_aware_now_s())
        return self.shutdown is not None or not ready

    def _refuse(
        self,
        connection: client_connection.ClientConnection,
        error: wire.MalformedRequestError,
    ) -> None:
        is_final = error.status not in _LIMIT_STATUSES
        if is_final or self._limits.may_refuse():
            response = gateway.malformed_response(error)
        else:
            # A newer configuration, which this host has not read, may allow
            # the request; another host may have it.
            response = responses.error_response(
                503,
                serving.Access.CONFIG_TOO_OLD.value,
                self._context.rng.uniform(*gateway.RETRY_AFTER_RANGE_S),
            )
            self._context.metrics.requests.labels("none", "503").inc()
        self._context.log.failure(
            "request.malformed", status=response.status, reason=str(error)
        )
        if connection.can_respond():
            connection.send_response(response, closes=True)

    def _refuse_for_memory(
        self,
        connection: client_connection.ClientConnection,
        cause: serving.EndCause,
    ) -> None:
        """Refuses a request that is not read any further.

        The log has one line for all of them.
        """
        connection.memory.begin_close()
        status, reason = _REFUSAL_BY_CAUSE[cause]
        retry_after_s = self._context.rng.uniform(*MEMORY_RETRY_AFTER_RANGE_S)
        self._context.metrics.requests.labels("none", str(status)).inc()
        if connection.can_respond():
            response = responses.error_response(status, reason, retry_after_s)
            connection.send_response(response, closes=True)


def _end_sending(connection: client_connection.ClientConnection) -> None:
    """Shuts down the sending side; no further request is read."""
    connection.closing = True
    connection.end_sending()
