"""Edits of the move in a pool row.

Each function returns a new pools table and keeps all fields it does not know.
"""

import copy
import dataclasses
from typing import Any

from rattanpulley import exceptions


@dataclasses.dataclass(frozen=True, slots=True)
class MovePlan:
    """A move that an operator plans; times are Unix seconds.

    Attributes:
        pool: Name of the pool.
        move_id: Unique name of the move.
        from_version: Version to empty, or None for the only one in use.
        to_version: Version that takes over.
        start_at_s: Start of the move.
        finish_by_s: Time by which the old version must be empty.
        replace: Whether another move of the pool is replaced.
    """

    pool: str
    move_id: str
    from_version: str | None
    to_version: str
    start_at_s: float
    finish_by_s: float
    replace: bool


def start(value: Any, plan: MovePlan) -> dict[str, Any]:
    """Returns the pools table with a new move.

    A new version is added with weight 0, so that it gets requests only by the
    move.

    Raises:
        NotFoundError: There is no such pool.
        RefusedError: Another move is in the row, or the old version is
            ambiguous.
    """
    table: dict[str, Any] = copy.deepcopy(value)
    row = _pool_row(table, plan.pool)
    present = row.get("move")
    if present and not plan.replace and not present.get("taken_back"):
        raise exceptions.RefusedError(
            f"pool {plan.pool} has the move {present.get('move_id')!r}",
            "Use --replace to replace it by the new move",
        )
    versions = row.setdefault("versions", {})
    from_version = plan.from_version or _only_version(row, plan)
    versions.setdefault(plan.to_version, {"weight": 0})
    row["move"] = {
        "move_id": plan.move_id,
        "from_version": from_version,
        "to_version": plan.to_version,
        "start_at_s": plan.start_at_s,
        "finish_by_s": plan.finish_by_s,
    }
    return table


def pause(value: Any, pool: str, now_s: float) -> dict[str, Any]:
    """Returns the pools table with the move paused at a wall time.

    Raises:
        NotFoundError: There is no such pool or no move.
        RefusedError: The move is paused or taken back already.
    """
    table: dict[str, Any] = copy.deepcopy(value)
    move = _running_move(table, pool)
    if move.get("paused"):
        raise exceptions.RefusedError(
            f"the move of pool {pool} is paused",
            "Use 'move pause --off' to continue it",
        )
    move["paused"] = True
    move["paused_at_s"] = now_s
    return table


def resume(value: Any, pool: str) -> dict[str, Any]:
    """Returns the pools table with the paused move continued.

    Raises:
        NotFoundError: There is no such pool or no move.
        RefusedError: The move is not paused, or it is taken back.
    """
    table: dict[str, Any] = copy.deepcopy(value)
    move = _running_move(table, pool)
    if not move.get("paused"):
        raise exceptions.RefusedError(
            f"the move of pool {pool} is not paused", "Nothing is to be done"
        )
    move["paused"] = False
    move.pop("paused_at_s", None)
    return table


def take_back(value: Any, pool: str) -> dict[str, Any]:
    """Returns the pools table with the move taken back.

    Raises:
        NotFoundError: There is no such pool or no move.
        RefusedError: The move is taken back already.
    """
    table: dict[str, Any] = copy.deepcopy(value)
    _running_move(table, pool)["taken_back"] = True
    return table


def _pool_row(table: Any, pool: str) -> dict[str, Any]:
    rows = table.get("rows") if isinstance(table, dict) else None
    row = rows.get(pool) if isinstance(rows, dict) else None
    if not isinstance(row, dict):
        raise exceptions.NotFoundError(
            f"there is no pool {pool!r}",
            "List the pools with 'rattanpulley get pools'",
        )
    return row


def _running_move(table: Any, pool: str) -> dict[str, Any]:
    move = _pool_row(table, pool).get("move")
    if not isinstance(move, dict):
        raise exceptions.NotFoundError(
            f"pool {pool!r} has no move",
            "Start one with 'rattanpulley move start'",
        )
    if move.get("taken_back"):
        raise exceptions.RefusedError(
            f"the move {move.get('move_id')!r} is taken back",
            "Start a new move with 'rattanpulley move start'",
        )
    return move


def _only_version(row: dict[str, Any], plan: MovePlan) -> str:
    present = row.get("move") or {}
    if present.get("from_version"):
        return str(present["from_version"])
    in_use: list[str] = [
        name
        for name, spec in row["versions"].items()
        if name != plan.to_version and spec.get("weight", 1) > 0
    ]
    if len(in_use) != 1:
        raise exceptions.RefusedError(
            f"the old version is not clear: {', '.join(in_use) or 'none'}",
            "Name it with --from",
        )
    return in_use[0]
