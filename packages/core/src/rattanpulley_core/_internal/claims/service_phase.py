"""Second phase of a claimed call: calls the service once."""

import dataclasses

from rattanpulley_core._internal.claims import answers
from rattanpulley_core._internal.claims import call_progress
from rattanpulley_core._internal.claims import messages
from rattanpulley_core._internal.claims import outcome_phase
from rattanpulley_core._internal.claims import records

# Fraction of `max_call_s` after which a claim is too old to start the call.
START_WINDOW_FRACTION = 0.5


def start_call(
    call: call_progress.CallProgress, version: int, now_s: float
) -> list[messages.Action]:
    """Calls the service, unless the claim is too old.

    Args:
        call: The call, whose claim is stored.
        version: Version of the stored claim.
        now_s: Monotonic seconds.

    Returns:
        Actions to execute, in order.
    """
    call.expected_version = version
    start_by_s = _start_by_s(call)
    # Without this check, a daemon that was paused since the claim could
    # call after an operator settled the claim as not run.
    if now_s > start_by_s:
        return outcome_phase.record_outcome(
            call, records.ClaimState.NOT_RUN, answers.started_too_late()
        )
    call.state = call_progress.CallState.CALLING
    end_s = call.begin_s + call.request.max_call_s
    order = dataclasses.replace(
        call.request.order,
        timeout_s=min(call.request.order.timeout_s, end_s - now_s),
        fresh_connection=True,
    )
    return [messages.CallService(order, start_by_s)]


def _start_by_s(call: call_progress.CallProgress) -> float:
    return call.begin_s + START_WINDOW_FRACTION * call.request.max_call_s


def on_service_answered(
    call: call_progress.CallProgress, event: messages.Event, now_s: float
) -> list[messages.Action]:
    """Records the service's answer."""
    del now_s
    assert isinstance(event, messages.ServiceAnswered)
    return outcome_phase.record_outcome(
        call,
        records.ClaimState.DONE,
        answers.from_service_answer(event.answer),
        records.outcome_from_answer(event.answer),
    )


def on_service_not_sent(
    call: call_progress.CallProgress, event: messages.Event, now_s: float
) -> list[messages.Action]:
    """Records that the action did not run."""
    del event
    late = now_s > _start_by_s(call)
    return outcome_phase.record_outcome(
        call,
        records.ClaimState.NOT_RUN,
        answers.started_too_late() if late else answers.service_not_reached(),
    )


def on_service_unknown(
    call: call_progress.CallProgress, event: messages.Event, now_s: float
) -> list[messages.Action]:
    """Records that the action may have run."""
    del event, now_s
    return outcome_phase.record_outcome(
        call, records.ClaimState.UNKNOWN, answers.outcome_unknown()
    )
