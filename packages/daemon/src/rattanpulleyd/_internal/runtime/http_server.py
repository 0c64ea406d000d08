"""HTTP server of the caller API."""

import socket
from typing import Any

import bottle
from gevent import pywsgi

from rattanpulleyd._internal.settings import model

BACKLOG = 1024
# A peer that reads or sends nothing for this time is closed; otherwise callers
# that vanished without closing would hold their connections for ever.
IDLE_TIMEOUT_S = 120.0
SOCKET_KEY = "rattanpulleyd.socket"
HANDLER_KEY = "rattanpulleyd.handler"
IN_FLIGHT_KEY = "rattanpulleyd.in_flight"


class _Handler(pywsgi.WSGIHandler):
    """Limits the time of reads and writes and exposes the connection."""

    def handle(self) -> None:
        self.socket.settimeout(IDLE_TIMEOUT_S)
        super().handle()

    def get_environ(self) -> dict[str, Any]:
        environ: dict[str, Any] = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        environ[HANDLER_KEY] = self
        return environ


class HttpServer:
    """Serves the caller API and knows which answers are in flight."""

    def __init__(self, address: model.Address, app: bottle.Bottle) -> None:
        """Listens on an address; `start` accepts connections.

        Args:
            address: Numeric address.
            app: The application.

        Raises:
            OSError: The address is not available.
        """
        self.in_flight = 0
        self._app = app
        self._server = pywsgi.WSGIServer(
            _listener(address), self._answer, log=None, handler_class=_Handler
        )

    def start(self) -> None:
        """Accepts connections from now on."""
        self._server.start()

    def stop_accepting(self) -> None:
        """Closes the listening socket; open connections go on."""
        self._server.close()

    def stop(self) -> None:
        """Closes all connections."""
        self._server.stop(timeout=0)

    def _answer(self, environ: dict[str, Any], start_response: Any) -> Any:
        """Counts an answer from its request to its last byte."""
        self.in_flight += 1
        environ[IN_FLIGHT_KEY] = self.in_flight
        try:
            body = self._app(environ, start_response)
        except BaseException:
            self.in_flight -= 1
            raise
        return _CountedBody(self, body)


class _CountedBody:
    """Body of an answer that is in flight until the server closes it."""

    def __init__(self, server: HttpServer, body: Any) -> None:
        self._server = server
        self._body = body
        self._closed = False

    def __iter__(self) -> Any:
        return iter(self._body)

    def close(self) -> None:
        """Called by the server after the last byte or a lost connection."""
        if self._closed:
            return
        self._closed = True
        self._server.in_flight -= 1
        close = getattr(self._body, "close", None)
        if close is not None:
            close()


def _listener(address: model.Address) -> socket.socket:
    """Returns a listening socket.

    Accepted connections inherit TCP_NODELAY; without it a token can wait for
    the acknowledgement of the token before.
    """
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    listener.bind((address.host, address.port))
    listener.listen(BACKLOG)
    listener.setblocking(False)
    return listener
