"""Crash reports of the daemon, and the end of requests that crash targets."""

from rattanpulley_core import results
from rattanpulley_core._internal.generations import context
from rattanpulley_core._internal.generations import lifecycle
from rattanpulley_core._internal.generations import messages

# A suspect that ran this far on another target did not crash it.
CLEARED_AFTER_TOKENS = 300


def run(ctx: context.Context, now_s: float) -> None:
    """Publishes reports that are due, and ends refused generations."""
    for report in ctx.ledger.settle(now_s):
        ctx.actions.append(
            messages.PublishCrashReport(
                report.fingerprint, report.target, report.boot_id
            )
        )
    refused = set(ctx.suspects.take_newly_refused())
    if refused:
        _end_refused(ctx, refused)
    if len(ctx.suspects):
        _clear_suspects(ctx)


def _end_refused(ctx: context.Context, refused: set[str]) -> None:
    for generation in list(ctx.generations_by_id.values()):
        if generation.request.fingerprint in refused:
            lifecycle.end(
                ctx, generation, results.ResultCode.REQUEST_CRASHES_TARGETS
            )


def _clear_suspects(ctx: context.Context) -> None:
    for generation in ctx.generations_by_id.values():
        attempt = generation.attempt
        if attempt is None or not attempt.suspect:
            continue
        produced = len(generation.journal) - attempt.first_index
        if produced >= CLEARED_AFTER_TOKENS:
            ctx.suspects.clear(generation.request.fingerprint)
