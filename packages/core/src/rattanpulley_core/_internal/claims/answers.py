"""Answers to the caller of a claimed call."""

from rattanpulley_core import interfaces
from rattanpulley_core import results
from rattanpulley_core._internal.claims import messages
from rattanpulley_core._internal.claims import records

REPLAYED_HEADER = ("Idempotent-Replayed", "true")

_CODE = results.ResultCode
_RUN = results.RunState


def _refusal(
    code: results.ResultCode,
    message: str,
    run_state: results.RunState | None = None,
) -> messages.Answer:
    usual = results.DETAILS_BY_CODE[code].run_state
    return messages.Answer(code, run_state or usual, message)


def key_required() -> messages.Answer:
    """The call has no idempotency key."""
    return _refusal(
        _CODE.IDEMPOTENCY_KEY_REQUIRED,
        "this route needs an Idempotency-Key header",
    )


def key_reused() -> messages.Answer:
    """The key belongs to another request."""
    return _refusal(
        _CODE.IDEMPOTENCY_KEY_REUSED,
        "this Idempotency-Key was used for another request",
    )


def store_unavailable(conflicted: bool) -> messages.Answer:
    """The claim could not be confirmed.

    Args:
        conflicted: Whether the store reported a record under the key. It may
            belong to an earlier call that ran, so the answer does not say
            `not_run` for the key.
    """
    return _refusal(
        _CODE.STORE_UNAVAILABLE,
        "the claim could not be recorded; this call was not sent",
        _RUN.UNKNOWN if conflicted else None,
    )


def started_too_late() -> messages.Answer:
    """Too much time passed since the claim to start the call."""
    return _refusal(
        _CODE.DEADLINE_UNREACHABLE,
        "too much time passed since the claim; the call was not sent",
    )


def service_not_reached() -> messages.Answer:
    """No byte reached the service."""
    return _refusal(
        _CODE.NO_TARGET, "the service could not be reached; it did not run"
    )


def outcome_unknown() -> messages.Answer:
    """The call was sent and its outcome is not known."""
    return _refusal(
        _CODE.OUTCOME_UNKNOWN,
        "the call was sent but its outcome is not known",
    )


def earlier_outcome_unknown() -> messages.Answer:
    """An earlier call with the key may have run."""
    return _refusal(
        _CODE.OUTCOME_UNKNOWN,
        "the outcome of an earlier call with this key is not known",
    )


def unreadable_record() -> messages.Answer:
    """The record of the key cannot be understood."""
    return _refusal(
        _CODE.OUTCOME_UNKNOWN,
        "the claim record of this key is not readable",
    )


def settled_run() -> messages.Answer:
    """An operator settled that the action ran."""
    return _refusal(
        _CODE.OUTCOME_UNKNOWN,
        "an operator settled that the action ran; its answer is not recorded",
        _RUN.RAN,
    )


def of_service(answer: interfaces.ServiceAnswer) -> messages.Answer:
    """The service's own answer."""
    return messages.Answer(_CODE.OK, _RUN.RAN, "", answer)


def of_record(record: records.ClaimRecord, wall_s: float) -> messages.Answer:
    """The answer that the record of another call decides.

    Args:
        record: Record in a state that does not allow a new claim.
        wall_s: Unix seconds now.
    """
    if record.outcome is not None:
        return _replay(record.outcome)
    if record.state is records.ClaimState.SETTLED_RUN:
        return settled_run()
    started = record.state is records.ClaimState.STARTED
    if started and wall_s - record.wall_s <= record.max_call_s:
        return _refusal(_CODE.IN_PROGRESS, "a call with this key is running")
    return earlier_outcome_unknown()


def _replay(outcome: records.Outcome) -> messages.Answer:
    if outcome.body is None:
        return _refusal(
            _CODE.OUTCOME_UNKNOWN,
            f"the action ran and answered with status {outcome.status}; the "
            f"answer of {outcome.body_bytes} bytes (SHA-256 "
            f"{outcome.digest}) was too large to be recorded",
            _RUN.RAN,
        )
    response = interfaces.ServiceAnswer(
        outcome.status, (*outcome.headers, REPLAYED_HEADER), outcome.body
    )
    return messages.Answer(_CODE.OK, _RUN.RAN, "", response, replayed=True)
