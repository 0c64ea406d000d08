"""Decides what happens to a stalled stream whose target responds to probes."""

from rattanpulley_core._internal.generations import actions
from rattanpulley_core._internal.generations import attempts
from rattanpulley_core._internal.generations import context
from rattanpulley_core._internal.generations import events
from rattanpulley_core._internal.generations import lifecycle
from rattanpulley_core._internal.generations import outcomes
from rattanpulley_core._internal.generations import placement
from rattanpulley_core._internal.generations import rows

# The final event of an answer may be lost with its connection. Progress alone
# does not show this, so the stream is reattached on every second idle probe.
REATTACH_AFTER_IDLE_PROBES = 2
# A stream moves to another target, if the retry budget allows, when its target
# responds to probes but makes no progress for about 10 s: an engine can hang on
# a single stream.
STUCK_AFTER_IDLE_PROBES = 6
STUCK_EXCLUSION_S = 30.0


def resolve(
    ctx: context.Context,
    event: events.ProbeSucceeded,
    key: tuple[str, int],
    next_index: int,
    now_s: float,
) -> None:
    """Handles a stalled stream whose target is alive.

    Args:
        ctx: Shared state.
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
        lifecycle.abandon_attempt(ctx, generation, now_s, keep_running=False)
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
        lifecycle.abandon_attempt(ctx, generation, now_s, keep_running=False)
        return
    attempt.estimator.back_off(now_s)
    if attempt.idle_probes % REATTACH_AFTER_IDLE_PROBES == 0:
        _reattach(ctx, generation, now_s)


def _may_migrate(
    ctx: context.Context, generation: rows.Generation, now_s: float
) -> bool:
    """Returns whether a stuck stream may move to another target.

    Under general overload every stream is slow. The retry budget keeps the
    migrations from adding to the load.
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
    lifecycle.abandon_attempt(ctx, generation, now_s, keep_running=True)
    generation.attach_target = target
