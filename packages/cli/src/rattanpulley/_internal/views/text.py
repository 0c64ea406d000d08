"""Text output: grids, cells and lines."""

from collections.abc import Sequence
import dataclasses
import json
from typing import Any

from rattanpulley_core import tables

MAX_CELL_CHARS = 60


@dataclasses.dataclass(frozen=True, slots=True)
class Grid:
    """A text table to print."""

    headers: tuple[str, ...]
    rows: Sequence[tuple[str, ...]]


@dataclasses.dataclass(frozen=True, slots=True)
class Output:
    """Output of a command.

    Attributes:
        data: JSON value for `--json`; None prints nothing.
        blocks: Lines and grids of the text output.
        exit_code: Exit code of the command.
    """

    data: Any
    blocks: Sequence[str | Grid]
    exit_code: int = 0


def printable(text: str) -> str:
    """Returns a text with control characters replaced by question marks.

    Stored texts come from other users and may contain terminal escape
    sequences.
    """
    return "".join(c if c.isprintable() else "?" for c in text)


def cell(value: Any) -> str:
    """Returns a JSON value as the text of a cell, or a dash for None.

    Texts longer than `MAX_CELL_CHARS` are truncated.
    """
    if value is None:
        return "-"
    text = value if isinstance(value, str) else json.dumps(value)
    if len(text) > MAX_CELL_CHARS:
        text = text[: MAX_CELL_CHARS - 3] + "..."
    return printable(text)


def change_grid(changes: Sequence[tables.FieldChange]) -> Grid:
    """Returns a grid of changed fields."""
    return Grid(
        ("field", "before", "after"),
        [(printable(c.path), cell(c.before), cell(c.after)) for c in changes],
    )


def change_json(change: tables.FieldChange) -> dict[str, Any]:
    """Returns the JSON form of a changed field."""
    return {
        "path": change.path,
        "keys": list(change.keys),
        "before": change.before,
        "after": change.after,
    }
