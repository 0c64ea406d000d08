"""Typed access to the fields of a JSON object that collects all errors."""

from collections.abc import Callable
import dataclasses
import json
import re
from typing import Any, TypeVar

from rattanpulley_core._internal.tables import diagnostics

# Names are used in headers, URLs and object keys, so they are limited to
# characters that do not need escaping there.
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
class ObjectReader:
    """Reads one JSON object of a table.

    Every method returns a value of the declared type. If a field is invalid,
    the method adds a diagnostic and returns a placeholder, so that parsing
    continues and all errors are reported at once.

    Attributes:
        fields: The JSON object.
        keys: Keys from the root of the table to this object.
        errors: Collects the diagnostics; shared by all readers of a table.
    """

    fields: dict[str, Any]
    keys: tuple[str, ...]
    errors: list[diagnostics.Diagnostic]

    def report(self, key: str, problem: str, hint: str) -> None:
        """Adds a diagnostic for a field of this object."""
        self.errors.append(
            diagnostics.Diagnostic((*self.keys, key), problem, hint)
        )

    def report_object(self, problem: str, hint: str) -> None:
        """Adds a diagnostic for this object as a whole."""
        self.errors.append(diagnostics.Diagnostic(self.keys, problem, hint))

    def report_missing(self, key: str, hint: str) -> None:
        """Adds a diagnostic for a field that this object lacks."""
        self.report(key, "the field is missing", hint)

    def text(self, key: str, default: str | None = None) -> str:
        """Returns a non-empty string; required without a default."""
        value = self.fields.get(key, default)
        if isinstance(value, str) and value:
            return value
        self._report_invalid(key, "a string that is not empty")
        return ""

    def optional_text(self, key: str) -> str | None:
        """Returns a non-empty string, or None if absent or null."""
        if self.fields.get(key) is None:
            return None
        return self.text(key)

    def name(self, key: str) -> str:
        """Returns a required field that is a valid name, see `is_name`."""
        value = self.text(key)
        if value and not is_name(value):
            self.report(key, f"{value!r} is not a valid name", _NAME_HINT)
        return value

    def boolean(self, key: str, default: bool) -> bool:
        """Returns a boolean."""
        value = self.fields.get(key, default)
        if isinstance(value, bool):
            return value
        self._report_invalid(key, "true or false")
        return default

    def integer(self, key: str, low: int, high: int, default: int) -> int:
        """Returns an integer between `low` and `high`, both inclusive."""
        value = self.fields.get(key, default)
        if type(value) is int and low <= value <= high:
            return value
        self._report_invalid(key, f"a whole number from {low} to {high}")
        return default

    def number(
        self, key: str, low: float, high: float, default: float | None = None
    ) -> float:
        """Returns a number between `low` and `high`, both inclusive.

        The field is required without a default.
        """
        value = self.fields.get(key, default)
        is_number = isinstance(value, int | float) and value is not True
        # The comparison is false for NaN and for infinities.
        if value is not None and is_number and low <= value <= high:
            return float(value)
        self._report_invalid(key, f"a number from {low:g} to {high:g}")
        return low

    def child(self, key: str) -> "ObjectReader":
        """Returns a reader of a required nested object."""
        value = self.fields.get(key)
        if not isinstance(value, dict):
            self._report_invalid(key, "an object")
            value = {}
        return ObjectReader(value, (*self.keys, key), self.errors)

    def optional_child(self, key: str) -> "ObjectReader | None":
        """Returns a reader of a nested object, or None if absent or null."""
        if self.fields.get(key) is None:
            return None
        return self.child(key)

    def children(
        self, key: str, required: bool = True
    ) -> "dict[str, ObjectReader]":
        """Returns readers of the objects in a nested map, by key."""
        if not required and key not in self.fields:
            return {}
        object_reader = self.child(key)
        return {
            name: object_reader.child(name) for name in object_reader.fields
        }

    def check_names(self, readers_by_name: "dict[str, ObjectReader]") -> None:
        """Reports the keys that are not valid names."""
        for name, reader in readers_by_name.items():
            if not is_name(name):
                reader.report_object(
                    f"{name!r} is not a valid name", _NAME_HINT
                )

    def _report_invalid(self, key: str, expected: str) -> None:
        if key in self.fields:
            shown = json.dumps(self.fields[key], default=repr)
            if len(shown) > 60:
                shown = shown[:57] + "..."
            self.report(key, f"{shown} is not valid", f"Give {expected}")
        else:
            self.report_missing(key, f"Give {expected}")


def parse_rows(
    value: Any, parse_row: Callable[[str, ObjectReader], _Row]
) -> dict[str, _Row]:
    """Parses the rows of a table.

    Unknown fields are ignored, because later schemas only add fields.

    Args:
        value: The decoded JSON value of the stored object.
        parse_row: Parses one row, given its name and a reader of its fields.

    Raises:
        TableValidationError: The table is invalid; carries all errors.
    """
    errors: list[diagnostics.Diagnostic] = []
    rows_by_name = {
        name: parse_row(name, row)
        for name, row in _read_table(value, errors).items()
    }
    if errors:
        raise diagnostics.TableValidationError(errors)
    return rows_by_name


def _read_table(
    value: Any, errors: list[diagnostics.Diagnostic]
) -> dict[str, ObjectReader]:
    """Validates the top level of a table and returns readers of its rows.

    A schema above 1 is accepted, because later schemas only add fields.
    """
    if not isinstance(value, dict):
        errors.append(
            diagnostics.Diagnostic(
                (),
                "the table is not an object",
                'Give {"schema": 1, "rows": {...}}',
            )
        )
        return {}
    table = ObjectReader(value, (), errors)
    if "schema" not in table.fields:
        table.report_missing("schema", "Give 1")
    else:
        table.integer("schema", 1, 1_000_000, 1)
    rows_by_name = table.children("rows")
    table.check_names(rows_by_name)
    return rows_by_name
