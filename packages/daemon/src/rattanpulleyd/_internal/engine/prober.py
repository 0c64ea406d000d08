"""Asks a target on a new connection whether it lives."""

from http import client
import json

import gevent

from rattanpulley_core import generations
from rattanpulley_core import interfaces
from rattanpulleyd._internal.engine import connection
from rattanpulleyd._internal.engine import orders

_BROKEN = (*connection.CallError, client.HTTPException)


class ProbeRefusedError(Exception):
    """The target answered the probe with something else than its state."""


def probe(
    order: generations.ProbeTarget, sink: interfaces.EventSink
) -> generations.ProbeAnswered | generations.ProbeFailed:
    """Makes one probe and reports and returns its result.

    Args:
        order: The probe.
        sink: Takes the event.
    """
    refused = False
    event: generations.ProbeAnswered | generations.ProbeFailed | None = None
    try:
        with gevent.Timeout(order.timeout_s):
            event = _ask(order)
    except gevent.Timeout:
        refused = False
    except (*_BROKEN, ProbeRefusedError) as error:
        refused = _is_refusal(error)
    if event is None:
        event = generations.ProbeFailed(
            target=order.target, probe_id=order.probe_id, refused=refused
        )
    sink(event)
    return event


def _is_refusal(error: BaseException | None) -> bool:
    """Returns whether nothing listens at the address."""
    while error is not None:
        if isinstance(error, ConnectionRefusedError):
            return True
        error = error.__cause__ or error.__context__
    return False


def _ask(order: generations.ProbeTarget) -> generations.ProbeAnswered:
    """Reads the target's state and the progress of the generations."""
    opened = connection.connect(order.url, order.timeout_s)
    try:
        response = connection.send(
            opened,
            orders.HttpRequest("GET", "/health", None),
            order.timeout_s,
        )
        health = connection.read_json(response)
        if not isinstance(health, dict) or "boot_id" not in health:
            raise ProbeRefusedError(json.dumps(health)[:200])
        progress: dict[str, int] = {}
        for generation_id in order.generation_ids:
            request = orders.HttpRequest(
                "GET", orders.progress_path(generation_id), None
            )
            response = connection.send(opened, request, order.timeout_s)
            row = connection.read_json(response)
            if response.status == 200 and isinstance(row, dict):
                progress[generation_id] = int(row.get("next_index", 0))
    finally:
        opened.close()
    return generations.ProbeAnswered(
        target=order.target,
        probe_id=order.probe_id,
        boot_id=str(health["boot_id"]),
        leaving=health.get("state") == "leaving",
        next_index_by_generation_id=progress,
    )
