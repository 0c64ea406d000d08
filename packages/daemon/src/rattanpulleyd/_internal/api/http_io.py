"""HTTP helpers of the caller API's handlers: bodies, headers and errors."""

from collections.abc import Callable
import json
import socket
from typing import Any

import bottle
import gevent.select
import loguru

from rattanpulley_core import results
from rattanpulleyd import exceptions
from rattanpulleyd._internal.api import errors
from rattanpulleyd._internal.api import request_parser
from rattanpulleyd._internal.runtime import http_server
from rattanpulleyd._internal.telemetry import counters

_Code = results.ResultCode


def new_app(counts: counters.Counters) -> bottle.Bottle:
    """Returns an application that responds to every error with JSON.

    Args:
        counts: Counters of the daemon.
    """
    app = bottle.Bottle(autojson=True)
    app.default_error_handler = _default_error
    app.install(_error_plugin(counts))
    return app


def read_body(limit_bytes: int) -> bytes:
    """Returns the body of the current request.

    Args:
        limit_bytes: Maximum length of the body.

    Raises:
        exceptions.RequestError: The body is too long or incomplete.
    """
    stream = bottle.request.environ["wsgi.input"]
    if bottle.request.content_length > limit_bytes:
        raise _body_too_long_error(limit_bytes)
    try:
        data: bytes = stream.read(limit_bytes + 1)
    except OSError as error:
        raise request_parser.malformed("$", "the body is incomplete") from error
    if len(data) > limit_bytes:
        raise _body_too_long_error(limit_bytes)
    return data


def header(name: str) -> str:
    """Returns a header of the current request, or "" if it is missing.

    Args:
        name: Name of the header.
    """
    value = bottle.request.get_header(name)
    return str(value) if value else ""


def is_connected() -> bool:
    """Returns whether the caller of the current request is connected."""
    connection = bottle.request.environ[http_server.SOCKET_KEY]
    try:
        readable, _, _ = gevent.select.select([connection], [], [], 0)
        return not readable or bool(connection.recv(1, socket.MSG_PEEK))
    except (OSError, ValueError):
        return False


def _body_too_long_error(limit_bytes: int) -> exceptions.RequestError:
    return request_parser.malformed(
        "$", f"the body is longer than {limit_bytes} bytes"
    )


def _error_plugin(
    counts: counters.Counters,
) -> Callable[[Callable[..., Any]], Callable[..., Any]]:
    """Returns the bottle plug-in that turns request errors into responses."""

    def install(callback: Callable[..., Any]) -> Callable[..., Any]:
        def handle_request(*args: Any, **kwargs: Any) -> Any:
            try:
                return callback(*args, **kwargs)
            except exceptions.RequestError as error:
                counts.count(counters.Counter.REQUESTS_REFUSED)
                return _error_response(error)

        return handle_request

    return install


def _error_response(error: exceptions.RequestError) -> dict[str, Any]:
    """Sets the response's status and headers and returns the error body."""
    details = results.DETAILS_BY_CODE[error.code]
    bottle.response.status = details.http_status
    if error.retry_after_s is not None:
        bottle.response.set_header("Retry-After", str(error.retry_after_s))
    return errors.error_body(error.code, error.run_state, error.message)


def _default_error(error: bottle.HTTPError) -> str:
    """Returns the JSON body for an error that bottle raised itself."""
    code = _Code.UNKNOWN_ROUTE
    run_state = results.RunState.NOT_RUN
    message = "There is no such path or method."
    if error.status_code == 400:
        code = _Code.MALFORMED_REQUEST
        message = "The request is malformed."
    elif error.status_code >= 500:
        loguru.logger.error(
            "a request handler failed: {!r}\n{}",
            error.exception,
            error.traceback,
        )
        code = _Code.OUTCOME_UNKNOWN
        run_state = results.RunState.UNKNOWN
        message = "The daemon failed while it handled the request."
    error.status = results.DETAILS_BY_CODE[code].http_status
    error.content_type = "application/json"
    return json.dumps(errors.error_body(code, run_state, message))
