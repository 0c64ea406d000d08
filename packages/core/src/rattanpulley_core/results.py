"""Numeric result codes and whether their request ran.

A test checks the table in docs/result-codes.md against this module.
"""

import dataclasses
import enum


class RunState(enum.Enum):
    """Whether a request had an effect on a target."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RAN = "ran"


class ResultCode(enum.IntEnum):
    """Outcome of a request; the number is part of the caller API."""

    OK = 1000
    MALFORMED_REQUEST = 1101
    UNKNOWN_ROUTE = 1102
    IDEMPOTENCY_KEY_REQUIRED = 1103
    IDEMPOTENCY_KEY_REUSED = 1104
    UNAUTHENTICATED = 1105
    RESUME_TOKEN_INVALID = 1106
    OVERLOADED = 1201
    NO_TARGET = 1202
    DRAINING = 1203
    STORE_UNAVAILABLE = 1204
    REQUEST_CRASHES_TARGETS = 1205
    DEADLINE_UNREACHABLE = 1206
    ACCOUNT_LIMIT = 1207
    GENERATION_LOST = 1301
    VERSION_GONE = 1302
    REGENERATION_DIFFERS = 1303
    OUTCOME_UNKNOWN = 1304
    IN_PROGRESS = 1305
    DEADLINE_EXCEEDED = 1306
    TARGET_ERROR = 1307


@dataclasses.dataclass(frozen=True, slots=True)
class ResultDetails:
    """Presentation of a result code to a caller.

    Attributes:
        http_status: Status of the HTTP response.
        run_state: Whether the request ran, unless the error says otherwise.
        retry_after_s: Seconds after which a retry may succeed; None when a
            plain retry does not help.
        hint: Recommended next step for the caller.
    """

    http_status: int
    run_state: RunState
    retry_after_s: int | None
    hint: str


DETAILS_BY_CODE: dict[ResultCode, ResultDetails] = {
    ResultCode.OK: ResultDetails(200, RunState.RAN, None, ""),
    ResultCode.MALFORMED_REQUEST: ResultDetails(
        400, RunState.NOT_RUN, None, "Correct the request and send it again."
    ),
    ResultCode.UNKNOWN_ROUTE: ResultDetails(
        404,
        RunState.NOT_RUN,
        None,
        "Use a model or service that a route names.",
    ),
    ResultCode.IDEMPOTENCY_KEY_REQUIRED: ResultDetails(
        400, RunState.NOT_RUN, None, "Send an Idempotency-Key header."
    ),
    ResultCode.IDEMPOTENCY_KEY_REUSED: ResultDetails(
        422,
        RunState.NOT_RUN,
        None,
        "Use a new Idempotency-Key for a request with another body.",
    ),
    ResultCode.UNAUTHENTICATED: ResultDetails(
        401, RunState.NOT_RUN, None, "Send a valid bearer token."
    ),
    ResultCode.RESUME_TOKEN_INVALID: ResultDetails(
        400,
        RunState.NOT_RUN,
        None,
        "Send the request again without Last-Event-ID.",
    ),
    ResultCode.OVERLOADED: ResultDetails(
        503, RunState.NOT_RUN, 2, "Retry after the stated delay."
    ),
    ResultCode.NO_TARGET: ResultDetails(
        503, RunState.NOT_RUN, 2, "Retry after the stated delay."
    ),
    ResultCode.DRAINING: ResultDetails(
        503, RunState.NOT_RUN, 0, "Retry at once; another host will answer."
    ),
    ResultCode.STORE_UNAVAILABLE: ResultDetails(
        503, RunState.NOT_RUN, 5, "Retry with the same Idempotency-Key."
    ),
    ResultCode.REQUEST_CRASHES_TARGETS: ResultDetails(
        422, RunState.UNKNOWN, None, "Do not send this request again."
    ),
    ResultCode.DEADLINE_UNREACHABLE: ResultDetails(
        503, RunState.NOT_RUN, 5, "Retry later or allow more time."
    ),
    ResultCode.ACCOUNT_LIMIT: ResultDetails(
        429, RunState.NOT_RUN, 1, "Lower the account's request rate."
    ),
    ResultCode.GENERATION_LOST: ResultDetails(
        502,
        RunState.UNKNOWN,
        None,
        "Send the request again from the beginning.",
    ),
    ResultCode.VERSION_GONE: ResultDetails(
        502,
        RunState.UNKNOWN,
        None,
        "Send the request again from the beginning.",
    ),
    ResultCode.REGENERATION_DIFFERS: ResultDetails(
        502,
        RunState.UNKNOWN,
        None,
        "Send the request again from the beginning.",
    ),
    ResultCode.OUTCOME_UNKNOWN: ResultDetails(
        502,
        RunState.UNKNOWN,
        None,
        "Do not use a new key. Ask the operator to settle the outcome.",
    ),
    ResultCode.IN_PROGRESS: ResultDetails(
        409, RunState.UNKNOWN, 1, "Retry later with the same Idempotency-Key."
    ),
    ResultCode.DEADLINE_EXCEEDED: ResultDetails(
        504,
        RunState.UNKNOWN,
        None,
        "Send the request again or allow more time.",
    ),
    ResultCode.TARGET_ERROR: ResultDetails(
        502, RunState.UNKNOWN, None, "See the message from the target."
    ),
}
