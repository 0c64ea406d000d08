"""Health probes of targets and the handling of their results."""

from collections.abc import Iterable

from rattanpulley_core._internal.generations import actions
from rattanpulley_core._internal.generations import context
from rattanpulley_core._internal.generations import crashes
from rattanpulley_core._internal.generations import events
from rattanpulley_core._internal.generations import lifecycle
from rattanpulley_core._internal.generations import outcomes
from rattanpulley_core._internal.generations import placement
from rattanpulley_core._internal.generations import rows
from rattanpulley_core._internal.generations import stall_resolution
from rattanpulley_core._internal.targets import rows as target_rows

PROBE_TIMEOUT_S = 0.25
# The adapter reports probe timeouts itself. This is the additional time to wait
# for its report.
PROBE_REPORT_GRACE_S = 0.5
# Interval at which lost targets are probed until they respond again.
LOST_PROBE_INTERVAL_S = 0.5


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
    pending = _pending_probe(ctx, event)
    if pending is None:
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
        crashes.confirm_crash(ctx, target, interrupted, now_s)
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
        lifecycle.abandon_attempt(ctx, generation, now_s, keep_running=True)
    if not was_lost:
        for key, next_index in pending.next_index_by_attempt.items():
            stall_resolution.resolve(ctx, event, key, next_index, now_s)
    placement.place_all_queued(ctx, now_s)


def on_failed(
    ctx: context.Context, event: events.ProbeFailed, now_s: float
) -> None:
    """Handles a failed probe by marking the target as lost."""
    pending = _pending_probe(ctx, event)
    if pending is None:
        return
    _mark_target_lost(ctx, pending, now_s)


def _pending_probe(
    ctx: context.Context, event: events.ProbeSucceeded | events.ProbeFailed
) -> context.PendingProbe | None:
    """Returns the probe of a result, or None if the result is outdated."""
    pending = ctx.pending_probes_by_target.get(event.target)
    if pending is None or pending.probe_id != event.probe_id:
        ctx.counters.stale_events += 1
        return None
    return pending


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
    crashes.confirm_crash(ctx, target, running, now_s)
    outcomes.report_resets(ctx, target.name, crashed=True)
    for generation in running:
        _report_crash(ctx, generation)
        _record_abandoned_attempt(ctx, generation)
        # The target is unreachable, so it is not told to stop.
        lifecycle.abandon_attempt(ctx, generation, now_s, keep_running=True)
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


def _report_crash(ctx: context.Context, generation: rows.Generation) -> None:
    attempt = generation.attempt
    assert attempt is not None
    outcomes.report(ctx, generation, attempt, actions.AttemptResult.CRASH)
