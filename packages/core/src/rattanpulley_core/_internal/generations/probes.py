"""Probes of targets, and what their answers mean for the streams."""

from collections.abc import Iterable

from rattanpulley_core._internal.generations import attempts
from rattanpulley_core._internal.generations import context
from rattanpulley_core._internal.generations import lifecycle
from rattanpulley_core._internal.generations import messages
from rattanpulley_core._internal.generations import outcomes
from rattanpulley_core._internal.generations import placement
from rattanpulley_core._internal.generations import rows
from rattanpulley_core._internal.targets import rows as target_rows

PROBE_TIMEOUT_S = 0.25
# The adapter reports a timeout itself; this bounds the wait for its report.
PROBE_REPORT_S = 0.5
# Lost targets are probed until they answer again.
LOST_PROBE_INTERVAL_S = 0.5
# The final event of an answer may be lost with its connection, which progress
# alone does not show, so every second idle probe attaches again.
ATTACH_AFTER_IDLE_PROBES = 2
# A target that answers probes but makes no progress for about 10 s is left, if
# the retry budget allows: an engine can hang on one stream.
STUCK_AFTER_IDLE_PROBES = 6
STUCK_EXCLUSION_S = 30.0


def examine(
    ctx: context.Context, target: target_rows.Target, now_s: float
) -> None:
    """Probes a target whose connection failed; it gets no work meanwhile."""
    if target.state is target_rows.TargetState.LOST:
        return
    target.awaiting_probe = True
    run = ctx.probes_by_target.get(target.name)
    if run is not None:
        run.repeat = True
        return
    send(ctx, target, (), now_s)


def send(
    ctx: context.Context,
    target: target_rows.Target,
    stalled: Iterable[rows.Generation],
    now_s: float,
) -> None:
    """Sends one probe that serves all stalled streams of the target."""
    ctx.last_probe_id += 1
    ctx.counters.probes += 1
    next_index_by_attempt = {
        (generation.generation_id, generation.attempt.number): len(
            generation.journal
        )
        for generation in stalled
        if generation.attempt is not None
    }
    ctx.probes_by_target[target.name] = context.ProbeRun(
        ctx.last_probe_id, target, now_s, next_index_by_attempt
    )
    ctx.actions.append(
        messages.ProbeTarget(
            target=target.name,
            url=target.url,
            probe_id=ctx.last_probe_id,
            generation_ids=tuple(key[0] for key in next_index_by_attempt),
            timeout_s=PROBE_TIMEOUT_S,
        )
    )


def on_answered(
    ctx: context.Context, event: messages.ProbeAnswered, now_s: float
) -> None:
    """The target is alive, though perhaps as another process."""
    run = ctx.probes_by_target.get(event.target)
    if run is None or run.probe_id != event.probe_id:
        ctx.counters.stale_events += 1
        return
    del ctx.probes_by_target[event.target]
    ctx.next_lost_probe_s.pop(event.target, None)
    target = run.target
    unconfirmed_boot_id = ctx.ledger.unconfirmed_boot_id(target.name)
    was_lost = target.state is target_rows.TargetState.LOST
    _cancel_left_attempts(ctx, target, event.boot_id)
    target.boot_id = event.boot_id
    target.leaving_by_health = event.leaving
    target.mark_alive(now_s)
    earlier = _running_on_earlier_process(ctx, run, event)
    if unconfirmed_boot_id and unconfirmed_boot_id != event.boot_id:
        ctx.ledger.record_loss(target.name, target.failure_domain, now_s)
        _confirm_crash(ctx, target, earlier, now_s)
        outcomes.settle_resets(ctx, target.name, crashed=True)
    elif run.repeat:
        target.awaiting_probe = True
        send(ctx, target, (), now_s)
    else:
        ctx.ledger.discard(target.name)
        outcomes.settle_resets(ctx, target.name, crashed=False)
    ctx.counters.target_restarts += bool(earlier)
    for generation in earlier:
        _report_crash(ctx, generation)
        _abandon(ctx, generation, now_s, keep_at_target=True)
    if not was_lost:
        for key, next_index in run.next_index_by_attempt.items():
            _judge_stream(ctx, run, event, key, next_index, now_s)
    placement.place_waiting(ctx, now_s)


def on_failed(
    ctx: context.Context, event: messages.ProbeFailed, now_s: float
) -> None:
    """The target is dead or unreachable."""
    run = ctx.probes_by_target.get(event.target)
    if run is None or run.probe_id != event.probe_id:
        ctx.counters.stale_events += 1
        return
    _lose_target(ctx, run, now_s)


def expire(ctx: context.Context, now_s: float) -> None:
    """Treats probes without any report as failed."""
    limit_s = PROBE_TIMEOUT_S + PROBE_REPORT_S
    for run in list(ctx.probes_by_target.values()):
        if now_s - run.sent_at_s > limit_s:
            _lose_target(ctx, run, now_s)


def probe_lost_targets(ctx: context.Context, now_s: float) -> None:
    """Probes lost targets that are due, so that they come back into use."""
    for name, due_s in list(ctx.next_lost_probe_s.items()):
        if due_s > now_s or name in ctx.probes_by_target:
            continue
        target = ctx.targets.get(name)
        if target is None:
            del ctx.next_lost_probe_s[name]
            ctx.left_attempts_by_target.pop(name, None)
            continue
        send(ctx, target, (), now_s)


