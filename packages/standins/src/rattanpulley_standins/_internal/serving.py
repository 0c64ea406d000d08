"""HTTP server, settings and JSON helpers of the stand-in processes."""

import argparse
from collections.abc import Callable
import json
import os
import pathlib
import select
import socket
import threading
import time
from typing import Any

import bottle
from gevent import pywsgi

PARENT_CHECK_S = 0.5
BACKLOG = 1024
SOCKET_KEY = "standins.socket"


class RequestError(Exception):
    """A request that the stand-in rejects.

    Attributes:
        status: HTTP status of the response.
        body: JSON body of the response.
    """

    def __init__(self, status: int, message: str, **details: Any) -> None:
        super().__init__(message)
        self.status = status
        self.body: dict[str, Any] = {"error": {"message": message}, **details}


class _Handler(pywsgi.WSGIHandler):
    """Exposes the socket of the connection in the WSGI environment."""

    def get_environ(self) -> dict[str, Any]:
        environ: dict[str, Any] = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        return environ


def listener(host: str, port: int) -> socket.socket:
    """Returns a listening socket whose connections have TCP_NODELAY.

    Accepted connections inherit the option; without it, a token can wait for
    the acknowledgement of the previous token.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.bind((host, port))
    sock.listen(BACKLOG)
    sock.setblocking(False)
    return sock


def serve(app: bottle.Bottle, listen: dict[str, Any]) -> None:
    """Serves `app` until the process exits."""
    sock = listener(listen["host"], listen["port"])
    server = pywsgi.WSGIServer(sock, app, log=None, handler_class=_Handler)
    server.serve_forever()


def main(run: Callable[[dict[str, Any]], None]) -> None:
    """Parses `--settings FILE` and calls `run` with the settings.

    With the setting `exit_with_parent`, the process exits when its parent does.
    """
    parser = argparse.ArgumentParser()
    parser.add_argument("--settings", type=pathlib.Path, required=True)
    arguments = parser.parse_args()
    settings = json.loads(arguments.settings.read_text("utf-8"))
    if settings.get("exit_with_parent", False):
        watcher = threading.Thread(target=_exit_with_parent, daemon=True)
        watcher.start()
    run(settings)


def _exit_with_parent() -> None:
    parent = os.getppid()
    while os.getppid() == parent:
        time.sleep(PARENT_CHECK_S)
    os._exit(0)


def new_app() -> bottle.Bottle:
    """Returns an application that reports every error as JSON."""
    app = bottle.Bottle(autojson=True)
    app.default_error_handler = _json_error
    app.install(_render_request_errors)
    return app


def _json_error(error: bottle.HTTPError) -> str:
    error.content_type = "application/json"
    return json.dumps({"error": {"message": str(error.body)}})


def _render_request_errors(callback: Callable[..., Any]) -> Callable[..., Any]:
    def wrapper(*args: Any, **kwargs: Any) -> Any:
        try:
            return callback(*args, **kwargs)
        except RequestError as error:
            bottle.response.status = error.status
            return error.body

    return wrapper


def json_object() -> dict[str, Any]:
    """Returns the body of the current request.

    Raises:
        RequestError: The body is not a JSON object; status 422.
    """
    try:
        value = json.loads(bottle.request.body.read())
    except ValueError as error:
        raise RequestError(422, f"the body is not JSON: {error}") from error
    if not isinstance(value, dict):
        raise RequestError(422, "the body is not a JSON object")
    return value


def query_number(name: str, default: float) -> float:
    """Returns a number from the query string, or the default.

    Raises:
        RequestError: The value is not a number; status 422.
    """
    text = bottle.request.query.get(name)
    if text is None:
        return default
    try:
        return float(text)
    except ValueError as error:
        raise RequestError(422, f"{name} is not a number: {text}") from error


def connection() -> socket.socket:
    """Returns the socket of the current request's connection."""
    sock: socket.socket = bottle.request.environ[SOCKET_KEY]
    return sock


def abort_connection() -> None:
    """Shuts down the current connection without a response."""
    connection().shutdown(socket.SHUT_RDWR)


def peer_closed(sock: socket.socket) -> bool:
    """Returns whether the other end has closed the connection."""
    try:
        readable, _, _ = select.select([sock], [], [], 0)
        return bool(readable) and sock.recv(1, socket.MSG_PEEK) == b""
    except (OSError, ValueError):
        return True
