"""Transitions that queue, interrupt or end a generation."""

from rattanpulley_core import results
from rattanpulley_core._internal.generations import attempts
from rattanpulley_core._internal.generations import context
from rattanpulley_core._internal.generations import delivery
from rattanpulley_core._internal.generations import outcomes
from rattanpulley_core._internal.generations import rows

_State = rows.GenerationState


def enqueue(
    ctx: context.Context, generation: rows.Generation, now_s: float
) -> None:
    """Queues a generation without an attempt until a target is available.

    A generation without callers is parked until a caller reconnects, or
    removed if no target can have worked on it.
    """
    if generation.callers:
        generation.state = _State.QUEUED
        ctx.queued_by_id[generation.generation_id] = generation
        if generation.waiting_since_s is None:
            generation.waiting_since_s = now_s
        return
    ctx.queued_by_id.pop(generation.generation_id, None)
    if generation.is_resume:
        generation.state = _State.PARKED
    else:
        remove(ctx, generation)


def interrupt(
    ctx: context.Context, generation: rows.Generation, now_s: float
) -> None:
    """Ends the current attempt and requeues the generation.

    The attempt's connection must already be closed or cancelled.
    """
    attempts.release(ctx, generation)
    enqueue(ctx, generation, now_s)


def abandon_attempt(
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
    interrupt(ctx, generation, now_s)


def end(
    ctx: context.Context,
    generation: rows.Generation,
    code: results.ResultCode,
    message: str = "",
) -> None:
    """Fails all callers of a generation and drops it."""
    for caller in list(generation.callers):
        delivery.fail_caller(ctx, generation, caller, code, message)
    drop(ctx, generation)


def drop(
    ctx: context.Context,
    generation: rows.Generation,
    keep_running: bool = False,
) -> None:
    """Cancels the current attempt and removes the generation.

    Args:
        ctx: Shared state.
        generation: The generation.
        keep_running: Whether the target is not told to stop the generation.
    """
    if generation.attempt is not None:
        outcomes.report_abandoned(ctx, generation, generation.attempt)
        attempts.cancel(ctx, generation, keep_running)
    remove(ctx, generation)


def remove(ctx: context.Context, generation: rows.Generation) -> None:
    """Removes a generation from the queue and the generation table."""
    if generation.attempt is not None:
        attempts.release(ctx, generation)
    ctx.queued_by_id.pop(generation.generation_id, None)
    ctx.generations_by_id.pop(generation.generation_id, None)
