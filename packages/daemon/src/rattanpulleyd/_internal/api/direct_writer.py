"""Writes a stream to its connection without a change of greenlets.

An event that passes through the queue of the connection's greenlet costs a
timer, a wake-up of the event loop and two switches. The greenlet that read the
event writes it instead; the connection's greenlet only continues writes that
the socket did not take at once.
"""

import os
from typing import Any

import gevent.event

from rattanpulleyd._internal.api import openai_format


class DirectWriter:
    """Writes the rest of one streamed response."""

    def __init__(self, handler: Any) -> None:
        """Takes the connection over after the first bytes of the body.

        Args:
            handler: The server's handler of the connection.
        """
        self._socket = handler.socket
        self._is_chunked = bool(handler.response_use_chunked)
        self._backlog = bytearray()
        self._is_sending = False
        self._has_written = False
        self._is_over = False
        self._error: OSError | None = None
        self._wake_up = gevent.event.Event()

    def write(self, data: bytes) -> None:
        """Writes data, or keeps it when the socket does not take it.

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
        """Ends `run` once everything is written."""
        self._is_over = True
        self._wake_up.set()

    def run(self, keep_alive_s: float) -> None:
        """Waits for the end of the stream and keeps the connection alive.

        Args:
            keep_alive_s: Time without a write after which a comment is sent.

        Raises:
            OSError: The connection broke.
        """
        while not self._is_over or self._backlog:
            is_awake = self._wake_up.wait(keep_alive_s)
            self._wake_up.clear()
            if self._error is not None:
                raise self._error
            self._send_backlog()
            if not is_awake and not self._has_written:
                self.write(openai_format.KEEP_ALIVE)
            self._has_written = False

    def _send_backlog(self) -> None:
        """Sends what the socket did not take, and what is added meanwhile."""
        self._is_sending = True
        try:
            while self._backlog:
                data = bytes(self._backlog)
                self._backlog.clear()
                self._socket.sendall(data)
        finally:
            self._is_sending = False
