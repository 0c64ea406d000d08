"""Crash reports of the daemon, and the end of requests that crash targets."""

from rattanpulley_core import results
from rattanpulley_core._internal.generations import context
from rattanpulley_core._internal.generations import lifecycle
from rattanpulley_core._internal.generations import messages
from rattanpulley_core._internal.generations import rows

# A request that crashes targets does so at about the same token again. One that
# ran this far beyond the crash, on another target, was not the cause. More
# tokens would blame a stream that meets two crashes within a few seconds.
CLEARED_AFTER_TOKENS = 30


def run(ctx: context.Context, now_s: float) -> None:
    """Publishes reports that are due, and ends refused generations."""
    for report in ctx.ledger.resolve_due(now_s):
        ctx.actions.append(
            messages.PublishCrashReport(
                report.fingerprint, report.target, report.boot_id
            )
        )
    refused = set(ctx.suspects.pop_newly_refused())
    if refused:
        _end_refused(ctx, refused)
    if len(ctx.suspects):
        _clear_suspects(ctx, now_s)


def _end_refused(ctx: context.Context, refused: set[str]) -> None:
    for generation in list(ctx.generations_by_id.values()):
        if generation.request.fingerprint in refused:
            lifecycle.end(
                ctx, generation, results.ResultCode.REQUEST_CRASHES_TARGETS
            )


def _clear_suspects(ctx: context.Context, now_s: float) -> None:
    for generation in ctx.generations_by_id.values():
        attempt = generation.attempt
        if (
            attempt is None
            or not attempt.has_token
            or attempt.target.awaiting_probe
        ):
            continue
        fingerprint = generation.request.fingerprint
        if not ctx.suspects.is_suspect(fingerprint, now_s):
            continue
        crashed_tokens = ctx.suspects.crashed_tokens(fingerprint, now_s)
        if not _is_beyond(generation, attempt, crashed_tokens):
            continue
        if ctx.suspects.clear(fingerprint):
            ctx.actions.append(messages.PublishClearance(fingerprint))


def _is_beyond(
    generation: rows.Generation,
    attempt: rows.Attempt,
    crashed_tokens: int | None,
) -> bool:
    """Returns whether an attempt ran on where the request should crash.

    Args:
        generation: A generation of a suspect request.
        attempt: Its current attempt.
        crashed_tokens: Tokens at the crash; None when only peers know it.
    """
    length = len(generation.journal)
    if attempt.suspect or crashed_tokens is None:
        return length - attempt.first_index >= CLEARED_AFTER_TOKENS
    # Another copy of the request, which ran before the crash already.
    return length >= crashed_tokens + CLEARED_AFTER_TOKENS
