"""Cost of the tables by the number of targets and of account limits."""

import json
import time
import tracemalloc
from typing import Any

from rattanpulley_core import tables
from rattanpulley_standins._internal.measure import samples

TARGET_COUNTS = (100, 300, 600)
ACCOUNT_COUNTS = (1_000, 10_000, 20_000)
REPEATS = 20
COMMAND = "make measure"
US_PER_S = 1e6


def measure() -> list[samples.Slope]:
    """Returns the slopes of the tables part."""
    pools = [_pools(count) for count in TARGET_COUNTS]
    routes = [_routes(count) for count in ACCOUNT_COUNTS]
    return [
        _fit("tables.pools_bytes", "targets", "bytes", pools, _encoded_bytes),
        _fit("tables.pools_offer_us", "targets", "us", pools, _pools_offer_us),
        _fit("tables.pools_memory_bytes", "targets", "bytes", pools, _memory),
        _fit(
            "tables.routes_bytes",
            "accounts with a limit of their own",
            "bytes",
            routes,
            _encoded_bytes,
        ),
        _fit(
            "tables.routes_offer_us",
            "accounts with a limit of their own",
            "us",
            routes,
            _routes_offer_us,
        ),
    ]


def _fit(
    name: str, size_unit: str, cost_unit: str, values: Any, cost: Any
) -> samples.Slope:
    points = [samples.Sample(size, cost(value)) for size, value in values]
    return samples.fit(name, size_unit, cost_unit, COMMAND, points)


def _pools(count: int) -> tuple[int, dict[str, Any]]:
    targets = {
        f"engine-{index:04}": {
            "url": f"http://127.0.0.1:{10_000 + index}",
            "failure_domain": f"domain-{index % 11:02}",
            "version": "v1",
        }
        for index in range(count)
    }
    pool = {"kind": "engine", "versions": {"v1": {}}, "targets": targets}
    return count, {"schema": 1, "rows": {"assistant": pool}}


def _routes(count: int) -> tuple[int, dict[str, Any]]:
    limits = {
        f"account-{index:05}": {"concurrent": 8} for index in range(count)
    }
    route = {
        "match": {"model": "assistant"},
        "pool": "assistant",
        "kind": "engine",
        "limits_by_account": limits,
    }
    return count, {"schema": 1, "rows": {"assistant": route}}


def _encoded_bytes(value: dict[str, Any]) -> float:
    return float(len(json.dumps(value)))


def _pools_offer_us(value: dict[str, Any]) -> float:
    return _offer_us(tables.TableKind.POOLS, value)


def _routes_offer_us(value: dict[str, Any]) -> float:
    return _offer_us(tables.TableKind.ROUTES, value)


def _offer_us(kind: tables.TableKind, value: dict[str, Any]) -> float:
    state = tables.ConfigState()
    start_s = time.process_time()
    for version in range(1, REPEATS + 1):
        state.update(kind, version, value, "store", 0.0)
    return (time.process_time() - start_s) * US_PER_S / REPEATS


def _memory(value: dict[str, Any]) -> float:
    text = json.dumps(value)
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    state = tables.ConfigState()
    state.update(tables.TableKind.POOLS, 1, json.loads(text), "store", 0.0)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return float(after - before)
