"""Errors of the command line; the messages are shown to the user."""

from collections.abc import Sequence
import enum
from typing import Any


class ExitCode(enum.IntEnum):
    """Exit codes; docs/operations/command-line.md describes them."""

    OK = 0
    USAGE = 1
    FAULTS = 2
    CONFLICT = 3
    STORE_UNAVAILABLE = 4
    OUTCOME_UNKNOWN = 5
    NOT_FOUND = 6
    REFUSED = 7
    DAEMON_SILENT = 8


class CommandError(Exception):
    """Base of the errors that end a command.

    Attributes:
        hint: What the user should do next.
        details: JSON value with more about the error, or None.
        exit_code: Exit code of the command.
    """

    exit_code = ExitCode.USAGE

    def __init__(self, message: str, hint: str, details: Any = None) -> None:
        super().__init__(message)
        self.hint = hint
        self.details = details


class UsageError(CommandError):
    """The command line or a file is not usable."""


class TableFaultsError(CommandError):
    """A table has faults; each line names file, line and path."""

    exit_code = ExitCode.FAULTS

    def __init__(self, lines: Sequence[str], details: Any) -> None:
        super().__init__("\n".join(lines), "Correct the faults above", details)


class ConflictError(CommandError):
    """Another change was made first; nothing was written."""

    exit_code = ExitCode.CONFLICT


class StoreUnavailableError(CommandError):
    """The object API gave no clear answer; nothing was written."""

    exit_code = ExitCode.STORE_UNAVAILABLE

    def __init__(self, what: str) -> None:
        super().__init__(
            f"the object API gave no clear answer: {what}",
            "Nothing was written. Try again",
        )


class OutcomeUnknownError(CommandError):
    """A write may or may not have taken effect."""

    exit_code = ExitCode.OUTCOME_UNKNOWN


class NotFoundError(CommandError):
    """What the command names does not exist."""

    exit_code = ExitCode.NOT_FOUND


class RefusedError(CommandError):
    """The state does not allow the command."""

    exit_code = ExitCode.REFUSED
