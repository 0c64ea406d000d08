"""Migration of running streams off targets that are leaving."""

from rattanpulley_core._internal.generations import attempts
from rattanpulley_core._internal.generations import context
from rattanpulley_core._internal.generations import outcomes
from rattanpulley_core._internal.generations import placement
from rattanpulley_core._internal.generations import rows
from rattanpulley_core._internal.targets import rows as target_rows

# Streams that finish within this time after their target started leaving are
# not migrated, because a migration costs a prefill.
MIGRATE_AFTER_S = 5.0


def run(ctx: context.Context, now_s: float) -> None:
    """Migrates streams off targets leaving for at least `MIGRATE_AFTER_S`."""
    for target in list(ctx.targets.targets_by_name.values()):
        since_s = target.leaving_since_s
        if since_s is None or now_s - since_s < MIGRATE_AFTER_S:
            continue
        if target.state is target_rows.TargetState.LEAVING:
            _migrate_streams(ctx, target, now_s)


def _migrate_streams(
    ctx: context.Context, target: target_rows.Target, now_s: float
) -> None:
    running = ctx.running_by_target.get(target.name, {})
    for generation in list(running.values()):
        if not generation.callers:
            continue
        if ctx.migration_bucket.available(now_s) < 1.0:
            return
        if _migrate(ctx, generation, now_s):
            ctx.migration_bucket.try_acquire(now_s)


def _migrate(
    ctx: context.Context, generation: rows.Generation, now_s: float
) -> bool:
    """Resumes a stream on another target.

    Returns:
        Whether the stream was migrated. It stays if no target is available.
    """
    excluded = generation.excluded(now_s)
    query = placement.build_query(ctx, generation, now_s, excluded)
    name = ctx.chooser.choose(query, now_s)
    successor = ctx.targets.get(name) if name is not None else None
    if successor is None:
        return False
    generation.may_have_run = True
    assert generation.attempt is not None
    outcomes.report_abandoned(ctx, generation, generation.attempt)
    attempts.cancel(ctx, generation)
    attempts.release(ctx, generation)
    attempts.start(ctx, generation, successor, now_s)
    ctx.counters.moves += 1
    return True
