"""Progress display of the demo, for terminals and for plain output."""

from collections.abc import Sequence
import sys
import time
from typing import TextIO

from rattanpulley_standins._internal.load import record as record_lib

TERMINAL_INTERVAL_S = 0.25
PLAIN_INTERVAL_S = 5.0
BAR_WIDTH = 30
CLEAR_LINE = "\r\x1b[K"


class Display:
    """Prints events and the progress of all answers.

    Args:
        records: Records of the answers; the list may grow.
        output: Stream to print to.
    """

    def __init__(
        self,
        records: Sequence[record_lib.AnswerRecord],
        output: TextIO = sys.stdout,
    ) -> None:
        self._records = records
        self._output = output
        self._is_terminal = output.isatty()
        self._started_s = time.monotonic()
        self._next_s = 0.0

    def print_event(self, text: str) -> None:
        """Prints one line about an event."""
        clear = CLEAR_LINE if self._is_terminal else ""
        self._print(f"{clear}{self._elapsed_s():5.1f} s  {text}\n")

    def print_progress(self) -> None:
        """Prints the progress, at most once per display interval."""
        now_s = time.monotonic()
        if now_s < self._next_s:
            return
        if self._is_terminal:
            self._next_s = now_s + TERMINAL_INTERVAL_S
            self._print(
                f"{CLEAR_LINE}{self._progress_bar()}  {self._progress_text()}"
            )
        else:
            self._next_s = now_s + PLAIN_INTERVAL_S
            self._print(
                f"{self._elapsed_s():5.1f} s  {self._progress_text()}\n"
            )

    def clear_progress(self) -> None:
        """Clears the progress line of a terminal."""
        if self._is_terminal:
            self._print(CLEAR_LINE)

    def _elapsed_s(self) -> float:
        return time.monotonic() - self._started_s

    def _progress_text(self) -> str:
        records = self._records
        received = sum(len(record.token_times_s) for record in records)
        expected = sum(record.checker.expected_length for record in records)
        whole = sum(record.is_complete for record in records)
        return (
            f"{received} of {expected} tokens, {whole} of {len(records)}"
            " answers whole"
        )

    def _progress_bar(self) -> str:
        received = sum(len(r.token_times_s) for r in self._records)
        expected = sum(r.checker.expected_length for r in self._records)
        filled = BAR_WIDTH * received // max(expected, 1)
        return f"[{'#' * filled}{'.' * (BAR_WIDTH - filled)}]"

    def _print(self, text: str) -> None:
        self._output.write(text)
        self._output.flush()
