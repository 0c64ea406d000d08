"""Edits of the move in a row of the pools table.

Each function returns a new pools table and preserves unknown fields.
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
        from_version: Version that the requests leave; None means the only one
            in use.
        to_version: Version that receives the requests.
        start_at_s: Start of the move.
        finish_by_s: Time by which the old version must have no requests.
        replace: Whether to replace another move of the pool.
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

    A new version is added with weight 0, so that it gets requests only through
    the move.

    Raises:
        NotFoundError: The pool does not exist.
        RefusedError: The pool has another move, or the old version is
            ambiguous.
    """
    table: dict[str, Any] = copy.deepcopy(value)
    row = _pool_row(table, plan.pool)
    current = row.get("move")
    if current and not plan.replace and not current.get("taken_back"):
        raise exceptions.RefusedError(
            f"pool {plan.pool} has the move {current.get('move_id')!r}",
            "Use --replace to replace it by the new move",
        )
    versions = row.setdefault("versions", {})
    from_version = plan.from_version or _default_from_version(row, plan)
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
    """Returns the pools table with the move paused at a Unix time.

    Raises:
        NotFoundError: The pool does not exist or has no move.
        RefusedError: The move is already paused or taken back.
    """
    table: dict[str, Any] = copy.deepcopy(value)
    move = _active_move(table, pool)
    if move.get("paused"):
        raise exceptions.RefusedError(
            f"the move of pool {pool} is paused",
            "Use 'move pause --off' to continue it",
        )
    move["paused"] = True
    move["paused_at_s"] = now_s
    return table


def resume(value: Any, pool: str) -> dict[str, Any]:
    """Returns the pools table with the paused move resumed.

    Raises:
        NotFoundError: The pool does not exist or has no move.
        RefusedError: The move is not paused, or it is taken back.
    """
    table: dict[str, Any] = copy.deepcopy(value)
    move = _active_move(table, pool)
    if not move.get("paused"):
        raise exceptions.RefusedError(
            f"the move of pool {pool} is not paused", "There is nothing to do"
        )
    move["paused"] = False
    move.pop("paused_at_s", None)
    return table


def take_back(value: Any, pool: str) -> dict[str, Any]:
    """Returns the pools table with the move taken back.

    Raises:
        NotFoundError: The pool does not exist or has no move.
        RefusedError: The move is already taken back.
    """
    table: dict[str, Any] = copy.deepcopy(value)
    _active_move(table, pool)["taken_back"] = True
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


def _active_move(table: Any, pool: str) -> dict[str, Any]:
    """Returns the move of a pool, which must not be taken back."""
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


def _default_from_version(row: dict[str, Any], plan: MovePlan) -> str:
    """Returns the old version of the current move, or the only one in use."""
    current = row.get("move") or {}
    if current.get("from_version"):
        return str(current["from_version"])
    in_use: list[str] = [
        name
        for name, spec in row["versions"].items()
        if name != plan.to_version and spec.get("weight", 1) > 0
    ]
    if len(in_use) != 1:
        raise exceptions.RefusedError(
            "cannot determine the old version; versions in use: "
            f"{', '.join(in_use) or 'none'}",
            "Name it with --from",
        )
    return in_use[0]
