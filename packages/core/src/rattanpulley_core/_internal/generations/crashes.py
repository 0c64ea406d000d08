"""Record of crashes, their reports, and requests that crash targets."""

from collections.abc import Iterable

from rattanpulley_core import results
from rattanpulley_core._internal.generations import actions
from rattanpulley_core._internal.generations import context
from rattanpulley_core._internal.generations import lifecycle
from rattanpulley_core._internal.generations import rows
from rattanpulley_core._internal.targets import rows as target_rows

# A request that crashes targets does so at about the same token each time. One
# that runs this many tokens past the crash point on another target was not the
# cause. A larger value would blame a stream that happens to be on two targets
# that crash within a few seconds.
CLEARED_AFTER_TOKENS = 30


def record_reset(
    ctx: context.Context,
    generation: rows.Generation,
    attempt: rows.Attempt,
    now_s: float,
) -> None:
    """Records that an attempt's connection was reset, perhaps by a crash."""
    target = attempt.target
    ctx.crash_attributor.record_reset(
        target.name,
        target.failure_domain,
        attempt.boot_id or target.boot_id,
        generation.request.fingerprint,
        attempt.target_has_produced,
        attempt.started_at_s,
        len(generation.journal),
        now_s,
    )


def confirm_crash(
    ctx: context.Context,
    target: target_rows.Target,
    running: Iterable[rows.Generation],
    now_s: float,
) -> None:
    """Attributes a crash to the attempts that were reset or still running.

    The resets of one crash are reported individually, and the result of a probe
    may arrive before some of them.
    """
    if not ctx.crash_attributor.has_unconfirmed_crash(target.name):
        return
    for generation in running:
        attempt = generation.attempt
        if attempt is not None and attempt.accepted:
            record_reset(ctx, generation, attempt, now_s)
    ctx.counters.crashes += ctx.crash_attributor.confirm_crash(
        target.name, now_s
    )


def run(ctx: context.Context, now_s: float) -> None:
    """Publishes due crash reports and ends generations of refused requests."""
    for report in ctx.crash_attributor.resolve_due(now_s):
        ctx.actions.append(
            actions.PublishCrashReport(
                report.fingerprint, report.target, report.boot_id, report.run
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
            or not attempt.has_received_token
            or attempt.target.awaiting_probe
        ):
            continue
        fingerprint = generation.request.fingerprint
        if not ctx.suspects.is_suspect(fingerprint, now_s):
            continue
        crashed_tokens = ctx.suspects.crashed_tokens(fingerprint, now_s)
        if not _has_passed_crash_point(generation, attempt, crashed_tokens):
            continue
        if ctx.suspects.clear(fingerprint):
            ctx.actions.append(actions.PublishClearance(fingerprint))


def _has_passed_crash_point(
    generation: rows.Generation,
    attempt: rows.Attempt,
    crashed_tokens: int | None,
) -> bool:
    """Returns whether an attempt ran well past the expected crash point.

    Args:
        generation: A generation of a suspect request.
        attempt: Its current attempt.
        crashed_tokens: Number of tokens at the crash, or None if unknown.
    """
    length = len(generation.journal)
    if attempt.suspect or crashed_tokens is None:
        return length - attempt.first_index >= CLEARED_AFTER_TOKENS
    # The attempt started before the crash, so it is another copy of the
    # request.
    return length >= crashed_tokens + CLEARED_AFTER_TOKENS
