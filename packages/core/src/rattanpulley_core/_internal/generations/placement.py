"""Placement of queued generations on targets.

Resumes are placed first, ordered by deadline and then by age. A new request
does not use a target that a queued resume waits for.
"""

from rattanpulley_core import results
from rattanpulley_core._internal.generations import attempts
from rattanpulley_core._internal.generations import context
from rattanpulley_core._internal.generations import delivery
from rattanpulley_core._internal.generations import lifecycle
from rattanpulley_core._internal.generations import rows
from rattanpulley_core._internal.targets import choosers
from rattanpulley_core._internal.targets import rows as target_rows

# Maximum time in the queue for a new request. It then fails, so that the caller
# can try another daemon.
NEW_REQUEST_WAIT_S = 2.0

# Typical number of characters per token, used to estimate the prompt's tokens.
CHARS_PER_TOKEN = 4

_Code = results.ResultCode
# Pool and version; a version of None stands for any version.
_Group = tuple[str, str | None]


def place_all_queued(ctx: context.Context, now_s: float) -> None:
    """Starts as many queued generations as there are available targets."""
    full_groups: set[_Group] = set()
    ctx.full_groups = full_groups
    if not ctx.queued_by_id:
        return
    reserved: set[str] = set()
    for generation in _sorted_queue(ctx):
        group = (generation.request.pool, generation.version)
        if group in full_groups and _needs_slot(generation):
            continue
        excluded = generation.excluded(now_s)
        reserved_for_resumes = (
            frozenset() if generation.is_resume else frozenset(reserved)
        )
        if place(ctx, generation, now_s, excluded | reserved_for_resumes):
            continue
        if _is_held_back(ctx, generation, now_s):
            continue
        if generation.is_resume:
            reserved.update(_eligible_targets(ctx, group, excluded))
        if not _has_usable_target(ctx, excluded):
            full_groups.add(group)


def place_if_queued(
    ctx: context.Context, generation: rows.Generation, now_s: float
) -> None:
    """Tries to start one queued generation without waiting for the next tick.

    If other generations are queued, the whole queue is processed, unless the
    last pass found no free target for this pool and version. In that case the
    next pass follows when a slot becomes free or at the next tick: processing
    the whole queue for every reset during a mass failure would have quadratic
    cost.
    """
    if generation.generation_id not in ctx.queued_by_id:
        return
    if len(ctx.queued_by_id) == 1:
        place(ctx, generation, now_s, generation.excluded(now_s))
        return
    group = (generation.request.pool, generation.version)
    if group not in ctx.full_groups or not _needs_slot(generation):
        place_all_queued(ctx, now_s)


def place(
    ctx: context.Context,
    generation: rows.Generation,
    now_s: float,
    excluded: frozenset[str],
) -> bool:
    """Starts or ends one queued generation if possible.

    Args:
        ctx: Shared state.
        generation: The generation.
        now_s: Current monotonic time.
        excluded: Names of targets that must not be used.

    Returns:
        False if the generation must stay in the queue.
    """
    fingerprint = generation.request.fingerprint
    if ctx.suspects.is_refused(fingerprint, now_s):
        lifecycle.end(ctx, generation, _Code.REQUEST_CRASHES_TARGETS)
        return True
    if _has_all_tokens(generation):
        _dequeue(ctx, generation)
        delivery.finish(ctx, generation, "length", now_s)
        return True
    if ctx.crash_attributor.must_wait(fingerprint, now_s):
        return False
    if generation.attach_target is not None and _attach(ctx, generation, now_s):
        return True
    if _is_version_gone(ctx, generation):
        lifecycle.end(ctx, generation, _Code.VERSION_GONE)
        return True
    target = _choose_target(ctx, generation, now_s, excluded)
    if target is None:
        return False
    if generation.needs_retry_permit:
        ctx.counters.retries += 1
        generation.needs_retry_permit = False
    _dequeue(ctx, generation)
    attempts.start(ctx, generation, target, now_s)
    return True


def expire_queued(ctx: context.Context, now_s: float) -> None:
    """Fails new requests that were queued for `NEW_REQUEST_WAIT_S`."""
    for generation in list(ctx.queued_by_id.values()):
        if generation.is_resume:
            continue
        since_s = generation.waiting_since_s
        if since_s is not None and now_s - since_s >= NEW_REQUEST_WAIT_S:
            lifecycle.end(ctx, generation, _Code.NO_TARGET)


