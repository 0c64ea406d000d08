"""Reports of GET /ready and GET /status."""

import dataclasses
from typing import Any

from rattanpulley_core import tables
from rattanpulleyd._internal.runtime import runtime as runtime_lib
from rattanpulleyd._internal.settings import model

MAX_LISTED_ACCOUNTS = 20


def is_ready(runtime: runtime_lib.Runtime) -> bool:
    """Returns whether the daemon has all tables and is not draining.

    Args:
        runtime: Runtime of the daemon.
    """
    config = runtime.config
    has_tables = all(config.version(kind) for kind in tables.TableKind)
    return has_tables and not runtime.draining


def report(
    settings: model.Settings, runtime: runtime_lib.Runtime
) -> dict[str, Any]:
    """Returns the daemon's status report for operators.

    Args:
        settings: Settings of the daemon.
        runtime: Runtime of the daemon.
    """
    now_s = runtime.clock.monotonic_s()
    return {
        "name": settings.name,
        "failure_domain": settings.failure_domain,
        "ready": is_ready(runtime),
        "draining": runtime.draining,
        "tables": {
            kind.value: _table_report(runtime.config, kind, now_s)
            for kind in tables.TableKind
        },
        "accounts": [
            {"route": route, "account": account, "in_flight": in_flight}
            for route, account, in_flight in runtime.limits.busiest_accounts(
                MAX_LISTED_ACCOUNTS
            )
        ],
        "generations": dataclasses.asdict(runtime.core.status(now_s)),
        "targets": _target_reports(runtime),
        "counters": runtime.counts.totals_by_name(),
    }


def _target_reports(runtime: runtime_lib.Runtime) -> dict[str, Any]:
    """Returns the known state of each target, keyed by name."""
    targets_by_name = runtime.target_table.targets_by_name
    return {
        name: {
            "pool": target.pool,
            "version": target.version,
            "failure_domain": target.failure_domain,
            "state": target.state.value,
            "in_pool": target.in_pool,
            "in_flight": target.in_flight,
            "consecutive_failures": target.consecutive_failures,
        }
        for name, target in sorted(targets_by_name.items())
    }


def _table_report(
    config: tables.ConfigState, kind: tables.TableKind, now_s: float
) -> dict[str, Any]:
    """Returns version, source and age in seconds of an active table."""
    active_table = config.active_table(kind)
    if active_table is None:
        return {"version": 0, "source": None, "age_s": None}
    return {
        "version": active_table.version,
        "source": active_table.source,
        "age_s": round(now_s - active_table.accepted_at_s, 3),
    }
