"""Selects the route of a request."""

from rattanpulley_core import results
from rattanpulley_core import tables
from rattanpulleyd import exceptions


def generation_route(
    route_table: tables.RouteTable, model: str, name: str
) -> tables.Route:
    """Returns the route of a generation.

    Args:
        route_table: The active route table.
        model: Model name of the request.
        name: Value of the X-Route header; empty to select by model alone.

    Raises:
        exceptions.RequestError: No route matches the request.
    """
    for route in route_table.routes_by_name.values():
        if route.kind is not tables.TargetKind.ENGINE:
            continue
        if route.match.model == model and name in ("", route.name):
            return route
    suffix = f" with X-Route {name!r}" if name else ""
    raise _unknown_route(f"No route serves the model {model!r}{suffix}.")


def service_route(route_table: tables.RouteTable, service: str) -> tables.Route:
    """Returns the route of a call to a plain service.

    Args:
        route_table: The active route table.
        service: Service name in the path of the request.

    Raises:
        exceptions.RequestError: No route matches the request.
    """
    for route in route_table.routes_by_name.values():
        if route.match.service == service:
            return route
    raise _unknown_route(f"No route serves the service {service!r}.")


def models(route_table: tables.RouteTable) -> list[str]:
    """Returns the sorted names of the models that have a route.

    Args:
        route_table: The active route table.
    """
    names = {
        route.match.model
        for route in route_table.routes_by_name.values()
        if route.match.model is not None
    }
    return sorted(names)


def _unknown_route(message: str) -> exceptions.RequestError:
    return exceptions.RequestError(results.ResultCode.UNKNOWN_ROUTE, message)
