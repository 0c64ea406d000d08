"""Logging to standard error, with one line per state change."""

import sys

import loguru

FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} {message}"


def configure(level: str) -> None:
    """Configures the log to write to standard error.

    Args:
        level: Minimum level of the written lines.
    """
    loguru.logger.remove()
    # backtrace and diagnose would log the values of local variables, which
    # may contain prompts or keys.
    loguru.logger.add(
        sys.stderr, level=level, format=FORMAT, backtrace=False, diagnose=False
    )


class StateLog:
    """Logs a line only when the state of a subject changes.

    Otherwise a failure that recurs every second would fill the log.
    """

    def __init__(self) -> None:
        self._states_by_subject: dict[str, str] = {}

    def log_change(self, subject: str, state: str, level: str = "INFO") -> None:
        """Logs `state` unless it equals the last logged state of `subject`."""
        if self._states_by_subject.get(subject) == state:
            return
        self._states_by_subject[subject] = state
        loguru.logger.log(level, "{}: {}", subject, state)
