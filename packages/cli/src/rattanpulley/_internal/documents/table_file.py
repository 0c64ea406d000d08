"""Table files, with the line numbers of their fields."""

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
    """A file with one table.

    Attributes:
        kind: Kind of the table.
        path: Path of the file as the user gave it.
        text: The JSON text.
        value: The decoded JSON value.
    """

    kind: tables.TableKind
    path: str
    text: str
    value: Any

    def locate(
        self, diagnostics: Iterable[tables.Diagnostic]
    ) -> list["LocatedDiagnostic"]:
        """Returns diagnostics with their line numbers, sorted by line."""
        located = [
            LocatedDiagnostic(
                self.path, positions.line_number(self.text, item.keys), item
            )
            for item in diagnostics
        ]
        return sorted(located, key=lambda item: item.line)


@dataclasses.dataclass(frozen=True, slots=True)
class LocatedDiagnostic:
    """A diagnostic with its file and line.

    Attributes:
        file: Path of the file as the user gave it.
        line: Line number, from 1.
        diagnostic: The error or warning.
    """

    file: str
    line: int
    diagnostic: tables.Diagnostic

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.diagnostic}"

    def to_json(self) -> dict[str, Any]:
        """Returns the JSON form."""
        return {
            "file": self.file,
            "line": self.line,
            **_diagnostic_json(self.diagnostic),
        }


def diagnostics_error(
    located: Sequence[LocatedDiagnostic],
) -> exceptions.TableFaultsError:
    """Returns the exception that reports the errors of table files."""
    return exceptions.TableFaultsError(
        [str(item) for item in located],
        {"faults": [item.to_json() for item in located]},
    )


def stored_table_error(
    kind: tables.TableKind, diagnostics: Sequence[tables.Diagnostic]
) -> exceptions.TableFaultsError:
    """Returns the exception that reports the errors of a stored table."""
    return exceptions.TableFaultsError(
        [f"{kind.key}: {item}" for item in diagnostics],
        {"faults": [_diagnostic_json(item) for item in diagnostics]},
    )


def _diagnostic_json(diagnostic: tables.Diagnostic) -> dict[str, Any]:
    return {
        "path": diagnostic.path,
        "problem": diagnostic.problem,
        "hint": diagnostic.hint,
    }


def load(kind: tables.TableKind, path: str) -> TableFile:
    """Reads a table file without validating the table.

    Raises:
        UsageError: The file cannot be read.
        TableFaultsError: The file is not valid JSON, or an object has a
            duplicate key.
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
            text,
            object_pairs_hook=lambda pairs: _decode_object(pairs, duplicates),
        )
    except json.JSONDecodeError as error:
        diagnostic = tables.Diagnostic(
            (), f"not valid JSON: {error.msg}", "Correct it"
        )
        raise diagnostics_error(
            [LocatedDiagnostic(path, error.lineno, diagnostic)]
        ) from error
    if duplicates:
        raise diagnostics_error(
            [
                LocatedDiagnostic(
                    path,
                    _last_line_number(text, key),
                    _duplicate_key_diagnostic(key),
                )
                for key in duplicates
            ]
        )
    return TableFile(kind, path, text, value)


def _decode_object(
    pairs: list[tuple[str, Any]], duplicates: list[str]
) -> dict[str, Any]:
    """Returns the object of key-value pairs; appends its duplicate keys."""
    fields = dict(pairs)
    if len(fields) != len(pairs):
        names = [key for key, _ in pairs]
        duplicates.extend(key for key in fields if names.count(key) > 1)
    return fields


def _duplicate_key_diagnostic(key: str) -> tables.Diagnostic:
    return tables.Diagnostic(
        (key,), "the key occurs twice in one object", "Remove one of them"
    )


def _last_line_number(text: str, key: str) -> int:
    """Returns the line number, from 1, of the last occurrence of a key."""
    position = text.rfind(json.dumps(key, ensure_ascii=False))
    return text.count("\n", 0, max(position, 0)) + 1
