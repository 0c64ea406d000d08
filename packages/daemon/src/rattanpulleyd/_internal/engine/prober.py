"""Asks a target on a new connection whether it lives."""

import contextlib
from http import client
import json
from typing import Any

import gevent
import urllib3.connection

from rattanpulley_core import generations
from rattanpulley_core import interfaces
from rattanpulleyd._internal.engine import connection
from rattanpulleyd._internal.engine import orders

# The generation part waits 0.75 s for the report of a probe.
PROGRESS_TIMEOUT_S = 0.4

_BROKEN = (*connection.CallError, client.HTTPException)


class ProbeRefusedError(Exception):
    """The target answered the probe with something else than its state."""


def probe(
    order: generations.ProbeTarget, sink: interfaces.EventSink
) -> generations.ProbeSucceeded | generations.ProbeFailed:
    """Makes one probe and reports and returns its result.

    Args:
        order: The probe.
        sink: Takes the event.
    """
    refused = False
    event: generations.ProbeSucceeded | generations.ProbeFailed | None = None
    try:
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


def _ask(order: generations.ProbeTarget) -> generations.ProbeSucceeded:
    """Reads the target's state and the progress of the generations."""
    with gevent.Timeout(order.timeout_s):
        opened, health = _health(order)
    try:
        progress = _Progress()
        progress.read(opened, order.generation_ids)
    finally:
        opened.close()
    return generations.ProbeSucceeded(
        target=order.target,
        probe_id=order.probe_id,
        boot_id=str(health["boot_id"]),
        leaving=health.get("state") == "leaving",
        next_index_by_generation_id=progress.next_index_by_generation_id,
        finished_generation_ids=frozenset(progress.finished),
    )


def _health(
    order: generations.ProbeTarget,
) -> tuple[urllib3.connection.HTTPConnection, dict[str, Any]]:
    """Returns a new connection and the target's state."""
    opened = connection.connect(order.url, order.timeout_s)
    try:
        request = orders.HttpRequest("GET", "/health", None)
        response = connection.send(opened, request, order.timeout_s)
        health = connection.read_json(response)
        if not isinstance(health, dict) or "boot_id" not in health:
            raise ProbeRefusedError(json.dumps(health)[:200])
    except BaseException:
        opened.close()
        raise
    return opened, health


class _Progress:
    """Progress of generations on a target that is alive."""

    def __init__(self) -> None:
        self.next_index_by_generation_id: dict[str, int] = {}
        self.finished: set[str] = set()

    def read(
        self,
        opened: urllib3.connection.HTTPConnection,
        generation_ids: tuple[str, ...],
    ) -> None:
        """Asks for each generation until time runs out.

        A generation without an answer counts as held without progress: the
        target is alive, and a missing entry would say that it holds nothing.
        """
        self.next_index_by_generation_id = dict.fromkeys(generation_ids, 0)
        with (
            contextlib.suppress(*_BROKEN, gevent.Timeout),
            gevent.Timeout(PROGRESS_TIMEOUT_S),
        ):
            for generation_id in generation_ids:
                self._read_one(opened, generation_id)

    def _read_one(
        self, opened: urllib3.connection.HTTPConnection, generation_id: str
    ) -> None:
        """Asks for one generation."""
        request = orders.HttpRequest(
            "GET", orders.progress_path(generation_id), None
        )
        response = connection.send(opened, request, PROGRESS_TIMEOUT_S)
        row = connection.read_json(response)
        if response.status == 404:
            del self.next_index_by_generation_id[generation_id]
            return
        if isinstance(row, dict) and type(row.get("next_index")) is int:
            next_index = row["next_index"]
            self.next_index_by_generation_id[generation_id] = next_index
            if row.get("finished"):
                self.finished.add(generation_id)
