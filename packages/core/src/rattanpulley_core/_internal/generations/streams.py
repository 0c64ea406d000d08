"""Handlers for accepted attempts, tokens and completed answers."""

from rattanpulley_core import results
from rattanpulley_core._internal.generations import actions
from rattanpulley_core._internal.generations import attempts
from rattanpulley_core._internal.generations import checks
from rattanpulley_core._internal.generations import context
from rattanpulley_core._internal.generations import delivery
from rattanpulley_core._internal.generations import events
from rattanpulley_core._internal.generations import failures
from rattanpulley_core._internal.generations import journal as journals
from rattanpulley_core._internal.generations import lifecycle
from rattanpulley_core._internal.generations import outcomes
from rattanpulley_core._internal.generations import placement
from rattanpulley_core._internal.generations import rows

_State = rows.GenerationState


def on_accepted(
    ctx: context.Context,
    generation: rows.Generation,
    attempt: rows.Attempt,
    event: events.AttemptAccepted,
    now_s: float,
) -> None:
    """Handles the acceptance of an attempt."""
    attempts.record_accepted(generation, attempt)
    attempt.boot_id = event.boot_id
    attempt.target.boot_id = event.boot_id
    if attempt.is_attach:
        attempt.estimator.restart(now_s)
    generation.state = _State.PREFILLING


def on_accepted_late(
    ctx: context.Context,
    generation: rows.Generation,
    attempt: rows.Attempt,
    event: events.AttemptAccepted,
    now_s: float,
) -> None:
    """Handles an acceptance that is reported after the first tokens."""
    attempt.boot_id = event.boot_id


def on_tokens(
    ctx: context.Context,
    generation: rows.Generation,
    attempt: rows.Attempt,
    event: events.TokensReceived,
    now_s: float,
) -> None:
    """Handles tokens of the current attempt.

    Tokens that violate the protocol end the attempt. More than
    `journals.MAX_TOKENS` tokens end the generation.
    """
    if not checks.is_pinned_version(attempt, event.version):
        ctx.counters.version_mismatches += 1
        failures.fail_corrupt_attempt(ctx, generation, attempt, now_s)
        return
    length = len(generation.journal)
    tokens = _new_tokens(ctx, generation, attempt, event, now_s)
    if not tokens:
        return
    if length + len(tokens) > journals.MAX_TOKENS:
        attempts.cancel(ctx, generation)
        lifecycle.end(
            ctx,
            generation,
            results.ResultCode.TARGET_ERROR,
            f"The answer has more than {journals.MAX_TOKENS} tokens.",
        )
        return
    if not attempt.has_received_token:
        _start_stream(ctx, generation, attempt, now_s)
    attempt.estimator.record(now_s)
    attempt.idle_probes = 0
    delivery.append_tokens(ctx, generation, attempt, tokens)
    if not generation.callers:
        _drop_if_rejected(ctx, generation)


def _new_tokens(
    ctx: context.Context,
    generation: rows.Generation,
    attempt: rows.Attempt,
    event: events.TokensReceived,
    now_s: float,
) -> tuple[str, ...]:
    """Returns the tokens of an event that follow the end of the journal.

    Tokens that leave a gap or differ from the journal end the attempt.
    """
    tokens = event.tokens
    duplicates = checks.count_duplicates(
        len(generation.journal), event.first_index
    )
    if duplicates == 0:
        return tokens
    if duplicates is None:
        ctx.counters.gaps += 1
        failures.fail_corrupt_attempt(ctx, generation, attempt, now_s)
        return ()
    if not checks.repeats_journal(
        generation.journal, event.first_index, tokens
    ):
        _detach_from_diverged_run(ctx, generation, attempt, now_s)
        return ()
    ctx.counters.duplicate_tokens += min(duplicates, len(tokens))
    return tokens[duplicates:]


def on_finished(
    ctx: context.Context,
    generation: rows.Generation,
    attempt: rows.Attempt,
    event: events.AttemptFinished,
    now_s: float,
) -> None:
    """Handles the target's report that the answer is complete."""
    is_pinned = checks.is_pinned_version(attempt, event.version)
    ctx.counters.version_mismatches += not is_pinned
    if not is_pinned or event.token_count != len(generation.journal):
        failures.fail_corrupt_attempt(ctx, generation, attempt, now_s)
        return
    attempts.record_accepted(generation, attempt)
    outcomes.report(ctx, generation, attempt, actions.AttemptResult.OK)
    attempts.release(ctx, generation)
    delivery.finish(ctx, generation, event.finish_reason, now_s)
    placement.place_all_queued(ctx, now_s)


def _detach_from_diverged_run(
    ctx: context.Context,
    generation: rows.Generation,
    attempt: rows.Attempt,
    now_s: float,
) -> None:
    """Detaches from a run whose tokens differ from the journal.

    Another daemon is reading that run, so it is not stopped. The generation is
    requeued for another target.
    """
    generation.exclude(
        attempt.target.name, now_s + failures.REFUSED_EXCLUSION_S
    )
    attempts.cancel(ctx, generation, keep_running=True)
    lifecycle.interrupt(ctx, generation, now_s)
    placement.place_all_queued(ctx, now_s)


def _start_stream(
    ctx: context.Context,
    generation: rows.Generation,
    attempt: rows.Attempt,
    now_s: float,
) -> None:
    """Handles the first token of an attempt."""
    attempts.record_accepted(generation, attempt)
    attempts.record_first_token(attempt, now_s)
    attempt.estimator.restart(now_s)
    generation.state = _State.STREAMING
    generation.last_target = attempt.target.name
    if len(generation.journal) == 0:
        _pin_version(ctx, generation, attempt.version)
    if attempt.is_resume:
        placement.place_all_queued(ctx, now_s)


def _pin_version(
    ctx: context.Context, generation: rows.Generation, version: str
) -> None:
    request = generation.request
    generation.version = version
    binding = ctx.signer.binding(
        request.generation_id, request.account, request.fingerprint, version
    )
    generation.journal.start_chain(ctx.signer, binding)


def _drop_if_rejected(
    ctx: context.Context, generation: rows.Generation
) -> None:
    """Drops a generation whose last caller has just been rejected.

    A generation whose callers disconnected has `orphaned_at_s` set and is kept.
    """
    if generation.orphaned_at_s is None:
        lifecycle.drop(ctx, generation)
