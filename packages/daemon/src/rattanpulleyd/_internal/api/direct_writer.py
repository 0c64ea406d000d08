"""Writes a stream to its connection without switching greenlets.

An event that passes through the queue of the connection's greenlet costs a
timer, a wake-up of the event loop and two greenlet switches. Instead, the
greenlet that read the event writes it; the connection's greenlet only continues
writes that would have blocked.
"""

import os
from typing import Any

import gevent.event

from rattanpulleyd._internal.api import openai_format


class DirectWriter:
    """Writes the rest of one streamed response."""

    def __init__(self, handler: Any) -> None:
        """Takes over the connection after the first bytes of the body.

        Args:
            handler: The server's handler of the connection.
        """
        self._socket = handler.socket
        self._is_chunked = bool(handler.response_use_chunked)
        self._backlog = bytearray()
        self._is_sending = False
        self._has_written = False
        self._is_finished = False
        self._error: OSError | None = None
        self._wake_up = gevent.event.Event()

    def write(self, data: bytes) -> None:
        """Writes data without blocking and buffers what does not fit.

        An error of the socket is kept and raised by `run`, so that it does not
        reach the calling greenlet.

        Args:
            data: Next bytes of the body.
        """
        if self._is_chunked:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        self._has_written = True
        if self._is_sending or self._backlog:
            self._backlog += data
            return
        try:
            sent = os.write(self._socket.fileno(), data)
        except BlockingIOError:
            sent = 0
        except OSError as error:
            self._error = error
            self._wake_up.set()
            return
        if sent < len(data):
            self._backlog += data[sent:]
            self._wake_up.set()

    def finish(self) -> None:
        """Lets `run` return once everything is written."""
        self._is_finished = True
        self._wake_up.set()

    def run(self, keep_alive_s: float) -> None:
        """Waits for the end of the stream and keeps the connection alive.

        Args:
            keep_alive_s: Seconds without a write after which a keep-alive
                comment is sent.

        Raises:
            OSError: The connection failed.
        """
        while not self._is_finished or self._backlog:
            was_woken = self._wake_up.wait(keep_alive_s)
            self._wake_up.clear()
            if self._error is not None:
                raise self._error
            self._send_backlog()
            if not was_woken and not self._has_written:
                self.write(openai_format.KEEP_ALIVE)
            self._has_written = False

    def _send_backlog(self) -> None:
        """Sends the backlog, including data added while it is sent."""
        self._is_sending = True
        try:
            while self._backlog:
                data = bytes(self._backlog)
                self._backlog.clear()
                self._socket.sendall(data)
        finally:
            self._is_sending = False
