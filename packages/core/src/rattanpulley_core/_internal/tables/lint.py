"""Warnings about tables that are valid but probably contain a mistake."""

import dataclasses
import difflib
from typing import Any

from rattanpulley_core._internal.tables import diagnostics
from rattanpulley_core._internal.tables import rows

_FIELDS_BY_CLASS: dict[type, frozenset[str]] = {
    cls: frozenset(field.name for field in dataclasses.fields(cls))
    for cls in (rows.Match, rows.AccountLimit, rows.Move)
}
_ROUTE_FIELDS = frozenset(f.name for f in dataclasses.fields(rows.Route))
_POOL_FIELDS = frozenset({"kind", "versions", "targets", "move"})
_VERSION_FIELDS = frozenset({"weight"})
_TARGET_FIELDS = frozenset({"url", "failure_domain", "version"})


def unknown_fields(value: Any) -> list[diagnostics.Diagnostic]:
    """Returns a warning for each field of a table that the schema lacks.

    Unknown fields are not errors, because a later schema may define them. Most
    of them are misspelled names of optional fields.

    Args:
        value: JSON value of a routes or pools table that parses without errors.
    """
    warnings: list[diagnostics.Diagnostic] = []
    for name, row in value["rows"].items():
        keys = ("rows", name)
        if "match" in row:
            _check_route(keys, row, warnings)
        else:
            _check_pool(keys, row, warnings)
    return warnings


def _check_route(
    keys: tuple[str, ...],
    row: dict[str, Any],
    warnings: list[diagnostics.Diagnostic],
) -> None:
    _check(keys, row, _ROUTE_FIELDS - {"name"}, warnings)
    _check((*keys, "match"), row["match"], _fields(rows.Match), warnings)
    limits = row.get("limits_by_account", {})
    for account, limit in limits.items():
        limit_keys = (*keys, "limits_by_account", account)
        _check(limit_keys, limit, _fields(rows.AccountLimit), warnings)


def _check_pool(
    keys: tuple[str, ...],
    row: dict[str, Any],
    warnings: list[diagnostics.Diagnostic],
) -> None:
    _check(keys, row, _POOL_FIELDS, warnings)
    for name, version in row["versions"].items():
        _check((*keys, "versions", name), version, _VERSION_FIELDS, warnings)
    for name, target in row["targets"].items():
        _check((*keys, "targets", name), target, _TARGET_FIELDS, warnings)
    if row.get("move"):
        _check((*keys, "move"), row["move"], _fields(rows.Move), warnings)


def _fields(cls: type) -> frozenset[str]:
    return _FIELDS_BY_CLASS[cls]


def _check(
    keys: tuple[str, ...],
    fields: dict[str, Any],
    known: frozenset[str],
    warnings: list[diagnostics.Diagnostic],
) -> None:
    for key in sorted(fields.keys() - known):
        close_matches = difflib.get_close_matches(key, sorted(known), n=1)
        hint = (
            f"Did you mean {close_matches[0]!r}?"
            if close_matches
            else "Remove it"
        )
        warnings.append(
            diagnostics.Diagnostic((*keys, key), "the field is unknown", hint)
        )


def abrupt_weight_increases(
    before: rows.PoolTable, after: rows.PoolTable
) -> list[diagnostics.Diagnostic]:
    """Returns a warning for each version that gets a weight without a move.

    A version that is new or had weight 0 receives its whole share of the
    requests at once, unless the previous pool had a move to it. New pools and
    pools with a move are not checked.

    Args:
        before: The stored pools.
        after: The pools that replace them.
    """
    warnings: list[diagnostics.Diagnostic] = []
    for name, pool in after.pools_by_name.items():
        previous = before.pools_by_name.get(name)
        if previous is None or pool.move is not None:
            continue
        for version, spec in pool.versions_by_name.items():
            previous_spec = previous.versions_by_name.get(version)
            is_new = previous_spec is None or previous_spec.weight == 0
            if (
                spec.weight > 0
                and is_new
                and not _was_move_target(previous, version)
            ):
                warnings.append(
                    diagnostics.Diagnostic(
                        ("rows", name, "versions", version, "weight"),
                        "the version gets its whole share at once",
                        "Give it weight 0 and use 'rattanpulley move start'",
                    )
                )
    return warnings


def _was_move_target(previous: rows.Pool, version: str) -> bool:
    move = previous.move
    return move is not None and move.to_version == version
