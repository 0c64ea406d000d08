"""Errors of the daemon; the messages are shown to the user."""

from rattanpulley_core import results


class DaemonError(Exception):
    """Base of the errors that this package defines.

    Attributes:
        hint: What the user should do next.
    """

    def __init__(self, message: str, hint: str) -> None:
        super().__init__(f"{message} ({hint})")
        self.hint = hint


class SettingsError(DaemonError):
    """The settings file cannot be read or is not valid.

    Attributes:
        path: JSON path of the invalid value, or the path of the file.
    """

    def __init__(self, path: str, problem: str, hint: str) -> None:
        super().__init__(f"{path}: {problem}", hint)
        self.path = path


class RequestError(Exception):
    """The request fails with a result code that is sent to the caller.

    Attributes:
        code: Result code.
        message: Description of the error, for the caller.
        run_state: Whether the request ran, as far as the daemon knows.
        retry_after_s: Seconds to wait before a retry, or None.
    """

    def __init__(
        self,
        code: results.ResultCode,
        message: str,
        run_state: results.RunState | None = None,
        retry_after_s: int | None = None,
    ) -> None:
        super().__init__(message)
        details = results.DETAILS_BY_CODE[code]
        self.code = code
        self.message = message
        self.run_state = run_state or details.run_state
        self.retry_after_s = (
            details.retry_after_s if retry_after_s is None else retry_after_s
        )
