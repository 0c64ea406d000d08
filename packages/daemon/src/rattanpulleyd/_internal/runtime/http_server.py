"""HTTP server of the caller API."""

import socket
from typing import Any

import bottle
from gevent import pywsgi

from rattanpulleyd._internal.settings import model
from rattanpulleyd._internal.sockets import fair_socket

LISTEN_BACKLOG = 1024
# Connections that neither send nor receive for this time are closed. Otherwise
# clients that disappear without closing would occupy them indefinitely.
IDLE_TIMEOUT_S = 120.0
SOCKET_KEY = "rattanpulleyd.socket"
HANDLER_KEY = "rattanpulleyd.handler"
IN_FLIGHT_KEY = "rattanpulleyd.in_flight"


class _ConnectionHandler(fair_socket.FairHandler):
    """Sets the socket timeout and exposes the connection in the environ."""

    def handle(self) -> None:
        self.socket.settimeout(IDLE_TIMEOUT_S)
        super().handle()

    def get_environ(self) -> dict[str, Any]:
        environ: dict[str, Any] = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        environ[HANDLER_KEY] = self
        return environ


class HttpServer:
    """Serves the caller API and counts the requests in flight.

    Attributes:
        in_flight: Number of requests whose response is not finished.
    """

    def __init__(self, address: model.Address, app: bottle.Bottle) -> None:
        """Binds and listens; connections are accepted after `start`.

        Args:
            address: Numeric IP address and port.
            app: WSGI application of the caller API.

        Raises:
            OSError: The address is not available.
        """
        self.in_flight = 0
        self._app = app
        self._server = pywsgi.WSGIServer(
            _make_listener(address),
            self._handle_request,
            log=None,
            handler_class=_ConnectionHandler,
        )

    def start(self) -> None:
        """Starts to accept connections."""
        self._server.start()

    def stop_accepting(self) -> None:
        """Closes the listening socket and keeps open connections."""
        self._server.close()

    def stop(self) -> None:
        """Closes all connections."""
        self._server.stop(timeout=0)

    def _handle_request(
        self, environ: dict[str, Any], start_response: Any
    ) -> Any:
        """Runs the application and counts the request until its last byte."""
        self.in_flight += 1
        environ[IN_FLIGHT_KEY] = self.in_flight
        try:
            body = self._app(environ, start_response)
        except BaseException:
            self.in_flight -= 1
            raise
        return _TrackedBody(self, body)


class _TrackedBody:
    """Response body that counts as in flight until the server closes it."""

    def __init__(self, server: HttpServer, body: Any) -> None:
        self._server = server
        self._body = body
        self._closed = False

    def __iter__(self) -> Any:
        return iter(self._body)

    def close(self) -> None:
        """Decrements the count after the last byte or a lost connection."""
        if self._closed:
            return
        self._closed = True
        self._server.in_flight -= 1
        close = getattr(self._body, "close", None)
        if close is not None:
            close()


def _make_listener(address: model.Address) -> socket.socket:
    """Returns a listening socket.

    Accepted connections inherit TCP_NODELAY. Without it, Nagle's algorithm can
    delay a token until the previous one is acknowledged.
    """
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    listener.bind((address.host, address.port))
    listener.listen(LISTEN_BACKLOG)
    listener.setblocking(False)
    return listener
