"""Diagnostics of a table, and the exception that carries them."""

from collections.abc import Sequence
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Diagnostic:
    """An error or a warning about one field of a table.

    Attributes:
        keys: Keys from the root of the table to the field. Names may contain
            dots, so programs use this instead of `path`.
        problem: Description of the problem.
        hint: How to correct it.
    """

    keys: tuple[str, ...]
    problem: str
    hint: str

    @property
    def path(self) -> str:
        """The keys joined by dots, such as `rows.assistant.deadline_s`."""
        return ".".join(self.keys)

    def __str__(self) -> str:
        return f"{self.path or '(table)'}: {self.problem}. {self.hint}"


class TableValidationError(Exception):
    """A table is invalid.

    Attributes:
        diagnostics: All errors of the table, in the order of its rows.
    """

    def __init__(self, diagnostics: Sequence[Diagnostic]) -> None:
        super().__init__("\n".join(str(item) for item in diagnostics))
        self.diagnostics = tuple(diagnostics)
