"""Accepts connections of clients and ends them gracefully.

A stop never cuts a request: connections that wait for a request are closed
once the balancer has had time to notice that the host is not ready, and the
others after their answer.
"""

import gevent
from gevent import server
from gevent import socket

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import client_connection
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import context as context_lib
from rattanpulleyd._internal.relay import gateway
from rattanpulleyd._internal.relay import memory_copies
from rattanpulleyd._internal.relay import settings
from rattanpulleyd._internal.relay import stream_channel
from rattanpulleyd._internal.relay import wire

BACKLOG = 512
# The balancer asks once a second and takes a host out after two misses.
BALANCER_REMOVAL_S = 2.4
# Requests that cross the close of a kept connection arrive within this time.
LATE_REQUEST_WAIT_S = 0.3
# Left of the grace period when the remaining streams are cut.
GRACE_RESERVE_S = 0.3
POLL_INTERVAL_S = 0.05
LINGER_S = 0.2


class Listener:
    """The listening socket and the connections of all clients."""

    def __init__(
        self,
        context: context_lib.RelayContext,
        endpoint: settings.Endpoint,
        copy_calls: memory_copies.MemoryCopyCalls,
    ) -> None:
        self._context = context
        self._gateway = gateway.Gateway(context, copy_calls)
        self._greenlets_by_connection: dict[
            client_connection.ClientConnection, gevent.Greenlet
        ] = {}
        self._shutdown: gateway.Shutdown | None = None
        self._server = server.StreamServer(
            (endpoint.host, endpoint.port), self._handle, backlog=BACKLOG
        )

    @property
    def stopping(self) -> bool:
        """Whether a stop has begun."""
        return self._shutdown is not None

    def start(self) -> None:
        """Begins to accept connections."""
        self._server.start()

    def stop(self, grace_s: float) -> None:
        """Ends all connections; returns when the process may exit.

        Args:
            grace_s: Time until the process is killed.
        """
        started_s = clock.now_s()
        until_s = started_s + grace_s - GRACE_RESERVE_S
        self._shutdown = gateway.Shutdown(started_s, until_s)
        gevent.sleep(min(BALANCER_REMOVAL_S, max(0.0, until_s - started_s)))
        self._close_idle()
        gevent.sleep(LATE_REQUEST_WAIT_S)
        while self._greenlets_by_connection and clock.now_s() < until_s:
            self._close_idle()
            gevent.sleep(POLL_INTERVAL_S)
        self._server.stop(timeout=0)

    def _close_idle(self) -> None:
        """Closes the connections on which no request has begun to arrive."""
        for connection, greenlet in list(self._greenlets_by_connection.items()):
            if not connection.busy:
                greenlet.kill(
                    client_connection.ConnectionEndedError(), block=False
                )

    def _handle(self, sock: socket.socket, _address: tuple[str, int]) -> None:
        """Serves one connection."""
        config = self._context.cached_config.config
        limits = config.limits if config else serving.ClientLimits()
        connection = client_connection.ClientConnection(
            sock, limits, self._context.names
        )
        self._greenlets_by_connection[connection] = gevent.getcurrent()
        try:
            self._serve(connection)
        except (
            client_connection.ConnectionEndedError,
            context_lib.ClientDisconnectedError,
            stream_channel.StreamAbortedError,
        ):
            # The end of a connection is logged with the request it concerns.
            pass
        finally:
            del self._greenlets_by_connection[connection]
            connection.close()

    def _serve(self, connection: client_connection.ClientConnection) -> None:
        """Answers the requests of a connection one after another."""
        while True:
            config = self._context.cached_config.config
            limits = config.limits if config else serving.ClientLimits()
            try:
                request = connection.read_request(limits)
            except wire.MalformedRequestError as error:
                self._refuse(connection, error)
                return
            self._gateway.serve(
                connection, request, self._should_close(), self._shutdown
            )
            if not connection.next_cycle():
                linger(connection)
                return

    def _should_close(self) -> bool:
        """Returns whether connections close after their next answer."""
        ready = self._context.cached_config.ready(clock.suspend_aware_now_s())
        return self.stopping or not ready

    def _refuse(
        self,
        connection: client_connection.ClientConnection,
        error: wire.MalformedRequestError,
    ) -> None:
        self._context.log.failure(
            "request.malformed", status=error.status, reason=str(error)
        )
        if connection.can_respond():
            connection.send_response(
                gateway.malformed_response(error), closes=True
            )
            linger(connection)


def linger(connection: client_connection.ClientConnection) -> None:
    """Lets the client read the answer before the connection is closed.

    Closing with unread bytes resets the connection, and a reset can overtake
    the answer.
    """
    connection.end_sending()
    connection.discard_until_closed(clock.now_s() + LINGER_S)
