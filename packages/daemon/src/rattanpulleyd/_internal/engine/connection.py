"""One connection to a target.

The daemon opens a connection for each attempt. A connection that was used
before can fail for reasons of its earlier use, and the daemon could not tell
such a failure from one of the target.
"""

import functools
from http import client
import json
import socket
from typing import Any
import urllib.parse

import urllib3
import urllib3.connection

from rattanpulleyd._internal.engine import orders

CONNECT_TIMEOUT_S = 0.25
# Longest wait for the headers of a stream. Stalls are detected earlier by the
# generation part; this limit frees a connection that it no longer waits for.
READ_TIMEOUT_S = 30.0
READ_BYTES = 65536

Response = urllib3.BaseHTTPResponse
CallError = (urllib3.exceptions.HTTPError, OSError)


@functools.lru_cache(maxsize=4096)
def _host_and_port(url: str) -> tuple[str, int]:
    parts = urllib.parse.urlsplit(url)
    return parts.hostname or "", parts.port or 80


def connect(
    url: str, timeout_s: float = CONNECT_TIMEOUT_S
) -> urllib3.connection.HTTPConnection:
    """Opens a connection.

    Args:
        url: Base URL of the target.
        timeout_s: Longest time to open it.

    Raises:
        CallError: The target cannot be reached.
    """
    host, port = _host_and_port(url)
    connection = urllib3.connection.HTTPConnection(host, port)
    connection.sock = _open_socket(host, port, timeout_s)
    return connection


def _open_socket(host: str, port: int, timeout_s: float) -> socket.socket:
    """Opens a socket without the look-up of a name.

    `urllib3` looks up numeric addresses, too, and gevent does that in a thread
    that has to wait for the interpreter's lock.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    opened = socket.socket(family, socket.SOCK_STREAM)
    try:
        opened.settimeout(timeout_s)
        opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        opened.connect((host, port))
    except BaseException:
        opened.close()
        raise
    return opened


def send(
    connection: urllib3.connection.HTTPConnection,
    request: orders.HttpRequest,
    timeout_s: float = READ_TIMEOUT_S,
) -> Response:
    """Sends a request and returns the response with its headers.

    Args:
        connection: An open connection.
        request: The request.
        timeout_s: Longest time without a byte, now and for later reads.

    Raises:
        CallError: The connection failed before the headers were complete.
    """
    _send(connection, request, timeout_s)
    return connection.getresponse()


def _send(
    connection: urllib3.connection.HTTPConnection,
    request: orders.HttpRequest,
    timeout_s: float,
) -> None:
    """Sends a request and limits the time of the reads."""
    connection.timeout = timeout_s
    if connection.sock is not None:
        connection.sock.settimeout(timeout_s)
    headers = {"Content-Type": "application/json"} if request.body else {}
    connection.request(
        request.method,
        request.path,
        body=request.body,
        headers=headers,
        preload_content=False,
    )


def open_stream(
    connection: urllib3.connection.HTTPConnection,
    request: orders.HttpRequest,
) -> client.HTTPResponse:
    """Sends a request and returns the plain response with its headers.

    The response of `http.client` gives access to its socket, which a stream is
    read from.

    Args:
        connection: An open connection.
        request: The request.

    Raises:
        CallError: The connection failed before the headers were complete.
        client.HTTPException: The answer is not HTTP.
    """
    _send(connection, request, READ_TIMEOUT_S)
    return client.HTTPConnection.getresponse(connection)


def read_json(response: Response) -> Any:
    """Reads a short JSON body; anything else gives None.

    Args:
        response: The response.

    Raises:
        CallError: The connection failed.
    """
    try:
        return json.loads(response.read(READ_BYTES))
    except ValueError:
        return None
