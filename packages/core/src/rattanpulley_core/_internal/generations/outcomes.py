"""Reports of attempt outcomes for the comparison of versions."""

import dataclasses

from rattanpulley_core._internal.generations import actions
from rattanpulley_core._internal.generations import context
from rattanpulley_core._internal.generations import rows

_Result = actions.AttemptResult


def report(
    ctx: context.Context,
    generation: rows.Generation,
    attempt: rows.Attempt,
    result: actions.AttemptResult,
) -> None:
    """Reports the outcome of an attempt unless it is a resume or an attach."""
    outcome = _outcome(generation, attempt, result)
    if outcome is not None:
        ctx.actions.append(outcome)


def report_abandoned(
    ctx: context.Context, generation: rows.Generation, attempt: rows.Attempt
) -> None:
    """Reports an attempt that ended through no fault of its target.

    An attempt without a token is not reported.
    """
    if attempt.has_received_token:
        report(ctx, generation, attempt, _Result.OK)


def defer_reset(
    ctx: context.Context, generation: rows.Generation, attempt: rows.Attempt
) -> None:
    """Defers the report of a reset attempt until its target was probed.

    The probe shows whether the target crashed.
    """
    outcome = _outcome(generation, attempt, _Result.CRASH)
    if outcome is not None:
        deferred = ctx.pending_reset_outcomes_by_target
        deferred.setdefault(attempt.target.name, []).append(outcome)


def report_resets(ctx: context.Context, target: str, crashed: bool) -> None:
    """Reports the deferred reset attempts of a target after its probe.

    Args:
        ctx: Shared state.
        target: Name of the target.
        crashed: Whether the target crashed.
    """
    result = _Result.CRASH if crashed else _Result.ERROR
    for outcome in ctx.pending_reset_outcomes_by_target.pop(target, ()):
        ctx.actions.append(dataclasses.replace(outcome, result=result))


def _outcome(
    generation: rows.Generation,
    attempt: rows.Attempt,
    result: actions.AttemptResult,
) -> actions.AttemptOutcome | None:
    if attempt.is_resume or attempt.is_attach:
        return None
    request = generation.request
    target = attempt.target
    return actions.AttemptOutcome(
        generation_id=request.generation_id,
        attempt=attempt.number,
        pool=request.pool,
        route=request.route,
        failure_domain=target.failure_domain,
        target=target.name,
        version=attempt.version,
        result=result,
        first_token_s=_first_token_s(attempt),
        token_interval_s=_token_interval_s(generation, attempt),
    )


def _first_token_s(attempt: rows.Attempt) -> float | None:
    if attempt.first_token_at_s is None:
        return None
    return attempt.first_token_at_s - attempt.started_at_s


def _token_interval_s(
    generation: rows.Generation, attempt: rows.Attempt
) -> float | None:
    count = len(generation.journal) - attempt.first_index
    if attempt.first_token_at_s is None or count < 2:
        return None
    elapsed_s = attempt.estimator.last_event_s - attempt.first_token_at_s
    return elapsed_s / (count - 1)
