"""HTTP requests of the engine API."""

import dataclasses
import json
import urllib.parse

from rattanpulley_core import generations

AttemptRequest = generations.StartAttempt | generations.AttachAttempt


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """Method, path and body of an HTTP request to an engine."""

    method: str
    path: str
    body: bytes | None


def attempt_http_request(request: AttemptRequest) -> HttpRequest:
    """Returns the HTTP request that starts or attaches to a generation.

    Args:
        request: A start or attach request.
    """
    if isinstance(request, generations.StartAttempt):
        return HttpRequest("POST", "/v1/completions", _start_body(request))
    query = {"from": request.from_index, "attempt": request.attempt}
    path = _generation_path(request.generation_id)
    return HttpRequest("GET", f"{path}?{urllib.parse.urlencode(query)}", None)


def cancel_http_request(request: generations.CancelAttempt) -> HttpRequest:
    """Returns the HTTP request that cancels an attempt.

    Args:
        request: The cancel request.
    """
    path = _generation_path(request.generation_id)
    return HttpRequest("DELETE", f"{path}?attempt={request.attempt}", None)


def progress_path(generation_id: str) -> str:
    """Returns the path of a generation's progress report."""
    return f"{_generation_path(generation_id)}/progress"


def _generation_path(generation_id: str) -> str:
    return f"/generations/{generation_id}"


def _start_body(request: generations.StartAttempt) -> bytes:
    """Returns the JSON body of a start request."""
    fields = {
        "model": request.model,
        "version": request.version,
        "prompt": request.prompt,
        "stream": True,
        "max_tokens": request.sampling.max_tokens,
        "seed": request.sampling.seed,
        "temperature": request.sampling.temperature,
        "generation_id": request.generation_id,
        "attempt": request.attempt,
        "resume_tokens": list(request.resume_tokens),
        "priority": request.priority,
    }
    return json.dumps(fields, ensure_ascii=False).encode()
