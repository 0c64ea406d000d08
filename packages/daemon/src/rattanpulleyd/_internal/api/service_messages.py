"""Translation between callers' HTTP messages and those of services."""

import urllib.parse

import bottle

from rattanpulley_core import interfaces
from rattanpulley_core import tables
from rattanpulley_core import targets
from rattanpulleyd._internal.api import http_io

# Prevents browsers from guessing a type when the service sends none.
DEFAULT_CONTENT_TYPE = "application/octet-stream"
# Other headers, such as the bearer token, are meant for the daemon.
_FORWARDED_HEADERS = ("Accept", "Content-Type", "Idempotency-Key")


def service_request(
    route: tables.Route,
    target: targets.Target | None,
    path: str,
    body: bytes,
    fresh: bool,
) -> interfaces.ServiceRequest:
    """Returns the service request for the current HTTP request.

    Without a target, its target and URL are empty.
    """
    headers = tuple(
        (name, http_io.header(name))
        for name in _FORWARDED_HEADERS
        if http_io.header(name)
    )
    query = bottle.request.query_string
    suffix = f"?{query}" if query else ""
    return interfaces.ServiceRequest(
        target=target.name if target is not None else "",
        url=target.url if target is not None else "",
        path=f"/{urllib.parse.quote(path)}{suffix}",
        method=bottle.request.method,
        headers=headers,
        body=body,
        timeout_s=route.max_call_s,
        fresh_connection=fresh,
    )


def forward_response(answer: interfaces.ServiceAnswer) -> bytes:
    """Copies a service's status and headers and returns its body."""
    bottle.response.status = answer.status
    bottle.response.content_type = DEFAULT_CONTENT_TYPE
    for name, value in answer.headers:
        bottle.response.set_header(name, value)
    return answer.body