def _lose_target(
    ctx: context.Context, run: context.ProbeRun, now_s: float
) -> None:
    target = run.target
    del ctx.probes_by_target[target.name]
    ctx.counters.probe_failures += 1
    # Daemons would otherwise probe a lost target in step.
    jitter = ctx.rng.uniform(0.75, 1.25)
    ctx.next_lost_probe_s[target.name] = now_s + LOST_PROBE_INTERVAL_S * jitter
    if target.state is not target_rows.TargetState.LOST:
        ctx.counters.targets_lost += 1
        ctx.ledger.record_loss(target.name, target.failure_domain, now_s)
    target.mark_lost()
    running = list(ctx.running_by_target.get(target.name, {}).values())
    _confirm_crash(ctx, target, running, now_s)
    outcomes.settle_resets(ctx, target.name, crashed=True)
    for generation in running:
        _report_crash(ctx, generation)
        _note_left_attempt(ctx, generation)
        # Nothing listens there, so the target is not told to stop.
        _abandon(ctx, generation, now_s, keep_at_target=True)
    placement.place_waiting(ctx, now_s)


def _running_on_earlier_process(
    ctx: context.Context, run: context.ProbeRun, event: messages.ProbeAnswered
) -> list[rows.Generation]:
    """Returns the generations whose process of the target is gone."""
    found: list[rows.Generation] = []
    for generation in ctx.running_by_target.get(event.target, {}).values():
        attempt = generation.attempt
        assert attempt is not None
        if attempt.started_at_s > run.sent_at_s:
            continue
        if attempt.boot_id not in ("", event.boot_id):
            found.append(generation)
    return found


def _note_left_attempt(
    ctx: context.Context, generation: rows.Generation
) -> None:
    attempt = generation.attempt
    assert attempt is not None
    target = attempt.target
    left = ctx.left_attempts_by_target.setdefault(target.name, [])
    left.append(
        messages.CancelAttempt(
            generation_id=generation.generation_id,
            attempt=attempt.number,
            target=target.name,
            url=target.url,
        )
    )


def _cancel_left_attempts(
    ctx: context.Context, target: target_rows.Target, boot_id: str
) -> None:
    """Cancels what a target that was paused would go on to compute.

    A restarted process knows nothing of the attempts.
    """
    left = ctx.left_attempts_by_target.pop(target.name, [])
    if target.boot_id == boot_id:
        ctx.actions.extend(left)


def record_reset(
    ctx: context.Context,
    generation: rows.Generation,
    attempt: rows.Attempt,
    now_s: float,
) -> None:
    """Records that an attempt ended with its connection."""
    target = attempt.target
    ctx.ledger.record_reset(
        target.name,
        target.failure_domain,
        attempt.boot_id or target.boot_id,
        generation.request.fingerprint,
        attempt.has_produced,
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
    """Attributes a crash to the attempts that were reset or still run there.

    The resets of one crash are reported one by one, and a probe may overtake
    some of them.
    """
    if not ctx.ledger.has_unconfirmed_crash(target.name):
        return
    for generation in running:
        attempt = generation.attempt
        if attempt is not None and attempt.accepted:
            record_reset(ctx, generation, attempt, now_s)
    ctx.counters.crashes += ctx.ledger.confirm_crash(target.name, now_s)


def _report_crash(ctx: context.Context, generation: rows.Generation) -> None:
    attempt = generation.attempt
    assert attempt is not None
    outcomes.report(ctx, generation, attempt, messages.AttemptResult.CRASH)


def _judge_stream(
    ctx: context.Context,
    run: context.ProbeRun,
    event: messages.ProbeAnswered,
    key: tuple[str, int],
    next_index: int,
    now_s: float,
) -> None:
    """Decides about a stalled stream whose target is alive."""
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
        _abandon(ctx, generation, now_s, keep_at_target=False)
        return
    is_finished = generation_id in event.finished_generation_ids
    if engine_index > next_index or is_finished:
        _reattach(ctx, generation, now_s)
        return
    attempt.idle_probes += 1
    attempt.target.record_false_alarm(now_s)
    if attempt.idle_probes >= STUCK_AFTER_IDLE_PROBES and _may_leave(
        ctx, generation, now_s
    ):
        outcomes.report(ctx, generation, attempt, messages.AttemptResult.ERROR)
        generation.exclude(attempt.target.name, now_s + STUCK_EXCLUSION_S)
        _abandon(ctx, generation, now_s, keep_at_target=False)
        return
    attempt.estimator.back_off(now_s)
    if attempt.idle_probes % ATTACH_AFTER_IDLE_PROBES == 0:
        _reattach(ctx, generation, now_s)


def _may_leave(
    ctx: context.Context, generation: rows.Generation, now_s: float
) -> bool:
    """Returns whether a stuck stream may go to another target.

    Under a general overload every stream is slow; the budget keeps the moves
    from adding to the load.
    """
    attempt = generation.attempt
    assert attempt is not None
    excluded = generation.excluded(now_s) | {attempt.target.name}
    query = placement.query_for(ctx, generation, now_s, excluded)
    if ctx.chooser.choose(query, now_s) is None:
        return False
    return ctx.retry_budget.try_acquire_retry(now_s)


def _reattach(
    ctx: context.Context, generation: rows.Generation, now_s: float
) -> None:
    if generation.callers:
        attempts.attach_again(ctx, generation, now_s)
        return
    # Another daemon may read the generation at the target by now.
    attempt = generation.attempt
    assert attempt is not None
    target = attempt.target.name
    _abandon(ctx, generation, now_s, keep_at_target=True)
    generation.attach_to = target


def _abandon(
    ctx: context.Context,
    generation: rows.Generation,
    now_s: float,
    keep_at_target: bool,
) -> None:
    """Ends an attempt without knowing how far the target came."""
    generation.may_have_run = True
    attempts.cancel(ctx, generation, keep_at_target)
    lifecycle.interrupt(ctx, generation, now_s)
