"""Accepts client connections, and closes them when the host stops.

Shutdown lets requests finish: idle connections are closed once the load
balancer has had time to notice that the host is not ready, and busy ones after
their response.
"""

from typing import Any

import gevent
from gevent import pool
from gevent import server
from gevent import socket

from rattanpulleyd._internal.relay import client_connection
from rattanpulleyd._internal.relay import client_limits
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import connection_handler
from rattanpulleyd._internal.relay import connection_limits
from rattanpulleyd._internal.relay import connection_memory
from rattanpulleyd._internal.relay import context as context_lib
from rattanpulleyd._internal.relay import gateway
from rattanpulleyd._internal.relay import memory_copies
from rattanpulleyd._internal.relay import settings

BACKLOG = 512
# The balancer probes once a second and removes a host after two failed probes.
BALANCER_REMOVAL_S = 2.4
# A request that was sent before the client noticed the close of its idle
# connection arrives within this time.
LATE_REQUEST_WAIT_S = 0.3
# A client sends its first request within this time after it has connected.
FIRST_REQUEST_WAIT_S = 1.0
# Rest of the grace period when the remaining streams are aborted.
GRACE_RESERVE_S = 0.3
# Time to answer the connections that were accepted last, within that rest.
LAST_ANSWERS_S = 0.15
# Clients that still send what is refused delay the end of the host no longer.
CLOSE_WAIT_S = 1.0
POLL_INTERVAL_S = 0.05


class Listener:
    """The listening socket and all client connections."""

    def __init__(
        self,
        context: context_lib.RelayContext,
        endpoint: settings.Endpoint,
        copy_calls: memory_copies.MemoryCopyCalls,
        max_descriptors: int | None = None,
    ) -> None:
        """Creates a listener that is not started.

        Args:
            context: State of the process.
            endpoint: Address to listen on.
            copy_calls: Encodes the calls that copy a run's memory.
            max_descriptors: How many files the process may open, or None for
                the number that the operating system allows.
        """
        self._context = context
        self._connections: set[client_connection.ClientConnection] = set()
        self._limits = client_limits.ClientLimitsInForce(context.cached_config)
        self._handler = connection_handler.ConnectionHandler(
            context, gateway.Gateway(context, copy_calls)
        )
        budget = context.byte_budget
        self._open_limits = connection_limits.limits_of_process(
            max_descriptors, budget.affordable_connections
        )
        budget.set_max_connections(self._open_limits.max_open)
        self._is_limited = False
        # Further connections wait in the socket.
        self._server = server.StreamServer(
            (endpoint.host, endpoint.port),
            self._handle,
            backlog=BACKLOG,
            spawn=pool.Pool(self._open_limits.max_open),
        )

    @property
    def stopping(self) -> bool:
        """Whether a shutdown has started."""
        return self._handler.shutdown is not None

    def start(self) -> None:
        """Starts to accept connections."""
        self._server.start()

    def stop(self, grace_s: float) -> None:
        """Closes all connections; returns when the process may exit.

        Args:
            grace_s: Seconds until the process is killed.
        """
        started_s = clock.now_s()
        until_s = started_s + grace_s - GRACE_RESERVE_S
        self._handler.shutdown = gateway.Shutdown(started_s, until_s)
        self._context.host_stop.deadline_s = until_s
        self._announce_close()
        gevent.sleep(min(BALANCER_REMOVAL_S, max(0.0, until_s - started_s)))
        self._close_idle()
        gevent.sleep(LATE_REQUEST_WAIT_S)
        self._wait_for_connections(until_s, 0.0)
        self._stop_accepting()
        until_s = max(until_s, clock.now_s() + LAST_ANSWERS_S)
        self._wait_for_connections(until_s, CLOSE_WAIT_S)

    def _wait_for_connections(
        self, until_s: float, close_wait_s: float
    ) -> None:
        """Waits for the requests of all connections, and for their closes.

        Args:
            until_s: When to stop waiting.
            close_wait_s: Seconds to wait when there are only closes left.
        """
        served_at_s = clock.now_s()
        while self._connections and (now_s := clock.now_s()) < until_s:
            if not all(row.closing for row in self._connections):
                served_at_s = now_s
            elif now_s - served_at_s >= close_wait_s:
                return
            self._close_idle()
            gevent.sleep(POLL_INTERVAL_S)

    def _announce_close(self) -> None:
        """Lets the next response on each open connection announce its close."""
        for connection in self._connections:
            connection.closes = True

    def _stop_accepting(self) -> None:
        """Closes the listening socket after the connections that wait in it.

        Closing the socket resets connections that are not accepted yet, whose
        requests may have arrived.
        """
        self._server.stop_accepting()
        while (accepted := self._accept_waiting()) is not None:
            gevent.spawn(self._handle, *accepted)
        self._server.close()
        # Lets the handlers register their connections, which `stop` waits for.
        gevent.sleep(0)

    def _accept_waiting(self) -> tuple[socket.socket, Any] | None:
        """Returns a connection that waits to be accepted and its address."""
        try:
            accepted: tuple[socket.socket, Any] | None = self._server.do_read()
        except OSError:
            return None
        return accepted

    def _close_idle(self) -> None:
        """Closes the connections on which no request has started to arrive."""
        for connection in list(self._connections):
            if connection.is_idle(FIRST_REQUEST_WAIT_S):
                connection.stop_waiting()

    def _handle(self, sock: socket.socket, _address: tuple[str, int]) -> None:
        """Handles one connection, whose memory ends with it."""
        memory = self._context.byte_budget.new_memory()
        try:
            self._handle_within(sock, memory)
        finally:
            memory.close()

    def _handle_within(
        self, sock: socket.socket, memory: connection_memory.ConnectionMemory
    ) -> None:
        """Handles one connection until it ends."""
        budget = self._context.byte_budget
        connection = client_connection.ClientConnection(
            sock, self._limits, self._context.names, memory
        )
        budget.add(connection)
        self._connections.add(connection)
        connection.closes = self.stopping or self._check_limits()
        try:
            self._handler.handle(connection)
        finally:
            self._connections.remove(connection)
            connection.close()
            budget.remove(connection)
            self._check_limits()

    def _check_limits(self) -> bool:
        """Returns whether a new connection is closed after its response."""
        count = len(self._connections)
        limits = self._open_limits
        is_above = count > limits.max_kept
        is_full = count >= limits.max_open
        if is_full and not self._is_limited:
            self._is_limited = True
            self._context.log.change(
                "clients.limit_reached",
                open=count,
                max_kept=limits.max_kept,
            )
        elif self._is_limited and not is_above:
            self._is_limited = False
            self._context.log.change("clients.limit_left", open=count)
        return is_above
