"""Recognises requests and parts of prompts under which targets crash."""

from rattanpulley_core import serving
from rattanpulley_core import suspects
from rattanpulleyd._internal.relay import attempt_progress
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import context as context_lib
from rattanpulleyd._internal.relay import target_connection

# Longest time for which a request is refused on a suspicion; once that is
# settled, it is refused for minutes.
SUSPICION_S = suspects.SETTLE_S
REFUSAL_REASON = "this request has crashed its targets"


def refused_for_s(
    context: context_lib.RelayContext, admission: context_lib.Admission
) -> float:
    """Returns for how long a request must not run, 0 if it may."""
    now_s = clock.suspend_aware_now_s()
    return max(
        context.suspects.refused_for_s(admission.fingerprint, now_s),
        context.part_suspects.prompt_refused_for_s(admission.part_keys, now_s),
    )


def record_crash(
    context: context_lib.RelayContext,
    admission: context_lib.Admission,
    entry: serving.TargetEntry,
    last_event_id: int,
    progress: attempt_progress.AttemptProgress,
) -> None:
    """Records a crash if the target has ended under a request.

    Args:
        context: State of the process.
        admission: The request, whose connection to the target was lost.
        entry: The target.
        last_event_id: Id of the last event of the stream, or 0.
        progress: How far the attempt has come.
    """
    if _stops_as_planned(context, entry) or not _has_crashed(entry):
        return
    now_s = clock.suspend_aware_now_s()
    ran_s = clock.now_s() - progress.sent_at_s
    fingerprint = admission.fingerprint
    boot_id = str(entry.started_ms)
    context.suspects.record_crash(
        fingerprint, entry.target_id, boot_id, last_event_id, ran_s, now_s
    )
    context.part_suspects.record_loss(entry.target_id, boot_id, now_s)
    # A prompt that still waited for its answer has not ended the target.
    if progress.answered_at_s is not None:
        context.part_suspects.record_crash(
            admission.part_keys,
            entry.target_id,
            boot_id,
            progress.events,
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
        part_losses={
            part: context.part_suspects.losses(part)
            for part in admission.part_keys
        },
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


def record_answer(
    context: context_lib.RelayContext,
    admission: context_lib.Admission,
    progress: attempt_progress.AttemptProgress,
    is_complete: bool = False,
) -> None:
    """Clears the parts of a prompt whose answer goes on without a crash.

    Args:
        context: State of the process.
        admission: The request.
        progress: How far the attempt has come.
        is_complete: Whether the answer is complete.
    """
    known = context.part_suspects
    is_sound = is_complete or progress.events >= suspects.SOUND_EVENTS
    if not is_sound and not len(known):
        return
    if progress.is_sound or progress.answered_at_s is None:
        return
    progress.is_sound = is_sound
    now_s = clock.suspend_aware_now_s()
    cleared = known.record_answer(
        admission.part_keys,
        now_s - (clock.now_s() - progress.answered_at_s),
        None if is_complete else progress.events,
        now_s,
    )
    if cleared:
        context.metrics.suspects.labels("cleared").inc(len(cleared))
        context.log.change(
            "suspect.cleared",
            request=admission.request.request_id,
            parts=cleared,
        )


def _stops_as_planned(
    context: context_lib.RelayContext, entry: serving.TargetEntry
) -> bool:
    """Returns whether the target has left or is draining."""
    current = context.targets.entry(entry.target_id)
    if current is None:
        return True
    return context.availability.is_draining(current, clock.now_s())


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
