"""HTTP implementation of the service API."""

from http import client
import urllib.parse

import gevent
import urllib3

from rattanpulley_core import interfaces
from rattanpulleyd._internal.engine import connection as connections
from rattanpulleyd._internal.sockets import fair_socket
from rattanpulleyd._internal.sockets import final_status
from rattanpulleyd._internal.sockets import read_turn

CONNECT_TIMEOUT_S = 0.25
# The timeouts of connect and read expire first if a target is only silent.
ANSWER_MARGIN_S = 0.1
POOL_CONNECTIONS = 16
READ_BYTES = 64 * 1024
# Answers are buffered in memory until they are forwarded.
MAX_ANSWER_BYTES = 16 * 1024 * 1024

_CONNECTION_ERRORS = (
    urllib3.exceptions.HTTPError,
    OSError,
    client.HTTPException,
)
# Headers that apply to one connection or one server; they are not forwarded.
_DROPPED_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "date",
        "keep-alive",
        "server",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


class HttpServiceApi(interfaces.ServiceApi):
    """Makes each call once, without retries."""

    def __init__(self) -> None:
        self._pools_by_url: dict[str, urllib3.HTTPConnectionPool] = {}

    def call(
        self, request: interfaces.ServiceRequest
    ) -> interfaces.ServiceAnswer:
        """Makes the call; see the base class."""
        # The timeout of a read does not end an answer that never stops.
        limit_s = CONNECT_TIMEOUT_S + request.timeout_s + ANSWER_MARGIN_S
        late = interfaces.ServiceOutcomeUnknownError("LateAnswer")
        if request.fresh_connection:
            with gevent.Timeout(limit_s, late):
                return self._call_on_fresh_connection(request)
        # The call may first wait for a connection.
        with gevent.Timeout(limit_s + request.timeout_s, late):
            return self._call_on_pool(request)

    def _call_on_fresh_connection(
        self, request: interfaces.ServiceRequest
    ) -> interfaces.ServiceAnswer:
        """Makes the call on a new connection, which is closed afterwards."""
        timeout_s = min(CONNECT_TIMEOUT_S, request.timeout_s)
        try:
            connection = connections.connect(request.url, timeout_s)
        except _CONNECTION_ERRORS as error:
            raise interfaces.ServiceNotSentError(_error_name(error)) from error
        try:
            connection.timeout = request.timeout_s
            if connection.sock is not None:
                connection.sock.settimeout(request.timeout_s)
            connection.request(
                request.method,
                request.path,
                body=request.body or None,
                headers=dict(request.headers),
                preload_content=False,
            )
            return _read_answer(connection.getresponse())
        except _CONNECTION_ERRORS as error:
            raise interfaces.ServiceOutcomeUnknownError(
                _error_name(error)
            ) from error
        finally:
            connection.close()

    def _call_on_pool(
        self, request: interfaces.ServiceRequest
    ) -> interfaces.ServiceAnswer:
        """Makes the call on a pooled connection, which may be reused."""
        pool = self._pool(request.url)
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_S, read=request.timeout_s
        )
        try:
            response = pool.request(
                request.method,
                request.path,
                body=request.body or None,
                headers=dict(request.headers),
                timeout=timeout,
                retries=False,
                redirect=False,
                preload_content=False,
                pool_timeout=request.timeout_s,
            )
            try:
                return _read_answer(response)
            except BaseException:
                # Unread bytes would answer the next call of the connection.
                response.close()
                raise
            finally:
                response.release_conn()
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
            urllib3.exceptions.EmptyPoolError,
        ) as error:
            raise interfaces.ServiceNotSentError(_error_name(error)) from error
        except _CONNECTION_ERRORS as error:
            raise interfaces.ServiceOutcomeUnknownError(
                _error_name(error)
            ) from error

    def _pool(self, url: str) -> urllib3.HTTPConnectionPool:
        """Returns the bounded connection pool of a target."""
        pool = self._pools_by_url.get(url)
        if pool is None:
            parts = urllib.parse.urlsplit(url)
            pool = fair_socket.FairConnectionPool(
                parts.hostname or "",
                parts.port or 80,
                maxsize=POOL_CONNECTIONS,
                block=True,
            )
            self._pools_by_url[url] = pool
        return pool


def _error_name(error: BaseException) -> str:
    """Returns the name of an error's type, for messages."""
    return type(error).__name__


def _read_answer(
    response: urllib3.BaseHTTPResponse,
) -> interfaces.ServiceAnswer:
    """Reads the complete answer.

    Raises:
        urllib3.exceptions.HTTPError: The answer is longer than
            `MAX_ANSWER_BYTES`, its status is not final, or the connection
            failed.
    """
    if not final_status.is_final(response.status):
        raise urllib3.exceptions.HTTPError(f"status {response.status}")
    body = bytearray()
    turn = read_turn.ReadTurn()
    while part := response.read1(READ_BYTES):
        body += part
        if len(body) > MAX_ANSWER_BYTES:
            raise urllib3.exceptions.HTTPError("the answer is too large")
        turn.yield_if_long()
    headers = tuple(
        (name, value)
        for name, value in response.headers.items()
        if name.lower() not in _DROPPED_HEADERS
    )
    return interfaces.ServiceAnswer(response.status, headers, bytes(body))
