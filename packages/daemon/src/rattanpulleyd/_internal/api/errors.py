"""JSON representation of errors."""

import json
from typing import Any

from rattanpulley_core import generations
from rattanpulley_core import results
from rattanpulleyd import exceptions


def error_body(
    code: results.ResultCode, run_state: results.RunState, message: str
) -> dict[str, Any]:
    """Returns the body of an error.

    Args:
        code: Result code.
        run_state: Whether the request ran.
        message: Description of the error for the caller.
    """
    return {
        "error": {
            "code": int(code),
            "name": code.name.lower(),
            "message": message,
            "run": run_state.value,
            "hint": results.DETAILS_BY_CODE[code].hint,
        }
    }


def error_event(action: generations.FailAnswer) -> bytes:
    """Returns the server-sent event for an error after the first byte.

    Args:
        action: The failure of the answer.
    """
    body = error_body(action.code, action.run_state, action.message)
    return f"event: error\ndata: {json.dumps(body)}\n\n".encode()


def request_error(action: generations.FailAnswer) -> exceptions.RequestError:
    """Returns the exception for a failure before the first byte.

    Args:
        action: The failure of the answer.
    """
    return exceptions.RequestError(
        action.code, action.message, action.run_state, action.retry_after_s
    )
