"""Probes on a new connection whether a target is alive."""

import contextlib
from http import client
import json
from typing import Any

import gevent
import urllib3.connection

from rattanpulley_core import generations
from rattanpulley_core import interfaces
from rattanpulleyd._internal.engine import connection
from rattanpulleyd._internal.engine import engine_requests
from rattanpulleyd._internal.sockets import final_status

# Bounds the reads of progress in a probe: the generation core waits 0.75 s for
# its result.
PROGRESS_TIMEOUT_S = 0.4

_CONNECTION_ERRORS = (*connection.CALL_ERRORS, client.HTTPException)


class InvalidHealthError(Exception):
    """The target's response to a probe is not a valid health report."""


def probe(
    request: generations.ProbeTarget, sink: interfaces.EventSink
) -> generations.ProbeSucceeded | generations.ProbeFailed:
    """Runs one probe, reports its result and returns it.

    Args:
        request: The target and the generations to ask for.
        sink: Receives the result.
    """
    refused = False
    event: generations.ProbeSucceeded | generations.ProbeFailed | None = None
    try:
        event = _run_probe(request)
    except gevent.Timeout:
        refused = False
    except (*_CONNECTION_ERRORS, InvalidHealthError) as error:
        refused = _is_refusal(error)
    if event is None:
        event = generations.ProbeFailed(
            target=request.target, probe_id=request.probe_id, refused=refused
        )
    sink(event)
    return event


def _is_refusal(error: BaseException | None) -> bool:
    """Returns whether the error's cause is a refused connection."""
    while error is not None:
        if isinstance(error, ConnectionRefusedError):
            return True
        error = error.__cause__ or error.__context__
    return False


def _run_probe(request: generations.ProbeTarget) -> generations.ProbeSucceeded:
    """Reads the target's health and the progress of the generations."""
    with gevent.Timeout(request.timeout_s):
        opened, health = _read_health(request)
    try:
        progress = _ProgressReader()
        progress.read(opened, request.generation_ids)
    finally:
        opened.close()
    return generations.ProbeSucceeded(
        target=request.target,
        probe_id=request.probe_id,
        boot_id=str(health["boot_id"]),
        leaving=health.get("state") == "leaving",
        next_index_by_generation_id=progress.next_index_by_generation_id,
        finished_generation_ids=frozenset(progress.finished),
    )


def _read_health(
    request: generations.ProbeTarget,
) -> tuple[urllib3.connection.HTTPConnection, dict[str, Any]]:
    """Opens a connection and returns it with the target's health report."""
    opened = connection.connect(request.url, request.timeout_s)
    try:
        http_request = engine_requests.HttpRequest("GET", "/health", None)
        response = connection.send(opened, http_request, request.timeout_s)
        health = connection.read_json(response)
        if not final_status.is_final(response.status):
            raise InvalidHealthError(f"status {response.status}")
        if not isinstance(health, dict) or "boot_id" not in health:
            raise InvalidHealthError(json.dumps(health)[:200])
    except BaseException:
        opened.close()
        raise
    return opened, health


class _ProgressReader:
    """Reads the progress of generations from a target that is alive."""

    def __init__(self) -> None:
        self.next_index_by_generation_id: dict[str, int] = {}
        self.finished: set[str] = set()

    def read(
        self,
        opened: urllib3.connection.HTTPConnection,
        generation_ids: tuple[str, ...],
    ) -> None:
        """Reads the progress of each generation within `PROGRESS_TIMEOUT_S`.

        A generation whose progress could not be read is reported with next
        index 0: the target is alive, and a missing entry would mean that it
        does not have the generation.
        """
        self.next_index_by_generation_id = dict.fromkeys(generation_ids, 0)
        with (
            contextlib.suppress(*_CONNECTION_ERRORS, gevent.Timeout),
            gevent.Timeout(PROGRESS_TIMEOUT_S),
        ):
            for generation_id in generation_ids:
                self._read_generation(opened, generation_id)

    def _read_generation(
        self, opened: urllib3.connection.HTTPConnection, generation_id: str
    ) -> None:
        """Reads the progress of one generation."""
        http_request = engine_requests.HttpRequest(
            "GET", engine_requests.progress_path(generation_id), None
        )
        response = connection.send(opened, http_request, PROGRESS_TIMEOUT_S)
        row = connection.read_json(response)
        if response.status == 404:
            del self.next_index_by_generation_id[generation_id]
        if response.status != 200:
            return
        if isinstance(row, dict) and type(row.get("next_index")) is int:
            next_index = row["next_index"]
            self.next_index_by_generation_id[generation_id] = next_index
            if row.get("finished"):
                self.finished.add(generation_id)
