"""Calls on kept connections, which a server may close at any time.

A server closes an idle connection by a limit of its own, or because it stops. A
call that crosses this close is answered by a reset; the server is sound, and a
new connection reaches it.
"""

from collections.abc import Collection
import contextlib
import http.client
import queue
import time
from typing import Any

import urllib3

from rattanpulleyd._internal.sockets import fair_socket

# The reset comes after one round trip. A watch that is cut off later had
# reached the server, and its repetition would not end in time.
MAX_CROSSING_S = 0.3
_FAILURES = (
    OSError,
    http.client.HTTPException,
    urllib3.exceptions.HTTPError,
)


class KeptConnectionPool(fair_socket.FairConnectionPool):
    """A pool whose calls do not fail because a kept connection has ended.

    A call that may be repeated is sent once more, on a new connection, if its
    kept one ends before a byte of the response. The effect of any other call
    would be unknown then, so each of them is sent on a new connection.
    """

    def __init__(
        self,
        host: str,
        port: int,
        repeatable_methods: Collection[str],
        max_kept: int,
    ) -> None:
        """Creates a pool without connections.

        Args:
            host: Host of the server.
            port: Its port.
            repeatable_methods: Methods of calls that may be executed twice.
            max_kept: Maximum number of idle connections.
        """
        super().__init__(
            host, port, maxsize=max_kept, block=False, retries=False
        )
        self._repeatable_methods = frozenset(repeatable_methods)

    def _make_request(self, *arguments: Any, **options: Any) -> Any:
        """Sends one call as the base class does, or twice."""
        connection, method = arguments[:2]
        if method not in self._repeatable_methods:
            connection.close()
        kept = connection.sock
        if kept is None:
            return super()._make_request(*arguments, **options)
        received_bytes = kept.received_bytes
        sent_s = time.monotonic()
        try:
            return super()._make_request(*arguments, **options)
        except _FAILURES as error:
            connection.close()
            # They are as old, and the server or the path ended one of them.
            self._close_idle()
            passed_s = time.monotonic() - sent_s
            has_ended = isinstance(error, ConnectionError)
            if not has_ended or kept.received_bytes != received_bytes:
                raise
            if passed_s > MAX_CROSSING_S:
                raise
        options["timeout"] = _rest_of(options.get("timeout"), passed_s)
        return super()._make_request(*arguments, **options)

    def _close_idle(self) -> None:
        """Closes all connections that are not in use."""
        if self.pool is None:
            return
        places = 0
        with contextlib.suppress(queue.Empty):
            while True:
                connection = self.pool.get(block=False)
                places += 1
                if connection is not None:
                    connection.close()
        # The pool is last in, first out, so that all places are emptied first.
        for _ in range(places):
            self.pool.put(None, block=False)


def _rest_of(timeout: Any, passed_s: float) -> Any:
    """Returns what is left of a timeout for both parts of a call."""
    if not isinstance(timeout, urllib3.Timeout):
        return timeout
    read_s = timeout.read_timeout
    if not isinstance(read_s, int | float):
        return timeout
    return urllib3.Timeout(
        total=max(0.001, read_s - passed_s),
        connect=timeout.connect_timeout,
        read=read_s,
    )
