"""HTTP requests of the engine API."""

import dataclasses
import json
import urllib.parse

from rattanpulley_core import generations

Order = generations.StartAttempt | generations.AttachAttempt


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """Method, path and body of a call to an engine."""

    method: str
    path: str
    body: bytes | None


def request_for(order: Order) -> HttpRequest:
    """Returns the call that carries out an order.

    Args:
        order: A start or an attach.
    """
    if isinstance(order, generations.StartAttempt):
        return HttpRequest("POST", "/v1/completions", _start_body(order))
    query = {"from": order.from_index, "attempt": order.attempt}
    path = _generation_path(order.generation_id)
    return HttpRequest("GET", f"{path}?{urllib.parse.urlencode(query)}", None)


def cancel_request(order: generations.CancelAttempt) -> HttpRequest:
    """Returns the call that ends an attempt.

    Args:
        order: The order to cancel.
    """
    path = _generation_path(order.generation_id)
    return HttpRequest("DELETE", f"{path}?attempt={order.attempt}", None)


def progress_path(generation_id: str) -> str:
    """Returns the path that tells a generation's progress."""
    return f"{_generation_path(generation_id)}/progress"


def _generation_path(generation_id: str) -> str:
    return f"/generations/{generation_id}"


def _start_body(order: generations.StartAttempt) -> bytes:
    """Returns the JSON body of a start."""
    fields = {
        "model": order.model,
        "version": order.version,
        "prompt": order.prompt,
        "stream": True,
        "max_tokens": order.sampling.max_tokens,
        "seed": order.sampling.seed,
        "temperature": order.sampling.temperature,
        "generation_id": order.generation_id,
        "attempt": order.attempt,
        "resume_tokens": list(order.resume_tokens),
        "priority": order.priority,
    }
    return json.dumps(fields, ensure_ascii=False).encode()
