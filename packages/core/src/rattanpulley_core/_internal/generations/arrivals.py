"""Callers that arrive, come back and leave."""

from rattanpulley_core import results
from rattanpulley_core._internal.generations import context
from rattanpulley_core._internal.generations import delivery
from rattanpulley_core._internal.generations import lifecycle
from rattanpulley_core._internal.generations import messages
from rattanpulley_core._internal.generations import placement
from rattanpulley_core._internal.generations import rows
from rattanpulley_core._internal.resume_token import signer as token_signer
from rattanpulley_core._internal.targets import prefixes

_State = rows.GenerationState
_Code = results.ResultCode
_RunState = results.RunState


def on_arrived(
    ctx: context.Context, event: messages.CallerConnected, now_s: float
) -> None:
    """A caller asks for an answer, or for the rest of it."""
    ctx.retry_budget.record_request(now_s)
    ctx.counters.requests += 1
    ctx.counters.reconnects += event.resume is not None
    generation = ctx.generations_by_id.get(event.request.generation_id)
    code = _refusal(ctx, event, generation, now_s)
    if code is not None:
        _refuse(ctx, event, code)
        return
    if generation is not None and _is_superseded(ctx, event, generation):
        # The caller's attempt may be on the same target.
        lifecycle.drop(ctx, generation, keep_running=True)
        generation = None
    if generation is None:
        _admit(ctx, event, now_s)
    else:
        _join(ctx, event, generation, now_s)


def on_left(
    ctx: context.Context, event: messages.CallerDisconnected, now_s: float
) -> None:
    """A caller's connection ended; the generation waits for its return."""
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


def _refusal(
    ctx: context.Context,
    event: messages.CallerConnected,
    generation: rows.Generation | None,
    now_s: float,
) -> results.ResultCode | None:
    """Returns why the caller is refused on arrival, or None."""
    request = event.request
    if generation is not None:
        held = generation.request
        same_account = held.account == request.account
        if not same_account or held.fingerprint != request.fingerprint:
            return _Code.IDEMPOTENCY_KEY_REUSED
    if ctx.suspects.is_refused(request.fingerprint, now_s):
        return _Code.REQUEST_CRASHES_TARGETS
    if generation is None and ctx.draining:
        return _Code.DRAINING
    if request.deadline_s <= now_s:
        return _Code.DEADLINE_UNREACHABLE
    return _resume_refusal(ctx, event.resume)


def _resume_refusal(
    ctx: context.Context, resume: messages.ResumePoint | None
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
    event: messages.CallerConnected,
    code: results.ResultCode,
) -> None:
    """Refuses a caller; one that comes back has run before."""
    run_state = results.DETAILS_BY_CODE[code].run_state
    if code is _Code.REQUEST_CRASHES_TARGETS:
        run_state = _RunState.NOT_RUN
    if event.resume is not None:
        run_state = _RunState.UNKNOWN
    ctx.counters.refused += 1
    delivery.refuse(
        ctx,
        event.caller_id,
        event.request.generation_id,
        code,
        run_state,
    )


def _is_superseded(
    ctx: context.Context,
    event: messages.CallerConnected,
    generation: rows.Generation,
) -> bool:
    """Returns whether an unread generation differs from the caller's.

    Another daemon may have continued the answer from a different position, so
    that the journal here is of no use to anyone.
    """
    resume = event.resume
    if generation.callers or resume is None:
        return False
    if resume.index >= len(generation.journal):
        return True
    return not delivery.matches(ctx, generation, resume)


def _admit(
    ctx: context.Context, event: messages.CallerConnected, now_s: float
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
        _adopt(generation, event.resume)
    lifecycle.enqueue(ctx, generation, now_s)
    placement.place_queued(ctx, generation, now_s)


def _join(
    ctx: context.Context,
    event: messages.CallerConnected,
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
        placement.place_queued(ctx, generation, now_s)


def _adopt(generation: rows.Generation, resume: messages.ResumePoint) -> None:
    """Takes over a generation that another daemon ran."""
    generation.version = resume.version
    generation.last_attempt = resume.attempt
    generation.last_target = resume.target
    generation.attach_to = resume.target
    generation.may_have_run = True
    generation.was_accepted = True


def _add_caller(
    generation: rows.Generation, event: messages.CallerConnected
) -> rows.Caller:
    """Adds a reader; a position before the first token needs no check."""
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
