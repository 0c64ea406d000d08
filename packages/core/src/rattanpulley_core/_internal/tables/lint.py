"""Remarks on tables that are valid but probably not meant so."""

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
    """Returns the fields of a parsed table that this version does not know.

    They are no faults, because a later schema may define them. Most of them
    are misspelled names of optional fields.

    Args:
        value: JSON value of either table that parses without faults.
    """
    found: list[diagnostics.Diagnostic] = []
    for name, row in value["rows"].items():
        keys = ("rows", name)
        if "match" in row:
            _check_route(keys, row, found)
        else:
            _check_pool(keys, row, found)
    return found


def _check_route(
    keys: tuple[str, ...],
    row: dict[str, Any],
    found: list[diagnostics.Diagnostic],
) -> None:
    _check(keys, row, _ROUTE_FIELDS - {"name"}, found)
    _check((*keys, "match"), row["match"], _fields(rows.Match), found)
    limits = row.get("limits_by_account", {})
    for account, limit in limits.items():
        limit_keys = (*keys, "limits_by_account", account)
        _check(limit_keys, limit, _fields(rows.AccountLimit), found)


def _check_pool(
    keys: tuple[str, ...],
    row: dict[str, Any],
    found: list[diagnostics.Diagnostic],
) -> None:
    _check(keys, row, _POOL_FIELDS, found)
    for name, version in row["versions"].items():
        _check((*keys, "versions", name), version, _VERSION_FIELDS, found)
    for name, target in row["targets"].items():
        _check((*keys, "targets", name), target, _TARGET_FIELDS, found)
    if row.get("move"):
        _check((*keys, "move"), row["move"], _fields(rows.Move), found)


def _fields(cls: type) -> frozenset[str]:
    return _FIELDS_BY_CLASS[cls]


def _check(
    keys: tuple[str, ...],
    holder: dict[str, Any],
    known: frozenset[str],
    found: list[diagnostics.Diagnostic],
) -> None:
    for key in sorted(holder.keys() - known):
        close = difflib.get_close_matches(key, sorted(known), n=1)
        hint = f"Did you mean {close[0]!r}?" if close else "Remove it"
        found.append(
            diagnostics.Diagnostic((*keys, key), "the field is unknown", hint)
        )


def abrupt_weight_increases(
    before: rows.PoolTable, after: rows.PoolTable
) -> list[diagnostics.Diagnostic]:
    """Returns the versions that would get a large share without a move.

    Args:
        before: The pools in force.
        after: The pools that shall be in force.
    """
    found: list[diagnostics.Diagnostic] = []
    for name, pool in after.pools_by_name.items():
        former = before.pools_by_name.get(name)
        if former is None or pool.move is not None:
            continue
        for version, spec in pool.versions_by_name.items():
            old = former.versions_by_name.get(version)
            is_new = old is None or old.weight == 0
            if spec.weight > 0 and is_new and not _moved(former, version):
                found.append(
                    diagnostics.Diagnostic(
                        ("rows", name, "versions", version, "weight"),
                        "the version gets its whole share at once",
                        "Give it weight 0 and use 'rattanpulley move start'",
                    )
                )
    return found


def _moved(former: rows.Pool, version: str) -> bool:
    move = former.move
    return move is not None and move.to_version == version