def _sorted_queue(ctx: context.Context) -> list[rows.Generation]:
    return sorted(
        ctx.queued_by_id.values(),
        key=lambda generation: (
            not generation.is_resume,
            generation.deadline_s,
            generation.arrived_at_s,
        ),
    )


def _is_held_back(
    ctx: context.Context, generation: rows.Generation, now_s: float
) -> bool:
    """Returns whether a generation may wait for a reason other than targets.

    It waits for the retry budget, or until it is decided whether its request
    crashed a target.
    """
    fingerprint = generation.request.fingerprint
    return generation.needs_retry_permit or ctx.crash_attributor.must_wait(
        fingerprint, now_s
    )


def _needs_slot(generation: rows.Generation) -> bool:
    """Returns whether a generation needs a free target to proceed."""
    return generation.attach_target is None and not _has_all_tokens(generation)


def _has_usable_target(ctx: context.Context, names: frozenset[str]) -> bool:
    """Returns whether another generation could use one of the named targets."""
    for name in names:
        target = ctx.targets.get(name)
        if (
            target is not None
            and target.state is target_rows.TargetState.LIVE
            and not target.awaiting_probe
        ):
            return True
    return False


def _eligible_targets(
    ctx: context.Context, group: _Group, excluded: frozenset[str]
) -> list[str]:
    """Returns the names of the targets that a queued resume waits for."""
    pool, version = group
    return [
        target.name
        for target in ctx.targets.targets_by_name.values()
        if target.pool == pool
        and version in (None, target.version)
        and target.name not in excluded
    ]


def _has_all_tokens(generation: rows.Generation) -> bool:
    """Returns whether the journal has the maximum number of tokens.

    Only the final event of the answer is then missing.
    """
    length = len(generation.journal)
    return length > 0 and length >= generation.request.sampling.max_tokens


def _dequeue(ctx: context.Context, generation: rows.Generation) -> None:
    ctx.queued_by_id.pop(generation.generation_id, None)


def _attach(
    ctx: context.Context, generation: rows.Generation, now_s: float
) -> bool:
    """Attaches to the target that may already have the generation.

    Returns:
        False if the target is unknown or lost.
    """
    name = generation.attach_target
    generation.attach_target = None
    target = ctx.targets.get(name) if name is not None else None
    if target is None or target.state is target_rows.TargetState.LOST:
        return False
    _dequeue(ctx, generation)
    attempts.attach(ctx, generation, target, now_s)
    return True


def _is_version_gone(ctx: context.Context, generation: rows.Generation) -> bool:
    version = generation.version
    pool = generation.request.pool
    if version is None or not ctx.targets.has_pool(pool):
        return False
    return not ctx.targets.has_version(pool, version)


def _choose_target(
    ctx: context.Context,
    generation: rows.Generation,
    now_s: float,
    excluded: frozenset[str],
) -> target_rows.Target | None:
    if (
        generation.needs_retry_permit
        and ctx.retry_budget.available(now_s) < 1.0
    ):
        return None
    name = ctx.chooser.choose(
        build_query(ctx, generation, now_s, excluded), now_s
    )
    if name is None:
        return None
    if generation.needs_retry_permit:
        ctx.retry_budget.try_acquire_retry(now_s)
    return ctx.targets.get(name)


def build_query(
    ctx: context.Context,
    generation: rows.Generation,
    now_s: float,
    excluded: frozenset[str],
) -> choosers.TargetQuery:
    """Returns the target query for a generation's next attempt."""
    request = generation.request
    return choosers.TargetQuery(
        pool=request.pool,
        version=generation.version,
        prefix_block_hashes=generation.prefix_block_hashes,
        excluded=excluded,
        is_resume=generation.is_resume,
        suspect=ctx.crash_attributor.is_suspect(request.fingerprint, now_s),
        prefix_tokens=len(generation.journal),
        prompt_tokens=len(request.prompt) // CHARS_PER_TOKEN,
        has_failed=generation.errored_attempts > 0,
    )
