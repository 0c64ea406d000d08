"""Answers of the relay itself, and the check of a target's answers."""

import dataclasses

import h11

from rattanpulley_core import results
from rattanpulley_core import serving
from rattanpulleyd._internal.relay import target_connection
from rattanpulleyd._internal.relay import wire

# Statuses that promise the client that the request has not run.
PROMISING_STATUSES = frozenset({408, 421, 429, 503})
TARGET_ERROR = results.ResultCode.TARGET_ERROR


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A complete answer for the client.

    Attributes:
        status: HTTP status.
        headers: Headers without those of the connection.
        body: The whole body.
        code: Result code, for the log.
        reason: Why, for the log and the body of the relay's own answers.
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
    413: results.ResultCode.MALFORMED_REQUEST,
    431: results.ResultCode.MALFORMED_REQUEST,
    502: results.ResultCode.TARGET_ERROR,
    503: results.ResultCode.NO_TARGET,
    504: results.ResultCode.DEADLINE_EXCEEDED,
}


def refusal(
    status: int, reason: str, retry_after_s: float | None = None
) -> Answer:
    """Returns an answer of the relay itself."""
    code = _CODE_BY_STATUS[status]
    headers: list[tuple[bytes, bytes]] = [(b"Content-Type", b"text/plain")]
    if retry_after_s is not None:
        headers.append((b"Retry-After", b"%.2f" % retry_after_s))
    body = f"{int(code)} {code.name.lower()}: {reason}\n".encode()
    return Answer(status, tuple(headers), body, code, reason)


def check_head(
    head: target_connection.AnswerHead,
    request: wire.ClientRequest,
    names: wire.HeaderNames,
) -> None:
    """Checks that a head answers this request.

    Raises:
        target_connection.AttemptError: It does not, or it states that the
            request did not run.
    """
    if head.status == 421:
        raise target_connection.AttemptError(
            serving.FailureKind.WRONG_TARGET,
            "another target has the address",
            found_id=head.value(names.target_id) or "",
        )
    if head.value(names.not_run) is not None:
        raise target_connection.AttemptError(
            serving.FailureKind.REFUSED,
            f"the target refused with {head.status}",
        )
    echoed = wire.values_of(head.headers, names.request_id)
    if echoed != [request.request_id]:
        raise target_connection.AttemptError(
            serving.FailureKind.CORRUPT, f"the answer is to {echoed or 'no id'}"
        )
    if wire.values_of(head.headers, b"content-encoding"):
        raise target_connection.AttemptError(
            serving.FailureKind.CORRUPT, "the body is encoded"
        )
    if head.value(names.proof) is None:
        ending = (
            serving.FailureKind.CORRUPT
            if head.status < 300
            else serving.FailureKind.FAILED
        )
        raise target_connection.AttemptError(
            ending, f"status {head.status} without a proof"
        )
    if head.status in PROMISING_STATUSES:
        raise target_connection.AttemptError(
            serving.FailureKind.FAILED,
            f"status {head.status} of a request that ran",
        )


def response_head(
    status: int, headers: wire.Headers, closes: bool
) -> h11.Response:
    """Returns the head that is sent to the client."""
    if closes:
        headers = (*headers, (b"Connection", b"close"))
    return h11.Response(status_code=status, headers=list(headers))
