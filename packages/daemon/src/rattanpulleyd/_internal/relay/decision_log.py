"""Structured log lines that never block a request.

Each line is one JSON object. Lines wait in a bounded queue. When the reader is
slow, lines about successes are dropped before lines about failures, and the
number of dropped lines is written with the next lines.
"""

from collections import deque
import json
import os
import time
from typing import Any

import gevent
from gevent import os as gevent_os
import loguru

QUEUE_LINES = 2000
# Lines about successes are dropped while at least this many lines wait.
SUCCESS_QUEUE_LINES = 500
WRITE_INTERVAL_S = 0.1
STDOUT_FD = 1


class DecisionLog:
    """Writes one JSON line for each decision."""

    def __init__(self, host_name: str) -> None:
        """Redirects loguru to the queue for standard output.

        Args:
            host_name: Name of the host; every line contains it.
        """
        self._lines: deque[bytes] = deque()
        self._dropped = 0
        loguru.logger.remove()
        # backtrace and diagnose would print local variables, which may be keys.
        loguru.logger.add(
            self._enqueue,
            level="INFO",
            format="{message}",
            backtrace=False,
            diagnose=False,
        )
        self._logger = loguru.logger.bind(host=host_name)

    def success(self, event: str, **fields: Any) -> None:
        """Logs a successful operation; dropped first under load."""
        self._logger.bind(**fields).info(event)

    def change(self, event: str, **fields: Any) -> None:
        """Logs a change of the state of the process."""
        self._logger.bind(**fields).success(event)

    def failure(self, event: str, **fields: Any) -> None:
        """Logs a failure or a refusal."""
        self._logger.bind(**fields).warning(event)

    def _enqueue(self, message: Any) -> None:
        """Queues one line, or counts it as dropped when the queue is full."""
        record = message.record
        is_success = record["level"].name == "INFO"
        limit = SUCCESS_QUEUE_LINES if is_success else QUEUE_LINES
        if len(self._lines) >= limit:
            self._dropped += 1
            return
        line = {
            "time": round(time.time(), 3),
            "event": record["message"],
            **record["extra"],
        }
        if record["exception"] is not None:
            line["error"] = repr(record["exception"].value)
        self._lines.append(json.dumps(line, default=str).encode() + b"\n")

    def write_forever(self) -> None:
        """Writes the queued lines; runs in its own greenlet."""
        gevent_os.make_nonblocking(STDOUT_FD)
        while True:
            gevent.sleep(WRITE_INTERVAL_S)
            self._write_queued()

    def _write_queued(self) -> None:
        if self._dropped:
            count, self._dropped = self._dropped, 0
            summary = {"time": round(time.time(), 3), "event": "log.left_out"}
            summary["lines"] = count
            self._lines.append(json.dumps(summary).encode() + b"\n")
        while self._lines:
            data = b"".join(self._lines)
            self._lines.clear()
            while data:
                data = data[gevent_os.nb_write(STDOUT_FD, data) :]

    def flush_now(self) -> None:
        """Writes the queued lines before exit until a write would block."""
        while self._lines:
            try:
                os.write(STDOUT_FD, self._lines[0])
            except BlockingIOError:
                return
            self._lines.popleft()
