"""Recognises requests and parts of prompts under which targets crash."""

from rattanpulley_core import serving
from rattanpulley_core import suspects
from rattanpulleyd._internal.relay import attempt_progress
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import context as context_lib
from rattanpulleyd._internal.relay import target_ends

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
    run = _left_run(admission, last_event_id, progress)
    end = target_ends.find_end(context, entry)
    if end is not target_ends.TargetEnd.CRASHED:
        # It may end a moment later: the listener closes after a connection.
        _add_left_run(context, entry, run)
        context.log.failure(
            "suspect.not_counted",
            request=run.request_id,
            fingerprint=run.fingerprint,
            target=entry.target_id,
            target_state=end.value,
        )
        return
    boot_id = str(entry.started_ms)
    _record_run(context, entry.target_id, boot_id, run)
    record_left_runs(context, entry.target_id, boot_id)


def leave_run(
    context: context_lib.RelayContext,
    admission: context_lib.Admission,
    entry: serving.TargetEntry,
    last_event_id: int,
    progress: attempt_progress.AttemptProgress,
) -> None:
    """Notes a run that this host has left and the target may go on with.

    Args:
        context: State of the process.
        admission: The request.
        entry: The target.
        last_event_id: Id of the last event of the stream, or 0.
        progress: How far the attempt has come.
    """
    run = _left_run(admission, last_event_id, progress)
    _add_left_run(context, entry, run)


def record_left_runs(
    context: context_lib.RelayContext, target_id: str, boot_id: str
) -> None:
    """Records a crash under the runs that were left at the target."""
    now_s = clock.suspend_aware_now_s()
    for run in context.left_runs.take(target_id, boot_id, now_s):
        _record_run(context, target_id, boot_id, run)


def record_reported_losses(context: context_lib.RelayContext) -> None:
    """Records the crashes under left runs that other hosts have reported."""
    for target_id, boot_id in context.left_runs.processes():
        if context.part_suspects.has_lost(target_id, boot_id):
            record_left_runs(context, target_id, boot_id)


def _add_left_run(
    context: context_lib.RelayContext,
    entry: serving.TargetEntry,
    run: suspects.LeftRun,
) -> None:
    context.left_runs.add(entry.target_id, str(entry.started_ms), run)


def _left_run(
    admission: context_lib.Admission,
    last_event_id: int,
    progress: attempt_progress.AttemptProgress,
) -> suspects.LeftRun:
    now_s = clock.suspend_aware_now_s()
    return suspects.LeftRun(
        admission.request.request_id,
        admission.fingerprint,
        admission.part_keys,
        progress.events,
        last_event_id,
        sent_s=now_s - (clock.now_s() - progress.sent_at_s),
        left_s=now_s,
        writing_s=progress.writing_s(clock.now_s()),
    )


def _record_run(
    context: context_lib.RelayContext,
    target_id: str,
    boot_id: str,
    run: suspects.LeftRun,
) -> None:
    """Records that a target crashed while it had a run, or soon after."""
    now_s = clock.suspend_aware_now_s()
    ran_s = now_s - run.sent_s
    context.suspects.record_crash(
        run.fingerprint, target_id, boot_id, run.position, ran_s, now_s
    )
    context.part_suspects.record_loss(target_id, boot_id, now_s)
    context.part_suspects.record_crash(
        run.parts,
        target_id,
        boot_id,
        run.events,
        ran_s,
        now_s,
        run.position,
        run.writing_s,
    )
    context.metrics.suspects.labels("crash").inc()
    context.log.change(
        "suspect.crash",
        request=run.request_id,
        fingerprint=run.fingerprint,
        target=target_id,
        events=run.events,
        position=run.position,
        ran_s=round(ran_s, 3),
        left_s=round(now_s - run.left_s, 3),
        crashes=context.suspects.crash_count(run.fingerprint, now_s),
        part_losses=context.part_suspects.losses_by_part(run.parts),
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
    if not is_complete and not len(known):
        return
    now_s = clock.suspend_aware_now_s()
    ran_s = clock.now_s() - progress.sent_at_s
    cleared = known.record_answer(
        admission.part_keys,
        suspects.SoundAnswer(
            now_s - ran_s,
            ran_s,
            progress.events,
            progress.writing_s(clock.now_s()),
            progress.base_id,
            is_complete,
        ),
        now_s,
    )
    if cleared:
        context.metrics.suspects.labels("cleared").inc(len(cleared))
        context.log.change(
            "suspect.cleared",
            request=admission.request.request_id,
            parts=cleared,
        )
