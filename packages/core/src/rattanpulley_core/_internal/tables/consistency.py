"""Consistency checks between the routes and the pools table."""

from rattanpulley_core._internal.tables import diagnostics
from rattanpulley_core._internal.tables import rows


def check_consistency(
    routes: rows.RouteTable, pools: rows.PoolTable
) -> list[diagnostics.Diagnostic]:
    """Returns the inconsistencies between the two tables.

    The pool of a route must exist and have the kind of the route, and no two
    routes may match the same requests. The paths refer to the routes table.
    """
    errors: list[diagnostics.Diagnostic] = []
    names_by_match: dict[rows.Match, str] = {}
    for name, route in routes.routes_by_name.items():
        _check_pool(route, pools, errors)
        first = names_by_match.setdefault(route.match, name)
        if first != name:
            errors.append(
                diagnostics.Diagnostic(
                    ("rows", name, "match"),
                    f"route {first!r} matches the same requests",
                    "Remove one of the routes or change its match",
                )
            )
    return errors


def _check_pool(
    route: rows.Route,
    pools: rows.PoolTable,
    errors: list[diagnostics.Diagnostic],
) -> None:
    keys = ("rows", route.name, "pool")
    pool = pools.pools_by_name.get(route.pool)
    if pool is None:
        known = ", ".join(sorted(pools.pools_by_name)) or "none"
        errors.append(
            diagnostics.Diagnostic(
                keys,
                f"there is no pool {route.pool!r}",
                f"Use a pool of the pools table ({known})",
            )
        )
    elif pool.kind is not route.kind:
        errors.append(
            diagnostics.Diagnostic(
                keys,
                f"pool {pool.name!r} is of kind {pool.kind.value}, the route"
                f" of kind {route.kind.value}",
                "Use a pool of the route's kind",
            )
        )
