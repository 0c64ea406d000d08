"""Reads load reports from targets."""

import contextlib
from http import client
from typing import Any

import gevent

from rattanpulley_core import interfaces
from rattanpulley_core import targets
from rattanpulleyd._internal.engine import connection
from rattanpulleyd._internal.engine import engine_requests

_REQUEST = engine_requests.HttpRequest("GET", "/load", None)
_CONNECTION_ERRORS = (
    *connection.CALL_ERRORS,
    client.HTTPException,
    gevent.Timeout,
)


def read(request: interfaces.LoadRequest, sink: interfaces.LoadSink) -> None:
    """Requests a target's load once and reports the result.

    Args:
        request: The target and the timeout of the call.
        sink: Receives the report, or None if there is no valid one.
    """
    report: targets.LoadReport | None = None
    try:
        with (
            contextlib.suppress(*_CONNECTION_ERRORS),
            gevent.Timeout(request.timeout_s),
        ):
            report = _request_load(request)
    finally:
        sink(report)


def _request_load(request: interfaces.LoadRequest) -> targets.LoadReport | None:
    """Returns the target's report, or None if it is not valid."""
    opened = connection.connect(request.url, request.timeout_s)
    try:
        response = connection.send(opened, _REQUEST, request.timeout_s)
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
    """Returns a non-negative count of the report, or None if invalid."""
    value = row.get(name)
    return value if type(value) is int and value >= 0 else None
