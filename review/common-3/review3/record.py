"""The record of a script: what was sent, answered and run."""

import pathlib
import threading
import time


class Record:
    """Lines with the seconds since the start of the script."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._lock = threading.Lock()
        self._started_s = time.monotonic()

    def write(self, text: str) -> None:
        """Writes a line."""
        at_s = time.monotonic() - self._started_s
        with self._lock:
            if not self._file.closed:
                self._file.write(f"{at_s:8.3f} {text}\n")
                self._file.flush()

    def say(self, text: str) -> None:
        """Writes a line and prints it."""
        self.write(text)
        print(text, flush=True)

    def close(self) -> None:
        """Ends the record."""
        with self._lock:
            self._file.close()
