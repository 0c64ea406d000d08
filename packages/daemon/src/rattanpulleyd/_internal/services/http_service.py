"""Service API over HTTP."""

from http import client
import urllib.parse

import urllib3

from rattanpulley_core import interfaces
from rattanpulleyd._internal.engine import connection as connections

CONNECT_TIMEOUT_S = 0.25
POOL_CONNECTIONS = 16
# Answers are held in memory until they are passed on.
MAX_ANSWER_BYTES = 16 * 1024 * 1024

_BROKEN = (urllib3.exceptions.HTTPError, OSError, client.HTTPException)
_HOP_HEADERS = frozenset(
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
    """Makes calls once, without retries."""

    def __init__(self) -> None:
        self._pools_by_url: dict[str, urllib3.HTTPConnectionPool] = {}

    def call(
        self, order: interfaces.ServiceRequest
    ) -> interfaces.ServiceAnswer:
        """Makes the call; see the base class."""
        if order.fresh_connection:
            return self._call_on_fresh_connection(order)
        return self._call_on_pool(order)

    def _call_on_fresh_connection(
        self, order: interfaces.ServiceRequest
    ) -> interfaces.ServiceAnswer:
        """Makes the call on a connection of its own."""
        timeout_s = min(CONNECT_TIMEOUT_S, order.timeout_s)
        try:
            connection = connections.connect(order.url, timeout_s)
        except _BROKEN as error:
            raise interfaces.ServiceNotSentError(_name(error)) from error
        try:
            connection.timeout = order.timeout_s
            if connection.sock is not None:
                connection.sock.settimeout(order.timeout_s)
            connection.request(
                order.method,
                order.path,
                body=order.body or None,
                headers=dict(order.headers),
                preload_content=False,
            )
            return _answer(connection.getresponse())
        except _BROKEN as error:
            raise interfaces.ServiceOutcomeUnknownError(_name(error)) from error
        finally:
            connection.close()

    def _call_on_pool(
        self, order: interfaces.ServiceRequest
    ) -> interfaces.ServiceAnswer:
        """Makes the call on a connection that may have been used before."""
        pool = self._pool(order.url)
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_S, read=order.timeout_s
        )
        try:
            response = pool.request(
                order.method,
                order.path,
                body=order.body or None,
                headers=dict(order.headers),
                timeout=timeout,
                retries=False,
                redirect=False,
                preload_content=False,
                pool_timeout=order.timeout_s,
            )
            try:
                return _answer(response)
            finally:
                response.release_conn()
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
            urllib3.exceptions.EmptyPoolError,
        ) as error:
            raise interfaces.ServiceNotSentError(_name(error)) from error
        except _BROKEN as error:
            raise interfaces.ServiceOutcomeUnknownError(_name(error)) from error

    def _pool(self, url: str) -> urllib3.HTTPConnectionPool:
        """Returns the bounded pool of a target."""
        pool = self._pools_by_url.get(url)
        if pool is None:
            parts = urllib.parse.urlsplit(url)
            pool = urllib3.HTTPConnectionPool(
                parts.hostname or "",
                parts.port or 80,
                maxsize=POOL_CONNECTIONS,
                block=True,
            )
            self._pools_by_url[url] = pool
        return pool


def _name(error: BaseException) -> str:
    """Returns what an error is called in messages."""
    return type(error).__name__


def _answer(response: urllib3.BaseHTTPResponse) -> interfaces.ServiceAnswer:
    """Reads the whole answer."""
    body = response.read(MAX_ANSWER_BYTES + 1)
    if len(body) > MAX_ANSWER_BYTES:
        response.close()
        raise urllib3.exceptions.HTTPError("the answer is too large")
    headers = tuple(
        (name, value)
        for name, value in response.headers.items()
        if name.lower() not in _HOP_HEADERS
    )
    return interfaces.ServiceAnswer(response.status, headers, body)
