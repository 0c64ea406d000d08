"""A table in a file, with the lines of its fields."""

from collections.abc import Iterable, Sequence
import dataclasses
import json
import pathlib
from typing import Any

from rattanpulley import exceptions
from rattanpulley._internal.documents import positions
from rattanpulley_core import tables


@dataclasses.dataclass(frozen=True, slots=True)
class TableFile:
    """A file that holds one table.

    Attributes:
        kind: Which table.
        path: Path of the file as the user gave it.
        text: The JSON text.
        value: The decoded value.
    """

    kind: tables.TableKind
    path: str
    text: str
    value: Any

    def located(
        self, found: Iterable[tables.Diagnostic]
    ) -> list["LocatedFault"]:
        """Returns the faults with their lines, in the order of the file."""
        located = [
            LocatedFault(self.path, positions.line_of(self.text, f.keys), f)
            for f in found
        ]
        return sorted(located, key=lambda fault: fault.line)


@dataclasses.dataclass(frozen=True, slots=True)
class LocatedFault:
    """A fault with its place in a file."""

    file: str
    line: int
    fault: tables.Diagnostic

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.fault}"

    def as_json(self) -> dict[str, Any]:
        """Returns the JSON form."""
        return {
            "file": self.file,
            "line": self.line,
            "path": self.fault.path,
            "problem": self.fault.problem,
            "hint": self.fault.hint,
        }


def faults_error(
    located: Sequence[LocatedFault],
) -> exceptions.TableFaultsError:
    """Returns the error that shows the faults."""
    return exceptions.TableFaultsError(
        [str(fault) for fault in located],
        {"faults": [fault.as_json() for fault in located]},
    )


def load(kind: tables.TableKind, path: str) -> TableFile:
    """Reads a table file.

    Raises:
        UsageError: The file cannot be read.
        TableFaultsError: The file is not JSON, or has a key twice.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise exceptions.UsageError(
            f"cannot read {path}: {error}", "Give a readable UTF-8 file"
        ) from error
    duplicates: list[str] = []
    try:
        value = json.loads(
            text, object_pairs_hook=lambda pairs: _unique(pairs, duplicates)
        )
    except json.JSONDecodeError as error:
        fault = tables.Diagnostic(
            (), f"not valid JSON: {error.msg}", "Correct it"
        )
        raise faults_error([LocatedFault(path, error.lineno, fault)]) from error
    if duplicates:
        raise faults_error(
            [
                LocatedFault(path, _line_of_second(text, key), _duplicate(key))
                for key in duplicates
            ]
        )
    return TableFile(kind, path, text, value)


def _unique(
    pairs: list[tuple[str, Any]], duplicates: list[str]
) -> dict[str, Any]:
    fields = dict(pairs)
    if len(fields) != len(pairs):
        names = [key for key, _ in pairs]
        duplicates.extend(key for key in fields if names.count(key) > 1)
    return fields


def _duplicate(key: str) -> tables.Diagnostic:
    return tables.Diagnostic(
        (key,), "the key occurs twice in one object", "Remove one of them"
    )


def _line_of_second(text: str, key: str) -> int:
    """Returns the line of the last occurrence of a key in the text."""
    position = text.rfind(json.dumps(key, ensure_ascii=False))
    return text.count("\n", 0, max(position, 0)) + 1
