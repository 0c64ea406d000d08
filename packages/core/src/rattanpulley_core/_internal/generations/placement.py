"""The queue of generations that wait for a target.

Resumes come first, by deadline and then by age. New requests wait behind
queued resumes for the same targets.
"""

from rattanpulley_core import results
from rattanpulley_core._internal.generations import attempts
from rattanpulley_core._internal.generations import context
from rattanpulley_core._internal.generations import delivery
from rattanpulley_core._internal.generations import lifecycle
from rattanpulley_core._internal.generations import rows
from rattanpulley_core._internal.targets import choosers
from rattanpulley_core._internal.targets import rows as target_rows

# Longest wait of a new request; afterwards another daemon may do better.
NEW_REQUEST_WAIT_S = 2.0

# Characters of a token of usual text.
CHARS_PER_TOKEN = 4

_Code = results.ResultCode
# Pool and version, or None for any version.
_Group = tuple[str, str | None]


def place_waiting(ctx: context.Context, now_s: float) -> None:
    """Starts as many waiting generations as the targets take."""
    full_groups: set[_Group] = set()
    ctx.full_groups = full_groups
    if not ctx.queued_by_id:
        return
    reserved: set[str] = set()
    for generation in _ordered(ctx):
        group = (generation.request.pool, generation.version)
        if group in full_groups and _needs_slot(generation):
            continue
        excluded = generation.excluded(now_s)
        behind = frozenset() if generation.is_resume else frozenset(reserved)
        if place(ctx, generation, now_s, excluded | behind):
            continue
        if _waits_for_itself(ctx, generation, now_s):
            continue
        if generation.is_resume:
            reserved.update(_wanted(ctx, group, excluded))
        if not _has_usable(ctx, excluded):
            full_groups.add(group)


def place_queued(
    ctx: context.Context, generation: rows.Generation, now_s: float
) -> None:
    """Starts one generation at once unless others wait for the same targets.

    Where the last run found no free target, the next run comes with a free
    slot or the next tick. Running over the whole queue for every reset of a
    mass failure would make its cost quadratic.
    """
    if generation.generation_id not in ctx.queued_by_id:
        return
    if len(ctx.queued_by_id) == 1:
        place(ctx, generation, now_s, generation.excluded(now_s))
        return
    group = (generation.request.pool, generation.version)
    if group not in ctx.full_groups or not _needs_slot(generation):
        place_waiting(ctx, now_s)


def place(
    ctx: context.Context,
    generation: rows.Generation,
    now_s: float,
    excluded: frozenset[str],
) -> bool:
    """Starts one generation, or ends it; returns False when it must wait."""
    fingerprint = generation.request.fingerprint
    if ctx.suspects.is_refused(fingerprint, now_s):
        lifecycle.end(ctx, generation, _Code.REQUEST_CRASHES_TARGETS)
        return True
    if _is_whole(generation):
        _leave_queue(ctx, generation)
        delivery.finish(ctx, generation, "length", now_s)
        return True
    if ctx.ledger.must_wait(fingerprint, now_s):
        return False
    if generation.attach_to is not None and _attach(ctx, generation, now_s):
        return True
    if _version_is_gone(ctx, generation):
        lifecycle.end(ctx, generation, _Code.VERSION_GONE)
        return True
    target = _choose(ctx, generation, now_s, excluded)
    if target is None:
        return False
    if generation.needs_permit:
        ctx.counters.retries += 1
        generation.needs_permit = False
    _leave_queue(ctx, generation)
    attempts.start(ctx, generation, target, now_s)
    return True


def expire_waiting(ctx: context.Context, now_s: float) -> None:
    """Refuses new requests that have waited too long."""
    for generation in list(ctx.queued_by_id.values()):
        if generation.is_resume:
            continue
        since_s = generation.waiting_since_s
        if since_s is not None and now_s - since_s >= NEW_REQUEST_WAIT_S:
            lifecycle.end(ctx, generation, _Code.NO_TARGET)


