"""Responses that the relay creates, and validation of target responses."""

import dataclasses

import h11

from rattanpulley_core import results
from rattanpulley_core import serving
from rattanpulleyd._internal.relay import target_connection
from rattanpulleyd._internal.relay import wire

# Clients read these statuses as a guarantee that the request has not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
TARGET_ERROR = results.ResultCode.TARGET_ERROR


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A complete response for the client.

    Attributes:
        status: HTTP status.
        headers: Headers without connection-specific ones.
        body: The complete body.
        code: Result code, for the log.
        reason: Reason for the log; also part of the body of responses that
            the relay creates.
    """

    status: int
    headers: wire.Headers
    body: bytes
    code: results.ResultCode
    reason: str


_CODE_BY_STATUS: dict[int, results.ResultCode] = {
    400: results.ResultCode.MALFORMED_REQUEST,
    401: results.ResultCode.UNAUTHENTICATED,
    404: results.ResultCode.UNKNOWN_ROUTE,
    408: results.ResultCode.MALFORMED_REQUEST,
    413: results.ResultCode.MALFORMED_REQUEST,
    431: results.ResultCode.MALFORMED_REQUEST,
    502: results.ResultCode.TARGET_ERROR,
    503: results.ResultCode.NO_TARGET,
    504: results.ResultCode.DEADLINE_EXCEEDED,
}


def error_response(
    status: int, reason: str, retry_after_s: float | None = None
) -> Response:
    """Returns an error response that the relay creates.

    Args:
        status: HTTP status; must be a key of `_CODE_BY_STATUS`.
        reason: Reason for the log and the body.
        retry_after_s: Value of the Retry-After header in seconds, or None to
            omit the header.
    """
    code = _CODE_BY_STATUS[status]
    headers: list[tuple[bytes, bytes]] = [(b"Content-Type", b"text/plain")]
    if retry_after_s is not None:
        headers.append((b"Retry-After", b"%.2f" % retry_after_s))
    body = f"{int(code)} {code.name.lower()}: {reason}\n".encode()
    return Response(status, tuple(headers), body, code, reason)


def check_response_head(
    head: target_connection.ResponseHead,
    request: wire.ClientRequest,
    names: wire.HeaderNames,
) -> None:
    """Checks that a response head belongs to this request.

    Raises:
        target_connection.AttemptError: It belongs to another request, or
            reports that the request did not run.
    """
    echoed = wire.header_values(head.headers, names.request_id)
    # Compared first: the refusal of another request promises nothing here.
    if echoed not in ([], [request.request_id]):
        raise target_connection.AttemptError(
            serving.FailureKind.CORRUPT, f"the answer is to {echoed}"
        )
    if head.status == 421:
        raise target_connection.AttemptError(
            serving.FailureKind.WRONG_TARGET,
            "another target has the address",
            reported_id=head.value(names.target_id) or "",
        )
    if head.value(names.not_run) is not None:
        raise target_connection.AttemptError(
            serving.FailureKind.REFUSED,
            f"the target refused with {head.status}",
        )
    if not echoed:
        raise target_connection.AttemptError(
            serving.FailureKind.CORRUPT, "the answer names no request"
        )
    if wire.header_values(head.headers, b"content-encoding"):
        raise target_connection.AttemptError(
            serving.FailureKind.CORRUPT, "the body is encoded"
        )
    if head.value(names.proof) is None:
        kind = (
            serving.FailureKind.CORRUPT
            if head.status < 300
            else serving.FailureKind.FAILED
        )
        raise target_connection.AttemptError(
            kind, f"status {head.status} without a proof"
        )
    if head.status in NOT_RUN_STATUSES:
        raise target_connection.AttemptError(
            serving.FailureKind.FAILED,
            f"status {head.status} of a request that ran",
        )


def make_response_head(
    status: int, headers: wire.Headers, closes: bool
) -> h11.Response:
    """Returns the response head that is sent to the client."""
    if closes:
        headers = (*headers, (b"Connection", b"close"))
    return h11.Response(status_code=status, headers=list(headers))
