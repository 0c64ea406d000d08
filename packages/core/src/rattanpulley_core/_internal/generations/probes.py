"""Health probes of targets and the handling of their results."""

from collections.abc import Iterable

from rattanpulley_core._internal.generations import actions
from rattanpulley_core._internal.generations import attempts
from rattanpulley_core._internal.generations import context
from rattanpulley_core._internal.generations import events
from rattanpulley_core._internal.generations import lifecycle
from rattanpulley_core._internal.generations import outcomes
from rattanpulley_core._internal.generations import placement
from rattanpulley_core._internal.generations import rows
from rattanpulley_core._internal.targets import rows as target_rows

PROBE_TIMEOUT_S = 0.25
# The adapter reports probe timeouts itself. This is the additional time to wait
# for its report.
PROBE_REPORT_GRACE_S = 0.5
# Interval at which lost targets are probed until they respond again.
LOST_PROBE_INTERVAL_S = 0.5
# The final event of an answer may be lost with its connection. Progress alone
# does not show this, so the stream is reattached on every second idle probe.
REATTACH_AFTER_IDLE_PROBES = 2
# A stream moves to another target, if the retry budget allows, when its target
# responds to probes but makes no progress for about 10 s: an engine can hang on
# a single stream.
STUCK_AFTER_IDLE_PROBES = 6
STUCK_EXCLUSION_S = 30.0


def probe_after_failure(
    ctx: context.Context, target: target_rows.Target, now_s: float
) -> None:
    """Probes a target after a failed connection.

    The target gets no new attempts until the probe has a result.
    """
    if target.state is target_rows.TargetState.LOST:
        return
    target.awaiting_probe = True
    pending = ctx.pending_probes_by_target.get(target.name)
    if pending is not None:
        pending.needs_repeat = True
        return
    send(ctx, target, (), now_s)


def send(
    ctx: context.Context,
    target: target_rows.Target,
    stalled: Iterable[rows.Generation],
    now_s: float,
) -> None:
    """Sends one probe to a target.

    Args:
        ctx: Shared state.
        target: The target.
        stalled: All stalled generations of the target, whose progress the probe
            asks for.
        now_s: Current monotonic time.
    """
    ctx.last_probe_id += 1
    ctx.counters.probes += 1
    next_index_by_attempt = {
        (generation.generation_id, generation.attempt.number): len(
            generation.journal
        )
        for generation in stalled
        if generation.attempt is not None
    }
    ctx.pending_probes_by_target[target.name] = context.PendingProbe(
        ctx.last_probe_id, target, now_s, next_index_by_attempt
    )
    ctx.actions.append(
        actions.ProbeTarget(
            target=target.name,
            url=target.url,
            probe_id=ctx.last_probe_id,
            generation_ids=tuple(key[0] for key in next_index_by_attempt),
            timeout_s=PROBE_TIMEOUT_S,
        )
    )


def on_succeeded(
    ctx: context.Context, event: events.ProbeSucceeded, now_s: float
) -> None:
    """Handles the response of a live target, which may have restarted."""
    pending = ctx.pending_probes_by_target.get(event.target)
    if pending is None or pending.probe_id != event.probe_id:
        ctx.counters.stale_events += 1
        return
    del ctx.pending_probes_by_target[event.target]
    ctx.next_lost_probe_s.pop(event.target, None)
    target = pending.target
    unconfirmed_boot_id = ctx.crash_attributor.unconfirmed_boot_id(target.name)
    was_lost = target.state is target_rows.TargetState.LOST
    _cancel_abandoned_attempts(ctx, target, event.boot_id)
    target.boot_id = event.boot_id
    target.leaving_by_health = event.leaving
    target.mark_alive(now_s)
    interrupted = _generations_on_earlier_process(ctx, pending, event)
    if unconfirmed_boot_id and unconfirmed_boot_id != event.boot_id:
        ctx.crash_attributor.record_loss(
            target.name, target.failure_domain, now_s
        )
        _confirm_crash(ctx, target, interrupted, now_s)
        outcomes.report_resets(ctx, target.name, crashed=True)
    elif pending.needs_repeat:
        target.awaiting_probe = True
        send(ctx, target, (), now_s)
    else:
        ctx.crash_attributor.discard(target.name)
        outcomes.report_resets(ctx, target.name, crashed=False)
    ctx.counters.target_restarts += bool(interrupted)
    for generation in interrupted:
        _report_crash(ctx, generation)
        _abandon_attempt(ctx, generation, now_s, keep_running=True)
    if not was_lost:
        for key, next_index in pending.next_index_by_attempt.items():
            _resolve_stall(ctx, pending, event, key, next_index, now_s)
    placement.place_all_queued(ctx, now_s)


