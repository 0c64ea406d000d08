"""Exclusion of the targets that probably fail a generation again."""

from rattanpulley_core._internal.generations import context
from rattanpulley_core._internal.generations import rows
from rattanpulley_core._internal.targets import rows as target_rows


def exclude_version(
    ctx: context.Context,
    generation: rows.Generation,
    version: str,
    until_s: float,
) -> None:
    """Excludes all targets of a version if another usable version is live.

    After an error, a request could otherwise fail on every target of a bad
    version before that version is rolled back. The version that a version move
    replaces stays usable until the move's finish-by date, even if it gets no
    new requests.

    Args:
        ctx: Shared state.
        generation: The generation whose attempt failed.
        version: The version of the failed attempt.
        until_s: Monotonic time until which the targets are excluded.
    """
    pool = [
        target
        for target in ctx.targets.targets_by_name.values()
        if target.pool == generation.request.pool
    ]
    weights = ctx.targets.version_weights(generation.request.pool)
    live = target_rows.TargetState.LIVE
    usable = {name for name, weight in weights.items() if weight > 0.0}
    usable.add(ctx.targets.retry_version(generation.request.pool) or "")
    has_other = any(
        target.version != version
        and target.state is live
        and target.version in usable
        for target in pool
    )
    if not has_other:
        return
    for target in pool:
        if target.version == version:
            generation.exclude(target.name, until_s)


def exclude_domain(
    ctx: context.Context,
    generation: rows.Generation,
    lost: target_rows.Target,
    until_s: float,
) -> None:
    """Excludes a lost target's failure domain if another one is usable.

    The targets of a domain are often lost together. A request that moves from
    one to the next would be on each of them when it is lost, and be blamed for
    it.

    Args:
        ctx: Shared state.
        generation: The generation whose attempt was reset.
        lost: The target of that attempt.
        until_s: Monotonic time until which the targets are excluded.
    """
    pool = [
        target
        for target in ctx.targets.targets_by_name.values()
        if target.pool == generation.request.pool
        and generation.version in (None, target.version)
    ]
    live = target_rows.TargetState.LIVE
    has_other = any(
        target.failure_domain != lost.failure_domain and target.state is live
        for target in pool
    )
    if not has_other:
        return
    for target in pool:
        if target.failure_domain == lost.failure_domain:
            generation.exclude(target.name, until_s)
