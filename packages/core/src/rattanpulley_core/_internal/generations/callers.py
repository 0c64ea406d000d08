"""Handlers for callers that connect, reconnect and disconnect."""

from rattanpulley_core import results
from rattanpulley_core._internal.generations import context
from rattanpulley_core._internal.generations import delivery
from rattanpulley_core._internal.generations import events
from rattanpulley_core._internal.generations import lifecycle
from rattanpulley_core._internal.generations import placement
from rattanpulley_core._internal.generations import requests
from rattanpulley_core._internal.generations import rows
from rattanpulley_core._internal.resume_token import signer as token_signer
from rattanpulley_core._internal.targets import prefixes

_State = rows.GenerationState
_Code = results.ResultCode
_RunState = results.RunState


def on_connected(
    ctx: context.Context, event: events.CallerConnected, now_s: float
) -> None:
    """Handles a caller that requests an answer or resumes one.

    A refused caller gets a `FailAnswer`. Otherwise the caller joins the
    generation with its id, or a new generation is created and queued.
    """
    ctx.retry_budget.record_request(now_s)
    ctx.counters.requests += 1
    ctx.counters.reconnects += event.resume is not None
    generation = ctx.generations_by_id.get(event.request.generation_id)
    code = _refusal_code(ctx, event, generation, now_s)
    if code is not None:
        _refuse(ctx, event, code)
        return
    if generation is not None and _is_superseded(ctx, event, generation):
        # The attempt that served the caller may run on the same target, so
        # the target is not told to stop.
        lifecycle.drop(ctx, generation, keep_running=True)
        generation = None
    if generation is None:
        _admit(ctx, event, now_s)
    else:
        _join_generation(ctx, event, generation, now_s)


def on_disconnected(
    ctx: context.Context, event: events.CallerDisconnected, now_s: float
) -> None:
    """Handles the end of a caller's connection.

    A generation without other callers is kept for `rows.RECONNECT_GRACE_S`
    seconds, so that the caller can reconnect. It is removed at once if it is
    queued and no target can have worked on it.
    """
    generation = ctx.generations_by_id.get(event.generation_id)
    if generation is None:
        return
    generation.callers = [
        caller
        for caller in generation.callers
        if caller.caller_id != event.caller_id
    ]
    if generation.callers:
        return
    generation.orphaned_at_s = now_s
    if generation.state is _State.QUEUED:
        lifecycle.enqueue(ctx, generation, now_s)
    generation.schedule_expiry()


def _refusal_code(
    ctx: context.Context,
    event: events.CallerConnected,
    generation: rows.Generation | None,
    now_s: float,
) -> results.ResultCode | None:
    """Returns the result code to refuse the caller with, or None."""
    request = event.request
    if generation is not None:
        existing = generation.request
        same_account = existing.account == request.account
        if not same_account or existing.fingerprint != request.fingerprint:
            return _Code.IDEMPOTENCY_KEY_REUSED
    if ctx.suspects.is_refused(request.fingerprint, now_s):
        return _Code.REQUEST_CRASHES_TARGETS
    if generation is None and ctx.draining:
        return _Code.DRAINING
    if request.deadline_s <= now_s:
        return _Code.DEADLINE_UNREACHABLE
    return _resume_refusal_code(ctx, event.resume)


def _resume_refusal_code(
    ctx: context.Context, resume: requests.ResumePoint | None
) -> results.ResultCode | None:
    if resume is None:
        return None
    try:
        ctx.signer.for_key(resume.key_id)
    except token_signer.ResumeTokenError:
        return _Code.RESUME_TOKEN_INVALID
    return None


def _refuse(
    ctx: context.Context,
    event: events.CallerConnected,
    code: results.ResultCode,
) -> None:
    """Refuses a caller.

    The run state of a resuming caller is unknown, because its request may
    already have run.
    """
    run_state = results.DETAILS_BY_CODE[code].run_state
    if code is _Code.REQUEST_CRASHES_TARGETS:
        run_state = _RunState.NOT_RUN
    if event.resume is not None:
        run_state = _RunState.UNKNOWN
    ctx.counters.refused += 1
    delivery.deliver_failure(
        ctx,
        event.caller_id,
        event.request.generation_id,
        code,
        run_state,
    )


def _is_superseded(
    ctx: context.Context,
    event: events.CallerConnected,
    generation: rows.Generation,
) -> bool:
    """Returns whether a generation without callers is out of date.

    Another daemon may have continued the answer from a different position. The
    local journal then matches no caller and can be discarded.
    """
    resume = event.resume
    if generation.callers or resume is None:
        return False
    if resume.index >= len(generation.journal):
        return True
    return not delivery.matches_journal(ctx, generation, resume)


def _admit(
    ctx: context.Context, event: events.CallerConnected, now_s: float
) -> None:
    request = event.request
    generation = rows.Generation(
        request=request,
        arrived_at_s=now_s,
        deadline_s=request.deadline_s,
        prefix_block_hashes=prefixes.block_hashes(
            request.model, request.prompt
        ),
    )
    ctx.generations_by_id[request.generation_id] = generation
    _add_caller(generation, event)
    if event.resume is not None:
        _restore_from_resume_point(generation, event.resume)
    lifecycle.enqueue(ctx, generation, now_s)
    placement.place_if_queued(ctx, generation, now_s)


def _join_generation(
    ctx: context.Context,
    event: events.CallerConnected,
    generation: rows.Generation,
    now_s: float,
) -> None:
    caller = _add_caller(generation, event)
    resume = event.resume
    if resume is not None:
        generation.may_have_run = True
        generation.last_attempt = max(generation.last_attempt, resume.attempt)
    if caller.resume is None:
        delivery.deliver_from(ctx, generation, caller, 0)
    else:
        delivery.verify_callers(ctx, generation)
    if caller not in generation.callers:
        return
    if generation.state is _State.DONE:
        delivery.finish_caller(ctx, generation, caller)
        generation.schedule_expiry()
    elif generation.state is _State.PARKED:
        lifecycle.enqueue(ctx, generation, now_s)
        placement.place_if_queued(ctx, generation, now_s)


def _restore_from_resume_point(
    generation: rows.Generation, resume: requests.ResumePoint
) -> None:
    """Initializes a generation that another daemon ran from a resume point."""
    generation.version = resume.version
    generation.last_attempt = resume.attempt
    generation.last_target = resume.target
    generation.attach_target = resume.target
    generation.may_have_run = True
    generation.was_accepted = True


def _add_caller(
    generation: rows.Generation, event: events.CallerConnected
) -> rows.Caller:
    """Adds a caller to a generation.

    A resume point before the first token needs no verification.
    """
    resume = event.resume
    if resume is not None and resume.index < 0:
        resume = None
    caller = rows.Caller(event.caller_id, event.request.deadline_s, resume)
    generation.callers.append(caller)
    generation.orphaned_at_s = None
    deadline_s = event.request.deadline_s
    generation.deadline_s = max(generation.deadline_s, deadline_s)
    generation.schedule_expiry()
    return caller