def _ordered(ctx: context.Context) -> list[rows.Generation]:
    return sorted(
        ctx.queued_by_id.values(),
        key=lambda generation: (
            not generation.is_resume,
            generation.deadline_s,
            generation.arrived_at_s,
        ),
    )


def _waits_for_itself(
    ctx: context.Context, generation: rows.Generation, now_s: float
) -> bool:
    """Returns whether a generation waits although targets may be free."""
    fingerprint = generation.request.fingerprint
    return generation.needs_permit or ctx.ledger.must_wait(fingerprint, now_s)


def _needs_slot(generation: rows.Generation) -> bool:
    """Returns whether the next step depends on a free target."""
    return generation.attach_to is None and not _is_whole(generation)


def _has_usable(ctx: context.Context, names: frozenset[str]) -> bool:
    """Returns whether a generation without exclusions might use a target."""
    for name in names:
        target = ctx.targets.get(name)
        if (
            target is not None
            and target.state is target_rows.TargetState.LIVE
            and not target.awaiting_probe
        ):
            return True
    return False


def _wanted(
    ctx: context.Context, group: _Group, excluded: frozenset[str]
) -> list[str]:
    """Returns the targets that a queued resume waits for."""
    pool, version = group
    return [
        target.name
        for target in ctx.targets.targets_by_name.values()
        if target.pool == pool
        and version in (None, target.version)
        and target.name not in excluded
    ]


def _is_whole(generation: rows.Generation) -> bool:
    """Returns whether only the final event of the answer is missing."""
    length = len(generation.journal)
    return length > 0 and length >= generation.request.sampling.max_tokens


def _leave_queue(ctx: context.Context, generation: rows.Generation) -> None:
    ctx.queued_by_id.pop(generation.generation_id, None)


def _attach(
    ctx: context.Context, generation: rows.Generation, now_s: float
) -> bool:
    """Attaches at the target that may hold the generation."""
    name = generation.attach_to
    generation.attach_to = None
    target = ctx.targets.get(name) if name is not None else None
    if target is None or target.state is target_rows.TargetState.LOST:
        return False
    _leave_queue(ctx, generation)
    attempts.attach(ctx, generation, target, now_s)
    return True


def _version_is_gone(ctx: context.Context, generation: rows.Generation) -> bool:
    version = generation.version
    pool = generation.request.pool
    if version is None or not ctx.targets.has_pool(pool):
        return False
    return not ctx.targets.has_version(pool, version)


def _choose(
    ctx: context.Context,
    generation: rows.Generation,
    now_s: float,
    excluded: frozenset[str],
) -> target_rows.Target | None:
    if generation.needs_permit and ctx.retry_budget.available(now_s) < 1.0:
        return None
    name = ctx.chooser.choose(
        query_for(ctx, generation, now_s, excluded), now_s
    )
    if name is None:
        return None
    if generation.needs_permit:
        ctx.retry_budget.try_acquire_retry(now_s)
    return ctx.targets.get(name)


def query_for(
    ctx: context.Context,
    generation: rows.Generation,
    now_s: float,
    excluded: frozenset[str],
) -> choosers.TargetQuery:
    """Returns what the next attempt of a generation needs."""
    request = generation.request
    return choosers.TargetQuery(
        pool=request.pool,
        version=generation.version,
        prefix_block_hashes=generation.prefix_block_hashes,
        excluded=excluded,
        is_resume=generation.is_resume,
        suspect=ctx.ledger.is_suspect(request.fingerprint, now_s),
        prefix_tokens=len(generation.journal),
        prompt_tokens=len(request.prompt) // CHARS_PER_TOKEN,
        has_failed=generation.errored_attempts > 0,
    )


def exclude_version(
    ctx: context.Context,
    generation: rows.Generation,
    version: str,
    until_s: float,
) -> None:
    """Prefers another version until a time, if one is live.

    After an error, each request that a bad version gets could otherwise fail
    on all its targets before the version is taken back. The version that a move
    leaves counts until the date, also when it gets no new requests.
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
