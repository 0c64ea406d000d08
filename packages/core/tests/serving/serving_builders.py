"""Builds configurations and targets for the tests of the serving package."""

from rattanpulley_core import serving


def route(
    prefix: str = "/a/",
    kind: serving.RouteKind = serving.RouteKind.SAFE,
    **fields: object,
) -> serving.ServingRoute:
    values: dict[str, object] = {
        "name": f"route {prefix}",
        "host": "example",
        "path_prefix": prefix,
        "kind": kind,
        "timeout_s": 1.0,
        "objective_s": 0.2,
        "pools": (serving.WeightedPool("pool", 1.0),),
        "max_attempts": 2,
    }
    return serving.ServingRoute(**(values | fields))  # type: ignore[arg-type]


def config(
    version: int,
    routes: list[serving.ServingRoute] | None = None,
    account_by_key: dict[str, str] | None = None,
) -> serving.ServingConfig:
    keys = {"key": "account"} if account_by_key is None else account_by_key
    return serving.ServingConfig(
        version=version,
        routes_by_host=serving.group_routes(routes or [route()]),
        pools_by_name={"pool": serving.ServingPool("pool")},
        limits=serving.ClientLimits(),
        account_by_key=keys,
        needs_keys=True,
    )


def target(
    target_id: str, domain: str = "north", **fields: object
) -> serving.TargetEntry:
    values: dict[str, object] = {
        "target_id": target_id,
        "pool": "pool",
        "host": "10.0.0.1",
        "port": 1000 + sum(target_id.encode()),
        "domain": domain,
        "version": "v1",
        "slots": 6,
        "leaving": False,
        "warmup_left_s": 0.0,
        "started_ms": 1,
    }
    return serving.TargetEntry(**(values | fields))  # type: ignore[arg-type]
