"""Reads the load that a target reports."""

import contextlib
from http import client
from typing import Any

import gevent

from rattanpulley_core import interfaces
from rattanpulley_core import targets
from rattanpulleyd._internal.engine import connection
from rattanpulleyd._internal.engine import orders

_REQUEST = orders.HttpRequest("GET", "/load", None)
_BROKEN = (*connection.CallError, client.HTTPException, gevent.Timeout)


def read(order: interfaces.LoadRequest, sink: interfaces.LoadSink) -> None:
    """Makes one call and reports its result.

    Args:
        order: The target and the longest time of the call.
        sink: Takes the report, or None without a valid one.
    """
    report: targets.LoadReport | None = None
    try:
        with (
            contextlib.suppress(*_BROKEN),
            gevent.Timeout(order.timeout_s),
        ):
            report = _ask(order)
    finally:
        sink(report)


def _ask(order: interfaces.LoadRequest) -> targets.LoadReport | None:
    """Returns the answer, or None when it is not a load."""
    opened = connection.connect(order.url, order.timeout_s)
    try:
        response = connection.send(opened, _REQUEST, order.timeout_s)
        row = connection.read_json(response)
    finally:
        opened.close()
    if response.status != 200 or not isinstance(row, dict):
        return None
    running, waiting = _count(row, "running"), _count(row, "waiting")
    kv_used = row.get("kv_used", 0.0)
    if running is None or waiting is None:
        return None
    if type(kv_used) not in (int, float):
        return None
    return targets.LoadReport(running, waiting, float(kv_used))


def _count(row: dict[str, Any], name: str) -> int | None:
    """Returns a count of the answer, or None when it is not valid."""
    value = row.get(name)
    return value if type(value) is int and value >= 0 else None
