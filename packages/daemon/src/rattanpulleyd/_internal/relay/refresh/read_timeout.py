"""Time for a read of the store, whose answers may be large."""

from rattanpulley_core import serving

TIMEOUT_GROWTH = 2
# A response of 1 MB takes 1.6 s on a link of 5 Mbit/s.
MAX_TIMEOUT_FACTOR = 4


class ReadTimeout:
    """Timeout that grows while answers arrive too slowly to be complete.

    Attributes:
        current_s: Timeout of the next read.
    """

    def __init__(self, least_s: float) -> None:
        """Creates a timeout.

        Args:
            least_s: Timeout of a read whose answer does not arrive slowly.
        """
        self._least_s = least_s
        self.current_s = least_s

    def record_failure(self, error: serving.SourceError, took_s: float) -> None:
        """Gives the next read more time if an answer was not complete.

        A store that does not answer is not waited for any longer. Refusals
        come sooner than an incomplete answer, which uses up its time.

        Args:
            error: Why the read failed.
            took_s: Time that it took.
        """
        if isinstance(error, serving.SourceTimeoutError):
            self.current_s = self._least_s
        elif took_s >= self.current_s / 2:
            self.current_s = min(
                self.current_s * TIMEOUT_GROWTH,
                self._least_s * MAX_TIMEOUT_FACTOR,
            )

    def record_success(self, took_s: float) -> None:
        """Reduces the time of the next read to what reads need."""
        needed_s = max(self._least_s, took_s * TIMEOUT_GROWTH)
        self.current_s = min(self.current_s, needed_s)
