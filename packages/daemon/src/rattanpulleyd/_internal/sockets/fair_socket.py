"""Sockets for libraries that read in loops of their own.

`http.client`, `urllib3` and `pywsgi` read interim responses, chunks and
trailers until a message is complete, and never switch greenlets while bytes
arrive.
"""

from collections.abc import Callable
import time
from typing import Any

from gevent import pywsgi
from gevent import socket
import urllib3
import urllib3.connection

from rattanpulleyd._internal.sockets import arrived_first
from rattanpulleyd._internal.sockets import delivery
from rattanpulleyd._internal.sockets import late_reads
from rattanpulleyd._internal.sockets import read_turn
from rattanpulleyd._internal.sockets import strict_response

# The timeout of a read expires first if a peer is only silent.
HEAD_MARGIN_S = 0.05
# Far longer than the balancer or another host pauses between two requests, so
# that their connections stay open. Silent peers would use up the descriptors.
IDLE_TIMEOUT_S = 120.0
# For the rest of a request once its first line is there, and for sending a
# response. Balancer and other hosts have stopped waiting by then.
EXCHANGE_TIMEOUT_S = 10.0


class FairSocket(socket.socket):
    """A socket whose reads let other greenlets run now and then.

    Attributes:
        received_bytes: Number of bytes that were read.
        read_until_s: Time on `time.monotonic()` at which all reads end, or
            None. What has arrived is still read for a moment after it.
        checks_delivery: Whether an end of the connection counts as a reset
            unless the peer has taken all that was sent.
    """

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._turn = read_turn.ReadTurn()
        self._late_reads = late_reads.LateReads()
        self.received_bytes = 0
        self.read_until_s: float | None = None
        self.checks_delivery = False

    def recv(self, *args: Any) -> bytes:
        """Reads as the base class does.

        Raises:
            ConnectionResetError: The connection ended before the peer had taken
                all that was sent.
        """
        data: bytes = self._read(super().recv, *args)
        self._record_read(len(data))
        return data

    def recv_into(self, *args: Any) -> int:
        """Reads as the base class does.

        Raises:
            ConnectionResetError: The connection ended before the peer had taken
                all that was sent.
        """
        size: int = self._read(super().recv_into, *args)
        self._record_read(size)
        return size

    def _record_read(self, size: int) -> None:
        """Counts the bytes of a read; 0 is the end of the connection."""
        self.received_bytes += size
        self._turn.yield_if_long()
        if not size and self.checks_delivery and not delivery.is_complete(self):
            raise ConnectionResetError("ended before it took the request")

    def _read(self, receive: Callable[..., Any], *args: Any) -> Any:
        """Reads; a timeout counts only if nothing has arrived."""
        timeout_s = self.gettimeout()
        if timeout_s == 0:
            return receive(*args)
        if self.read_until_s is not None:
            now_s = time.monotonic()
            if self._late_reads.are_over(now_s, self.read_until_s):
                raise TimeoutError("not complete in time")
            left_s = self.read_until_s - now_s
            timeout_s = left_s if timeout_s is None else min(timeout_s, left_s)
        return arrived_first.read(self, receive, *args, timeout_s=timeout_s)


def make_fair(plain: Any) -> FairSocket:
    """Returns a fair socket for a connection; closes the given object."""
    timeout_s = plain.gettimeout()
    fair = FairSocket(plain.family, plain.type, plain.proto, plain.detach())
    fair.settimeout(timeout_s)
    return fair


class FairConnection(urllib3.connection.HTTPConnection):
    """A connection of a pool that reads from a fair socket.

    The read timeout limits the head as a whole. The parser reads interim
    responses until another one comes, each of them within the timeout.
    """

    response_class = strict_response.StrictResponse

    def _new_conn(self) -> FairSocket:
        fair = make_fair(super()._new_conn())
        fair.checks_delivery = True
        return fair

    def getresponse(self) -> Any:
        """Returns the response once its head is complete.

        Raises:
            TimeoutError: It is not complete in time.
        """
        sock: Any = self.sock
        if isinstance(self.timeout, int | float):
            sock.read_until_s = time.monotonic() + self.timeout + HEAD_MARGIN_S
        try:
            return super().getresponse()
        finally:
            sock.read_until_s = None


class FairConnectionPool(urllib3.HTTPConnectionPool):
    """A pool of connections that read from fair sockets."""

    ConnectionCls = FairConnection


class FairHandler(pywsgi.WSGIHandler):
    """Handler of a server's connection that reads from a fair socket.

    A connection ends if no request arrives within `IDLE_TIMEOUT_S`. A request
    that has begun, and its response, have `EXCHANGE_TIMEOUT_S` each.
    """

    def __init__(self, sock: Any, address: Any, server: Any) -> None:
        super().__init__(make_fair(sock), address, server)

    def read_requestline(self) -> str:
        """Returns the first line of the next request.

        Raises:
            TimeoutError: No request has arrived in time.
        """
        self._limit(None, IDLE_TIMEOUT_S)
        line: str = super().read_requestline()
        self._limit(EXCHANGE_TIMEOUT_S, EXCHANGE_TIMEOUT_S)
        return line

    def read_request(self, raw_requestline: str) -> bool:
        """Reads the head as the base class does.

        Raises:
            ValueError: It is invalid, or not complete in time.
        """
        try:
            return bool(super().read_request(raw_requestline))
        except TimeoutError as error:
            # The base class logs a traceback for other errors.
            raise ValueError("the head is not complete in time") from error

    def handle_error(self, kind: Any, error: Any, trace: Any) -> None:
        """Handles an error as the base class does; ends a late send."""
        if not isinstance(error, TimeoutError):
            super().handle_error(kind, error, trace)
            return
        self.log_error("%s did not accept a response", self.client_address)
        self.close_connection = True

    def _limit(self, send_s: float | None, read_s: float) -> None:
        """Limits each send, and all reads from now on, in seconds."""
        sock: Any = self.socket
        sock.settimeout(send_s)
        sock.read_until_s = time.monotonic() + read_s
