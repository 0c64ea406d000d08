"""Exceptions of the command line; the user sees their messages."""

from collections.abc import Sequence
import enum
from typing import Any


class ExitCode(enum.IntEnum):
    """Exit codes; docs/operations/command-line.md describes them."""

    OK = 0
    USAGE = 1
    INVALID_TABLE = 2
    CONFLICT = 3
    STORE_UNAVAILABLE = 4
    OUTCOME_UNKNOWN = 5
    NOT_FOUND = 6
    REFUSED = 7
    DAEMON_UNRESPONSIVE = 8


class CommandError(Exception):
    """Base class of the errors that abort a command.

    Attributes:
        hint: What the user should do next, without a final period.
        details: JSON value that describes the error further, or None.
        exit_code: Exit code of the command.
    """

    exit_code = ExitCode.USAGE

    def __init__(self, message: str, hint: str, details: Any = None) -> None:
        super().__init__(message)
        self.hint = hint
        self.details = details


class UsageError(CommandError):
    """The command line is wrong, or a file cannot be read or written."""


class TableFaultsError(CommandError):
    """A table is invalid; the message has one line per error."""

    exit_code = ExitCode.INVALID_TABLE

    def __init__(self, lines: Sequence[str], details: Any) -> None:
        super().__init__("\n".join(lines), "Correct the faults above", details)


class ConflictError(CommandError):
    """Another change was made first, and nothing was written."""

    exit_code = ExitCode.CONFLICT


class StoreUnavailableError(CommandError):
    """The object API is unavailable, and nothing was written."""

    exit_code = ExitCode.STORE_UNAVAILABLE

    def __init__(self, cause: str) -> None:
        super().__init__(
            f"the object API is unavailable: {cause}",
            "Nothing was written. Try again",
        )


class OutcomeUnknownError(CommandError):
    """A write may or may not have taken effect."""

    exit_code = ExitCode.OUTCOME_UNKNOWN


class NotFoundError(CommandError):
    """The object or request given to the command does not exist."""

    exit_code = ExitCode.NOT_FOUND


class RefusedError(CommandError):
    """The command is not allowed in the current state."""

    exit_code = ExitCode.REFUSED
