"""Delivery of tokens, completions and failures to callers."""

from rattanpulley_core import results
from rattanpulley_core._internal.generations import actions
from rattanpulley_core._internal.generations import context
from rattanpulley_core._internal.generations import requests
from rattanpulley_core._internal.generations import rows
from rattanpulley_core._internal.resume_token import signer as token_signer

_State = rows.GenerationState
_Code = results.ResultCode


def append_tokens(
    ctx: context.Context,
    generation: rows.Generation,
    attempt: rows.Attempt,
    tokens: tuple[str, ...],
) -> None:
    """Appends tokens to the journal and delivers them to every caller.

    Callers whose resume point is not verified yet are checked instead.
    """
    journal = generation.journal
    first_index = len(journal)
    chains = tuple([journal.append(token) for token in tokens])
    ctx.counters.tokens += len(tokens)
    has_unverified = False
    for caller in generation.callers:
        if caller.resume is not None:
            has_unverified = True
            continue
        ctx.actions.append(
            actions.DeliverTokens(
                caller.caller_id,
                generation.request.generation_id,
                attempt.number,
                attempt.target.name,
                attempt.version,
                first_index,
                tokens,
                chains,
            )
        )
    if has_unverified:
        verify_callers(ctx, generation)


def verify_callers(ctx: context.Context, generation: rows.Generation) -> None:
    """Verifies resuming callers whose index the journal has reached.

    A verified caller gets the tokens after its index. A caller whose tokens
    differ from the journal fails with `REGENERATION_DIFFERS`.
    """
    for caller in list(generation.callers):
        resume = caller.resume
        if resume is None or resume.index >= len(generation.journal):
            continue
        if matches_journal(ctx, generation, resume):
            ctx.counters.chains_verified += 1
            caller.resume = None
            deliver_from(ctx, generation, caller, resume.index + 1)
        else:
            ctx.counters.chains_rejected += 1
            fail_caller(ctx, generation, caller, _Code.REGENERATION_DIFFERS)


def matches_journal(
    ctx: context.Context,
    generation: rows.Generation,
    resume: requests.ResumePoint,
) -> bool:
    """Returns whether the journal starts with the tokens the caller received.

    The journal must include the caller's index. The hash chain is computed
    with the key that signed the caller's event id.
    """
    if generation.version not in (None, resume.version):
        return False
    if resume.index < 0:
        return True
    try:
        signer = ctx.signer.for_key(resume.key_id)
    except token_signer.ResumeTokenError:
        return False
    request = generation.request
    binding = signer.binding(
        request.generation_id,
        request.account,
        request.fingerprint,
        resume.version,
    )
    chain = generation.journal.chain_at(resume.index, signer, binding)
    return chain == resume.chain


def deliver_from(
    ctx: context.Context,
    generation: rows.Generation,
    caller: rows.Caller,
    first_index: int,
) -> None:
    """Delivers the tokens of the journal from `first_index` on."""
    tokens = generation.journal.tokens(first_index)
    if not tokens:
        return
    assert generation.version is not None
    ctx.actions.append(
        actions.DeliverTokens(
            caller.caller_id,
            generation.generation_id,
            max(1, generation.last_attempt),
            generation.last_target,
            generation.version,
            first_index,
            tokens,
            generation.journal.chains(first_index),
        )
    )


def finish(
    ctx: context.Context,
    generation: rows.Generation,
    finish_reason: str,
    now_s: float,
) -> None:
    """Completes the answer for every caller.

    The journal is kept for callers that reconnect.
    """
    generation.state = _State.DONE
    generation.done_at_s = now_s
    generation.finish_reason = finish_reason
    ctx.counters.finished += 1
    for caller in list(generation.callers):
        finish_caller(ctx, generation, caller)
    generation.schedule_expiry()


def finish_caller(
    ctx: context.Context, generation: rows.Generation, caller: rows.Caller
) -> None:
    """Completes the answer for one caller.

    A caller that is still unverified has received more tokens than the answer
    has, so its tokens come from a different run and the caller fails.
    """
    if caller.resume is not None:
        ctx.counters.chains_rejected += 1
        fail_caller(ctx, generation, caller, _Code.REGENERATION_DIFFERS)
        return
    generation.callers.remove(caller)
    ctx.actions.append(
        actions.FinishAnswer(
            caller.caller_id,
            generation.generation_id,
            len(generation.journal),
            generation.finish_reason,
        )
    )


def fail_caller(
    ctx: context.Context,
    generation: rows.Generation,
    caller: rows.Caller,
    code: results.ResultCode,
    message: str = "",
) -> None:
    """Removes a caller and ends its answer with an error."""
    generation.callers.remove(caller)
    has_run = (
        generation.may_have_run
        # The target may have accepted the attempt before the daemon was told.
        or generation.attempt is not None
        or caller.resume is not None
    )
    run_state = results.RunState.UNKNOWN if has_run else _NOT_RUN
    deliver_failure(
        ctx,
        caller.caller_id,
        generation.generation_id,
        code,
        run_state,
        message,
    )


def deliver_failure(
    ctx: context.Context,
    caller_id: int,
    generation_id: str,
    code: results.ResultCode,
    run_state: results.RunState,
    message: str = "",
) -> None:
    """Reports to a caller that its answer will not be started or completed."""
    details = results.DETAILS_BY_CODE[code]
    ctx.counters.failed += 1
    ctx.actions.append(
        actions.FailAnswer(
            caller_id,
            generation_id,
            code,
            run_state,
            message or _MESSAGES_BY_CODE.get(code, details.hint),
            details.retry_after_s,
        )
    )


_NOT_RUN = results.RunState.NOT_RUN
_MESSAGES_BY_CODE = {
    _Code.NO_TARGET: "No target is ready for the request.",
    _Code.DRAINING: "This host is shutting down.",
    _Code.REQUEST_CRASHES_TARGETS: "The request crashed two targets.",
    _Code.DEADLINE_UNREACHABLE: "The deadline has passed.",
    _Code.GENERATION_LOST: "No target could continue the answer in time.",
    _Code.VERSION_GONE: "No target of the answer's version is left.",
    _Code.REGENERATION_DIFFERS: "The answer could not be continued exactly.",
    _Code.DEADLINE_EXCEEDED: "The answer took longer than its deadline.",
    _Code.IDEMPOTENCY_KEY_REUSED: "The key belongs to another request.",
    _Code.RESUME_TOKEN_INVALID: "The event id cannot be verified.",
}
