"""Output for tables and their changes."""

from collections.abc import Sequence
from typing import Any

from rattanpulley import exceptions
from rattanpulley._internal.documents import table_file
from rattanpulley._internal.moves import times
from rattanpulley._internal.store import table_reader
from rattanpulley._internal.store import table_writer
from rattanpulley._internal.views import text
from rattanpulley_core import tables


def table_output(stored: table_reader.StoredTable) -> text.Output:
    """Returns the output with the rows of a table."""
    entry = stored.entry
    data = {
        "table": stored.kind.value,
        "version": stored.version,
        "value": tables.without_change_entry(stored.value),
        "changed_by": entry.who if entry else None,
    }
    title = f"{stored.kind.value} version {stored.version}"
    if entry is not None:
        title += f", changed {times.format_time(entry.wall_s)} by {entry.who}"
    # A table written by another program need not follow the schema.
    rows = _as_objects(tables.without_change_entry(stored.value).get("rows"))
    if stored.kind is tables.TableKind.ROUTES:
        grid = _route_grid(rows)
    else:
        grid = _pool_grid(rows)
    return text.Output(data, [text.printable(title), grid])


def _route_grid(rows: dict[str, Any]) -> text.Grid:
    headers = ("route", "kind", "matches", "pool", "repeatable", "deadline_s")
    cells = []
    for name, row in sorted(rows.items()):
        match = _as_object(row.get("match"))
        cells.append(
            (
                text.printable(name),
                text.cell(row.get("kind")),
                text.cell(match.get("model") or match.get("service")),
                text.cell(row.get("pool")),
                text.cell(row.get("repeatable", True)),
                text.cell(row.get("deadline_s", 600.0)),
            )
        )
    return text.Grid(headers, cells)


def _pool_grid(rows: dict[str, Any]) -> text.Grid:
    headers = ("pool", "kind", "versions", "targets", "move", "finish by")
    cells = []
    for name, row in sorted(rows.items()):
        versions = _as_objects(row.get("versions"))
        shares = [f"{v}:{s.get('weight', 1)}" for v, s in versions.items()]
        move, finish_by = _move_cells(_as_object(row.get("move")))
        cells.append(
            (
                text.printable(name),
                text.cell(row.get("kind")),
                text.cell(" ".join(shares)),
                text.cell(len(_as_object(row.get("targets")))),
                move,
                finish_by,
            )
        )
    return text.Grid(headers, cells)


def _as_object(value: Any) -> dict[str, Any]:
    return value if isinstance(value, dict) else {}


def _as_objects(value: Any) -> dict[str, dict[str, Any]]:
    return {name: _as_object(row) for name, row in _as_object(value).items()}


def _move_cells(move: dict[str, Any]) -> tuple[str, str]:
    if not move:
        return "-", "-"
    state = ""
    if move.get("paused"):
        state = " (paused)"
    if move.get("taken_back"):
        state = " (taken back)"
    versions_text = (
        f"{move.get('from_version')} to {move.get('to_version')}{state}"
    )
    finish_by_s = move.get("finish_by_s")
    if not isinstance(finish_by_s, int | float):
        return text.cell(versions_text), text.cell(finish_by_s)
    return text.cell(versions_text), times.format_time(finish_by_s)


def change_output(
    kind: tables.TableKind, applied: table_writer.ApplyResult
) -> text.Output:
    """Returns the output with the result of a change."""
    data = {
        "table": kind.value,
        "version": applied.version,
        "changed": bool(applied.changes),
        "change_id": applied.change_id,
        "read_back": applied.read_back,
        "changes": [text.change_json(change) for change in applied.changes],
    }
    if not applied.changes:
        line = f"no difference; {kind.value} stays at version {applied.version}"
        return text.Output(data, [line])
    blocks: list[str | text.Grid] = [text.change_grid(applied.changes)]
    if applied.read_back:
        blocks.append(
            "a response was lost; reading the table confirmed the change"
        )
    blocks.append(f"{kind.value} is now at version {applied.version}")
    return text.Output(data, blocks)


def weight_warnings(
    stored: table_reader.StoredTable, file: table_file.TableFile
) -> Sequence[table_file.LocatedDiagnostic]:
    """Returns a warning for each weight that a pools file adds abruptly."""
    if stored.kind is not tables.TableKind.POOLS or stored.version == 0:
        return []
    try:
        before = tables.parse_pools(stored.value, stored.version)
    except tables.TableValidationError:
        return []
    after = tables.parse_pools(file.value, stored.version)
    return file.locate(tables.abrupt_weight_increases(before, after))


def validation_error(
    error: tables.TableValidationError, file: table_file.TableFile | None
) -> exceptions.TableFaultsError:
    """Returns the exception for a table that failed validation.

    Errors of consistency between the tables have paths of the routes table, so
    line numbers are known only when the file has the routes table.
    """
    if file is not None and file.kind is tables.TableKind.ROUTES:
        return table_file.diagnostics_error(file.locate(error.diagnostics))
    return table_file.stored_table_error(
        tables.TableKind.ROUTES, error.diagnostics
    )
