"""Tests of reading requests from one connection."""

import contextlib
import types

from gevent import socket
import relay_builders

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import client_connection

REQUEST = (
    b"POST /a HTTP/1.1\r\nHost: h\r\nX-Request-Id: 1\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n1\r\nb\r\n0\r\n\r\n"
)


# A stop closes idle connections; one that lets others run while its parser
# holds a request would be closed without an answer.
def test_connection_is_busy_whenever_it_lets_others_run():
    ours, theirs = socket.socketpair()
    with contextlib.closing(ours), contextlib.closing(theirs):
        limits = serving.ClientLimits()
        connection = client_connection.ClientConnection(
            _TcpLike(ours), limits, relay_builders.HEADER_NAMES
        )
        seen = []
        connection._turn = types.SimpleNamespace(
            yield_if_long=lambda: seen.append(connection.is_idle(0.0))
        )
        # The second request waits in the parser when the first one is read.
        theirs.sendall(REQUEST * 2)
        for _ in range(2):
            request = connection.read_request(limits)
            assert request.body == b"ab"
            connection._http.send(
                client_connection.responses.make_response_head(200, (), False)
            )
            connection._http.send(client_connection.h11.EndOfMessage())
            connection.next_cycle()
        assert seen
        assert not any(seen)


class _TcpLike:
    """A socket of a pair, which has no options of TCP."""

    def __init__(self, wrapped: socket.socket) -> None:
        self._wrapped = wrapped

    def setsockopt(self, *_arguments: object) -> None:
        pass

    def __getattr__(self, name: str) -> object:
        return getattr(self._wrapped, name)
