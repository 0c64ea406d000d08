"""Faults of a table and the error that carries all of them."""

from collections.abc import Sequence
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Diagnostic:
    """One thing that is wrong in a table.

    Attributes:
        keys: Keys from the top of the table to the faulty field. Names may
            contain dots, so programs use this instead of `path`.
        problem: What is wrong.
        hint: What to write instead.
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
    """A table has faults.

    Attributes:
        faults: All faults that were found, in the order of the table.
    """

    def __init__(self, diagnostics: Sequence[Diagnostic]) -> None:
        super().__init__("\n".join(str(item) for item in diagnostics))
        self.diagnostics = tuple(diagnostics)
