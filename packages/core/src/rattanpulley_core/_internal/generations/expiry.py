"""Expiry of deadlines, reconnect grace periods and finished answers."""

from rattanpulley_core import results
from rattanpulley_core._internal.generations import context
from rattanpulley_core._internal.generations import delivery
from rattanpulley_core._internal.generations import lifecycle
from rattanpulley_core._internal.generations import rows

_State = rows.GenerationState
_Code = results.ResultCode


def run(ctx: context.Context, now_s: float) -> None:
    """Fails callers past their deadline and drops expired generations."""
    due: list[rows.Generation] = []
    for generation in ctx.generations_by_id.values():
        if generation.next_expiry_s <= now_s:
            due.append(generation)
    for generation in due:
        _expire(ctx, generation, now_s)


def _expire(
    ctx: context.Context, generation: rows.Generation, now_s: float
) -> None:
    generation.schedule_expiry()
    if generation.next_expiry_s > now_s:
        return
    if not generation.callers:
        ctx.counters.expired += 1
        lifecycle.drop(ctx, generation)
        return
    code = _deadline_code(generation)
    for caller in list(generation.callers):
        if caller.deadline_s <= now_s:
            delivery.fail_caller(ctx, generation, caller, code)
    if generation.callers:
        generation.schedule_expiry()
    else:
        lifecycle.drop(ctx, generation)


def _deadline_code(generation: rows.Generation) -> results.ResultCode:
    if generation.state is not _State.QUEUED:
        return _Code.DEADLINE_EXCEEDED
    if generation.is_resume:
        return _Code.GENERATION_LOST
    return _Code.NO_TARGET
