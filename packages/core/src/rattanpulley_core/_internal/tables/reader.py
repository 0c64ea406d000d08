"""Typed access to the fields of a JSON object that collects all faults."""

from collections.abc import Callable
import dataclasses
import json
import re
from typing import Any, TypeVar

from rattanpulley_core._internal.tables import diagnostics

# Names occur in headers, URLs and object keys, so they are limited to
# characters that need no escaping there.
_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_NAME_HINT = (
    "Use 1 to 63 letters, digits, dots, dashes or underscores, starting with"
    " a letter or digit"
)

_Row = TypeVar("_Row")


def is_name(text: str) -> bool:
    """Returns whether `text` can be the name of a row, target or version."""
    return _NAME_PATTERN.fullmatch(text) is not None


@dataclasses.dataclass(frozen=True, slots=True)
class Reader:
    """One JSON object of a table with its position.

    Every method returns a usable value of the right type. If the field is
    wrong it adds a fault and returns a placeholder, so that reading continues
    and all faults are reported at once.

    Attributes:
        fields: The JSON object.
        keys: Keys from the top of the table to this object.
        found: List that receives the faults; shared by all readers.
    """

    fields: dict[str, Any]
    keys: tuple[str, ...]
    found: list[diagnostics.Diagnostic]

    def report(self, key: str, problem: str, hint: str) -> None:
        """Adds a fault at a field of this object."""
        self.found.append(
            diagnostics.Diagnostic((*self.keys, key), problem, hint)
        )

    def text(self, key: str, default: str | None = None) -> str:
        """Returns a string that is not empty; required without default."""
        value = self.fields.get(key, default)
        if isinstance(value, str) and value:
            return value
        self._report_type(key, "a string that is not empty")
        return ""

    def optional_text(self, key: str) -> str | None:
        """Returns a string that is not empty, or None if absent or null."""
        if self.fields.get(key) is None:
            return None
        return self.text(key)

    def name(self, key: str) -> str:
        """Returns a required name."""
        value = self.text(key)
        if value and not is_name(value):
            self.report(key, f"{value!r} is not a valid name", _NAME_HINT)
        return value

    def flag(self, key: str, default: bool) -> bool:
        """Returns true or false."""
        value = self.fields.get(key, default)
        if isinstance(value, bool):
            return value
        self._report_type(key, "true or false")
        return default

    def integer(self, key: str, low: int, high: int, default: int) -> int:
        """Returns an integer from `low` to `high`, both included."""
        value = self.fields.get(key, default)
        if type(value) is int and low <= value <= high:
            return value
        self._report_type(key, f"a whole number from {low} to {high}")
        return default

    def number(
        self, key: str, low: float, high: float, default: float | None = None
    ) -> float:
        """Returns a finite number; required without default."""
        value = self.fields.get(key, default)
        is_number = isinstance(value, int | float) and value is not True
        # The comparison is false for NaN and refuses the infinities.
        if value is not None and is_number and low <= value <= high:
            return float(value)
        self._report_type(key, f"a number from {low:g} to {high:g}")
        return low

    def child(self, key: str) -> "Reader":
        """Returns a reader of a required object."""
        value = self.fields.get(key)
        if not isinstance(value, dict):
            self._report_type(key, "an object")
            value = {}
        return Reader(value, (*self.keys, key), self.found)

    def optional_child(self, key: str) -> "Reader | None":
        """Returns a reader of an object, or None if absent or null."""
        if self.fields.get(key) is None:
            return None
        return self.child(key)

    def children(self, key: str, required: bool = True) -> "dict[str, Reader]":
        """Returns readers of the objects of a map, by their names."""
        if not required and key not in self.fields:
            return {}
        holder = self.child(key)
        return {name: holder.child(name) for name in holder.fields}

    def check_names(self, readers_by_name: "dict[str, Reader]") -> None:
        """Reports the keys of a map that are not valid names."""
        for name, reader in readers_by_name.items():
            if not is_name(name):
                self.found.append(
                    diagnostics.Diagnostic(
                        reader.keys, f"{name!r} is not a valid name", _NAME_HINT
                    )
                )

    def _report_type(self, key: str, expected: str) -> None:
        if key in self.fields:
            shown = json.dumps(self.fields[key], default=repr)
            if len(shown) > 60:
                shown = shown[:57] + "..."
            self.report(key, f"{shown} is not valid", f"Give {expected}")
        else:
            self.report(key, "the field is missing", f"Give {expected}")


def parse_rows(
    value: Any, parse_row: Callable[[str, Reader], _Row]
) -> dict[str, _Row]:
    """Parses the rows of a table.

    Unknown fields are ignored, because later schemas only add fields.

    Args:
        value: The decoded JSON value of the stored object.
        parse_row: Returns the row of a name and a reader.

    Raises:
        TableValidationError: With all faults.
    """
    found: list[diagnostics.Diagnostic] = []
    rows_by_name = {
        name: parse_row(name, row)
        for name, row in _open_table(value, found).items()
    }
    if found:
        raise diagnostics.TableValidationError(found)
    return rows_by_name


def _open_table(
    value: Any, found: list[diagnostics.Diagnostic]
) -> dict[str, Reader]:
    """Checks the frame of a table and returns readers of its rows by name.

    A schema above 1 is accepted, because later schemas only add fields.
    """
    if not isinstance(value, dict):
        found.append(
            diagnostics.Diagnostic(
                (),
                "the table is not an object",
                'Give {"schema": 1, "rows": {...}}',
            )
        )
        return {}
    table = Reader(value, (), found)
    if "schema" not in table.fields:
        table.report("schema", "the field is missing", "Give 1")
    else:
        table.integer("schema", 1, 1_000_000, 1)
    rows_by_name = table.children("rows")
    table.check_names(rows_by_name)
    return rows_by_name
