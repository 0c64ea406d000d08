"""Builds the answers to the caller of a claimed call."""

from rattanpulley_core import interfaces
from rattanpulley_core import results
from rattanpulley_core._internal.claims import messages
from rattanpulley_core._internal.claims import records

REPLAYED_HEADER = ("Idempotent-Replayed", "true")

_ResultCode = results.ResultCode
_RunState = results.RunState


def _refusal(
    code: results.ResultCode,
    message: str,
    run_state: results.RunState | None = None,
) -> messages.Answer:
    default_run_state = results.DETAILS_BY_CODE[code].run_state
    return messages.Answer(code, run_state or default_run_state, message)


def key_required() -> messages.Answer:
    """Returns the answer to a call without an idempotency key."""
    return _refusal(
        _ResultCode.IDEMPOTENCY_KEY_REQUIRED,
        "this route needs an Idempotency-Key header",
    )


def key_reused() -> messages.Answer:
    """Returns the answer for a key that belongs to another request."""
    return _refusal(
        _ResultCode.IDEMPOTENCY_KEY_REUSED,
        "this Idempotency-Key was used for another request",
    )


def store_unavailable(conflicted: bool) -> messages.Answer:
    """Returns the answer for a claim that could not be confirmed.

    Args:
        conflicted: Whether the store reported a record under the key. It may
            belong to an earlier call that ran, so the answer does not say
            `not_run` for the key.
    """
    return _refusal(
        _ResultCode.STORE_UNAVAILABLE,
        "the claim could not be recorded; this call was not sent",
        _RunState.UNKNOWN if conflicted else None,
    )


def started_too_late() -> messages.Answer:
    """Returns the answer for a claim that is too old to start its call."""
    return _refusal(
        _ResultCode.DEADLINE_UNREACHABLE,
        "too much time passed since the claim; the call was not sent",
    )


def service_not_reached() -> messages.Answer:
    """Returns the answer for a call of which no byte reached the service."""
    return _refusal(
        _ResultCode.NO_TARGET,
        "the service could not be reached; it did not run",
    )


def outcome_unknown() -> messages.Answer:
    """Returns the answer for a call that was sent without a known outcome."""
    return _refusal(
        _ResultCode.OUTCOME_UNKNOWN,
        "the call was sent but its outcome is not known",
    )


def earlier_outcome_unknown() -> messages.Answer:
    """Returns the answer when an earlier call with the key may have run."""
    return _refusal(
        _ResultCode.OUTCOME_UNKNOWN,
        "the outcome of an earlier call with this key is not known",
    )


def unreadable_record() -> messages.Answer:
    """Returns the answer when the record of the key cannot be parsed."""
    return _refusal(
        _ResultCode.OUTCOME_UNKNOWN,
        "the claim record of this key is not readable",
    )


def settled_run() -> messages.Answer:
    """Returns the answer when an operator settled that the action ran."""
    return _refusal(
        _ResultCode.OUTCOME_UNKNOWN,
        "an operator settled that the action ran; its answer is not recorded",
        _RunState.RAN,
    )


def from_service_answer(answer: interfaces.ServiceAnswer) -> messages.Answer:
    """Returns the service's own answer."""
    return messages.Answer(_ResultCode.OK, _RunState.RAN, "", answer)


def from_record(record: records.ClaimRecord, wall_s: float) -> messages.Answer:
    """Returns the answer that follows from the record of another call.

    Args:
        record: Record in a state that does not allow a new claim.
        wall_s: Unix seconds now.
    """
    if record.outcome is not None:
        return _replay(record.outcome)
    if record.state is records.ClaimState.SETTLED_RUN:
        return settled_run()
    if record.may_be_running(wall_s):
        return _refusal(
            _ResultCode.IN_PROGRESS, "a call with this key is running"
        )
    return earlier_outcome_unknown()


def _replay(outcome: records.Outcome) -> messages.Answer:
    if outcome.body is None:
        return _refusal(
            _ResultCode.OUTCOME_UNKNOWN,
            f"the action ran and answered with status {outcome.status}; the "
            f"answer of {outcome.body_bytes} bytes (SHA-256 "
            f"{outcome.digest}) was too large to be recorded",
            _RunState.RAN,
        )
    response = interfaces.ServiceAnswer(
        outcome.status, (*outcome.headers, REPLAYED_HEADER), outcome.body
    )
    return messages.Answer(
        _ResultCode.OK, _RunState.RAN, "", response, replayed=True
    )
