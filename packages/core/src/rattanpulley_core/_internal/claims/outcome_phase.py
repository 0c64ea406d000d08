"""Last phase of a claimed call: records the outcome and answers."""

import dataclasses

from rattanpulley_core._internal.claims import call_progress
from rattanpulley_core._internal.claims import messages
from rattanpulley_core._internal.claims import records
from rattanpulley_core._internal.claims import retention

# Number of attempts to write the outcome; only the first delays the answer.
OUTCOME_ATTEMPTS = 3

_State = call_progress.CallState


def record_outcome(
    call: call_progress.CallProgress,
    state: records.ClaimState,
    answer: messages.Answer,
    outcome: records.Outcome | None = None,
) -> list[messages.Action]:
    """Writes the outcome of the call.

    Args:
        call: The call.
        state: What is known about the action.
        answer: Answer to the caller after the write.
        outcome: The service's answer as it is recorded, if there is one.

    Returns:
        Actions to execute, in order.
    """
    call.record = dataclasses.replace(call.record, state=state, outcome=outcome)
    call.answer = answer
    call.outcome_puts = 1
    call.state = _State.RECORDING
    return [call.put_record()]


def on_write_resolved(
    call: call_progress.CallProgress, event: messages.Event, now_s: float
) -> list[messages.Action]:
    """Answers after the store has written or refused the outcome.

    A conflict means that an earlier write of this outcome took effect or that
    an operator settled the claim. Neither may be overwritten.
    """
    del now_s
    _set_expiring_record(call, event)
    return call.end(_decided_answer(call))


def on_write_unknown(
    call: call_progress.CallProgress, event: messages.Event, now_s: float
) -> list[messages.Action]:
    """Answers, and writes the outcome again."""
    del event, now_s
    answer = _decided_answer(call)
    call.state = _State.RECORDING_ANSWERED
    call.outcome_puts += 1
    return [answer, call.put_record()]


def on_rewrite_unknown(
    call: call_progress.CallProgress, event: messages.Event, now_s: float
) -> list[messages.Action]:
    """Writes the outcome again, up to `OUTCOME_ATTEMPTS` times."""
    if call.outcome_puts == OUTCOME_ATTEMPTS:
        return finish(call, event, now_s)
    call.outcome_puts += 1
    return [call.put_record()]


def _decided_answer(call: call_progress.CallProgress) -> messages.Answer:
    assert call.answer is not None
    return call.answer


def finish(
    call: call_progress.CallProgress, event: messages.Event, now_s: float
) -> list[messages.Action]:
    """Ends a call that was answered before."""
    del now_s
    _set_expiring_record(call, event)
    call.state = _State.ENDED
    return []


def _set_expiring_record(
    call: call_progress.CallProgress, event: messages.Event
) -> None:
    if isinstance(event, messages.StoreAnswered):
        call.expiring_record = retention.expiring_record(
            call.key, call_progress.written_object(event).version, call.record
        )