def on_failed(
    ctx: context.Context, event: events.ProbeFailed, now_s: float
) -> None:
    """Handles a failed probe by marking the target as lost."""
    pending = ctx.pending_probes_by_target.get(event.target)
    if pending is None or pending.probe_id != event.probe_id:
        ctx.counters.stale_events += 1
        return
    _mark_target_lost(ctx, pending, now_s)


def expire(ctx: context.Context, now_s: float) -> None:
    """Treats probes whose result was not reported in time as failed."""
    limit_s = PROBE_TIMEOUT_S + PROBE_REPORT_GRACE_S
    for pending in list(ctx.pending_probes_by_target.values()):
        if now_s - pending.sent_at_s > limit_s:
            _mark_target_lost(ctx, pending, now_s)


def probe_lost_targets(ctx: context.Context, now_s: float) -> None:
    """Probes lost targets that are due, so that they can be used again."""
    for name, due_s in list(ctx.next_lost_probe_s.items()):
        if due_s > now_s or name in ctx.pending_probes_by_target:
            continue
        target = ctx.targets.get(name)
        if target is None:
            del ctx.next_lost_probe_s[name]
            ctx.abandoned_attempts_by_target.pop(name, None)
            continue
        send(ctx, target, (), now_s)


def _mark_target_lost(
    ctx: context.Context, pending: context.PendingProbe, now_s: float
) -> None:
    target = pending.target
    del ctx.pending_probes_by_target[target.name]
    ctx.counters.probe_failures += 1
    # Without jitter, daemons would probe a lost target at the same times.
    jitter = ctx.rng.uniform(0.75, 1.25)
    ctx.next_lost_probe_s[target.name] = now_s + LOST_PROBE_INTERVAL_S * jitter
    if target.state is not target_rows.TargetState.LOST:
        ctx.counters.targets_lost += 1
        ctx.crash_attributor.record_loss(
            target.name, target.failure_domain, now_s
        )
    target.mark_lost()
    running = list(ctx.running_by_target.get(target.name, {}).values())
    _confirm_crash(ctx, target, running, now_s)
    outcomes.report_resets(ctx, target.name, crashed=True)
    for generation in running:
        _report_crash(ctx, generation)
        _record_abandoned_attempt(ctx, generation)
        # The target is unreachable, so it is not told to stop.
        _abandon_attempt(ctx, generation, now_s, keep_running=True)
    placement.place_all_queued(ctx, now_s)


def _generations_on_earlier_process(
    ctx: context.Context,
    pending: context.PendingProbe,
    event: events.ProbeSucceeded,
) -> list[rows.Generation]:
    """Returns generations that ran on an earlier process of the target."""
    found: list[rows.Generation] = []
    for generation in ctx.running_by_target.get(event.target, {}).values():
        attempt = generation.attempt
        assert attempt is not None
        if attempt.started_at_s > pending.sent_at_s:
            continue
        if attempt.boot_id not in ("", event.boot_id):
            found.append(generation)
    return found


def _record_abandoned_attempt(
    ctx: context.Context, generation: rows.Generation
) -> None:
    attempt = generation.attempt
    assert attempt is not None
    target = attempt.target
    abandoned = ctx.abandoned_attempts_by_target.setdefault(target.name, [])
    abandoned.append(
        actions.CancelAttempt(
            generation_id=generation.generation_id,
            attempt=attempt.number,
            target=target.name,
            url=target.url,
        )
    )


def _cancel_abandoned_attempts(
    ctx: context.Context, target: target_rows.Target, boot_id: str
) -> None:
    """Cancels attempts that a paused target would otherwise continue.

    A restarted process does not have the attempts, so they are only discarded.
    """
    abandoned = ctx.abandoned_attempts_by_target.pop(target.name, [])
    if target.boot_id == boot_id:
        ctx.actions.extend(abandoned)


