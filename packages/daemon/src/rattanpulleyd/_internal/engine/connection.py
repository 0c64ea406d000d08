"""Opens connections to targets and sends requests on them.

The daemon opens a connection for each attempt. A reused connection can fail
because of its earlier use, and the daemon could not distinguish such a failure
from one of the target.
"""

import functools
from http import client
import json
import socket
from typing import Any
import urllib.parse

import urllib3
import urllib3.connection

from rattanpulleyd._internal.engine import engine_requests
from rattanpulleyd._internal.sockets import fair_socket
from rattanpulleyd._internal.sockets import strict_response

CONNECT_TIMEOUT_S = 0.25
# Longest wait for the headers of a stream. The generation core detects stalls
# earlier; this timeout closes a connection that it no longer waits for.
READ_TIMEOUT_S = 30.0
READ_BYTES = 65536

Response = urllib3.BaseHTTPResponse
CALL_ERRORS = (urllib3.exceptions.HTTPError, OSError)


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
        timeout_s: Connect timeout in seconds.

    Raises:
        CALL_ERRORS: The target cannot be reached.
    """
    host, port = _host_and_port(url)
    connection = urllib3.connection.HTTPConnection(host, port)
    connection.response_class = strict_response.StrictResponse
    connection.sock = _open_socket(host, port, timeout_s)
    return connection


def _open_socket(
    host: str, port: int, timeout_s: float
) -> fair_socket.FairSocket:
    """Opens a socket without resolving a name.

    `urllib3` also resolves numeric addresses, and gevent does that in a thread
    that has to wait for the global interpreter lock.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    opened = fair_socket.FairSocket(family, socket.SOCK_STREAM)
    opened.checks_delivery = True
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
    request: engine_requests.HttpRequest,
    timeout_s: float = READ_TIMEOUT_S,
) -> Response:
    """Sends a request and returns the response with its headers.

    Args:
        connection: An open connection.
        request: The request.
        timeout_s: Socket timeout in seconds, for this call and later reads.

    Raises:
        CALL_ERRORS: The connection failed before the headers were complete.
    """
    _send(connection, request, timeout_s)
    return connection.getresponse()


def _send(
    connection: urllib3.connection.HTTPConnection,
    request: engine_requests.HttpRequest,
    timeout_s: float,
) -> None:
    """Sends a request and sets the timeout of later reads."""
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
    request: engine_requests.HttpRequest,
) -> client.HTTPResponse:
    """Sends a request and returns the `http.client` response with its headers.

    Unlike the response of `urllib3`, it gives access to the socket, from which
    a stream is read.

    Args:
        connection: An open connection.
        request: The request.

    Raises:
        CALL_ERRORS: The connection failed before the headers were complete.
        client.HTTPException: The response is not HTTP.
    """
    _send(connection, request, READ_TIMEOUT_S)
    return client.HTTPConnection.getresponse(connection)


def read_json(response: Response) -> Any:
    """Returns a short JSON body, or None if it is not valid JSON.

    Args:
        response: The response.

    Raises:
        CALL_ERRORS: The connection failed.
    """
    try:
        return json.loads(response.read(READ_BYTES))
    except ValueError:
        return None
