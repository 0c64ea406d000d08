"""Recognises requests under which targets crash, and refuses their retries."""

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import context as context_lib
from rattanpulleyd._internal.relay import target_connection

REFUSAL_REASON = "this request has crashed its targets"


def refused_for_s(
    context: context_lib.RelayContext, admission: context_lib.Admission
) -> float:
    """Returns for how long a request must not run, 0 if it may."""
    return context.suspects.refused_for_s(
        admission.fingerprint, clock.suspend_aware_now_s()
    )


def record_crash(
    context: context_lib.RelayContext,
    admission: context_lib.Admission,
    entry: serving.TargetEntry,
    events: int,
    ran_s: float,
) -> None:
    """Records a crash if the target has ended under a request.

    Args:
        context: State of the process.
        admission: The request, whose connection to the target was lost.
        entry: The target.
        events: Id of the last event of the stream, or 0.
        ran_s: Seconds since the request was sent to the target.
    """
    if _stops_as_planned(context, entry) or not _has_crashed(entry):
        return
    now_s = clock.suspend_aware_now_s()
    fingerprint = admission.fingerprint
    context.suspects.record_crash(
        fingerprint,
        entry.target_id,
        str(entry.started_ms),
        events,
        ran_s,
        now_s,
    )
    context.metrics.suspects.labels("crash").inc()
    context.log.change(
        "suspect.crash",
        request=admission.request.request_id,
        fingerprint=fingerprint,
        target=entry.target_id,
        ran_s=round(ran_s, 3),
        crashes=context.suspects.crash_count(fingerprint, now_s),
    )


def record_progress(
    context: context_lib.RelayContext,
    admission: context_lib.Admission,
    events: int | None = None,
) -> None:
    """Clears a request that a target runs without a crash.

    Args:
        context: State of the process.
        admission: The request.
        events: Id of the last event of a stream that still runs, or None after
            a complete response.
    """
    if not len(context.suspects):
        return
    now_s = clock.suspend_aware_now_s()
    if events is None:
        cleared = context.suspects.record_success(admission.fingerprint, now_s)
    else:
        cleared = context.suspects.record_events(
            admission.fingerprint, events, now_s
        )
    if cleared:
        context.metrics.suspects.labels("cleared").inc()
        context.log.change(
            "suspect.cleared",
            request=admission.request.request_id,
            fingerprint=admission.fingerprint,
        )


def _stops_as_planned(
    context: context_lib.RelayContext, entry: serving.TargetEntry
) -> bool:
    """Returns whether the target has left or is draining."""
    current = context.targets.entry(entry.target_id)
    return current is None or current.leaving


def _has_crashed(entry: serving.TargetEntry) -> bool:
    """Returns whether the target refuses connections.

    A target that lives may also close a connection, and one that does not
    answer at all may be cut off from this host.
    """
    connection = target_connection.TargetConnection(entry)
    try:
        connection.connect(target_connection.CONNECT_TIMEOUT_S)
    except target_connection.AttemptError as error:
        return error.kind is serving.FailureKind.NOT_CONNECTED
    finally:
        connection.close()
    return False
