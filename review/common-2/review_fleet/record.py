"""The record that a script leaves: what was sent, answered and run."""

import json
import pathlib
import threading
import time
from typing import Any


class Record:
    """Writes one line for each event; the first field is the time in seconds.

    Attributes:
        started_s: Begin of the record, on the monotonic clock.
    """

    def __init__(self, path: pathlib.Path) -> None:
        """Creates the file."""
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self.started_s = time.monotonic()

    def now_s(self) -> float:
        """Returns the seconds since the begin."""
        return time.monotonic() - self.started_s

    def write(self, event: str, **fields: Any) -> float:
        """Writes one event and returns its time."""
        at_s = self.now_s()
        line = json.dumps(fields, default=str)
        with self._lock:
            self._file.write(f"{at_s:9.3f} {event} {line}\n")
        return at_s

    def close(self) -> None:
        """Closes the file."""
        with self._lock:
            self._file.close()