def record_reset(
    ctx: context.Context,
    generation: rows.Generation,
    attempt: rows.Attempt,
    now_s: float,
) -> None:
    """Records that an attempt's connection was reset, perhaps by a crash."""
    target = attempt.target
    ctx.crash_attributor.record_reset(
        target.name,
        target.failure_domain,
        attempt.boot_id or target.boot_id,
        generation.request.fingerprint,
        attempt.target_has_produced,
        attempt.started_at_s,
        len(generation.journal),
        now_s,
    )


def _confirm_crash(
    ctx: context.Context,
    target: target_rows.Target,
    running: Iterable[rows.Generation],
    now_s: float,
) -> None:
    """Attributes a crash to the attempts that were reset or still running.

    The resets of one crash are reported individually, and the result of a probe
    may arrive before some of them.
    """
    if not ctx.crash_attributor.has_unconfirmed_crash(target.name):
        return
    for generation in running:
        attempt = generation.attempt
        if attempt is not None and attempt.accepted:
            record_reset(ctx, generation, attempt, now_s)
    ctx.counters.crashes += ctx.crash_attributor.confirm_crash(
        target.name, now_s
    )


def _report_crash(ctx: context.Context, generation: rows.Generation) -> None:
    attempt = generation.attempt
    assert attempt is not None
    outcomes.report(ctx, generation, attempt, actions.AttemptResult.CRASH)


def _resolve_stall(
    ctx: context.Context,
    pending: context.PendingProbe,
    event: events.ProbeSucceeded,
    key: tuple[str, int],
    next_index: int,
    now_s: float,
) -> None:
    """Handles a stalled stream whose target is alive.

    Args:
        ctx: Shared state.
        pending: The probe.
        event: The response to the probe.
        key: Generation id and attempt number of the stream.
        next_index: Journal length at the time of the probe.
        now_s: Current monotonic time.
    """
    generation_id, number = key
    generation = ctx.generations_by_id.get(generation_id)
    if generation is None or generation.attempt is None:
        return
    attempt = generation.attempt
    if attempt.number != number:
        return
    if len(generation.journal) > next_index:
        attempt.target.record_false_alarm(now_s)
        return
    engine_index = event.next_index_by_generation_id.get(generation_id)
    if engine_index is None:
        _abandon_attempt(ctx, generation, now_s, keep_running=False)
        return
    is_finished = generation_id in event.finished_generation_ids
    if engine_index > next_index or is_finished:
        _reattach(ctx, generation, now_s)
        return
    attempt.idle_probes += 1
    attempt.target.record_false_alarm(now_s)
    if attempt.idle_probes >= STUCK_AFTER_IDLE_PROBES and _may_migrate(
        ctx, generation, now_s
    ):
        outcomes.report(ctx, generation, attempt, actions.AttemptResult.ERROR)
        generation.exclude(attempt.target.name, now_s + STUCK_EXCLUSION_S)
        _abandon_attempt(ctx, generation, now_s, keep_running=False)
        return
    attempt.estimator.back_off(now_s)
    if attempt.idle_probes % REATTACH_AFTER_IDLE_PROBES == 0:
        _reattach(ctx, generation, now_s)


def _may_migrate(
    ctx: context.Context, generation: rows.Generation, now_s: float
) -> bool:
    """Returns whether a stuck stream may move to another target.

    Under general overload every stream is slow. The retry budget keeps the
    moves from adding to the load.
    """
    attempt = generation.attempt
    assert attempt is not None
    excluded = generation.excluded(now_s) | {attempt.target.name}
    query = placement.build_query(ctx, generation, now_s, excluded)
    if ctx.chooser.choose(query, now_s) is None:
        return False
    return ctx.retry_budget.try_acquire_retry(now_s)


def _reattach(
    ctx: context.Context, generation: rows.Generation, now_s: float
) -> None:
    if generation.callers:
        attempts.reattach(ctx, generation, now_s)
        return
    # Another daemon may be reading the generation on the target by now, so the
    # target is not told to stop.
    attempt = generation.attempt
    assert attempt is not None
    target = attempt.target.name
    _abandon_attempt(ctx, generation, now_s, keep_running=True)
    generation.attach_target = target


def _abandon_attempt(
    ctx: context.Context,
    generation: rows.Generation,
    now_s: float,
    keep_running: bool,
) -> None:
    """Cancels an attempt whose progress on the target is unknown.

    The generation is requeued.
    """
    generation.may_have_run = True
    attempts.cancel(ctx, generation, keep_running)
    lifecycle.interrupt(ctx, generation, now_s)
