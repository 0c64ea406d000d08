"""Log lines on standard error, written only when a state changes."""

import sys

import loguru

FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} {message}"


def configure(level: str) -> None:
    """Sends the log lines of the process to standard error.

    Args:
        level: Lowest level that is written.
    """
    loguru.logger.remove()
    # backtrace and diagnose would print the values of local variables, which
    # may be prompts or keys.
    loguru.logger.add(
        sys.stderr, level=level, format=FORMAT, backtrace=False, diagnose=False
    )


class StateLog:
    """Writes a line when the state of a subject changes.

    A failure that repeats each second must not fill the log.
    """

    def __init__(self) -> None:
        self._states_by_subject: dict[str, str] = {}

    def note(self, subject: str, state: str, level: str = "INFO") -> None:
        """Logs `state` unless it is the last one noted for `subject`."""
        if self._states_by_subject.get(subject) == state:
            return
        self._states_by_subject[subject] = state
        loguru.logger.log(level, "{}: {}", subject, state)
