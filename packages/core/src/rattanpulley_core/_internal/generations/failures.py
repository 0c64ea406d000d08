"""Handlers for attempts that end before the answer is complete."""

from collections.abc import Callable

from rattanpulley_core import results
from rattanpulley_core._internal.generations import actions
from rattanpulley_core._internal.generations import attempts
from rattanpulley_core._internal.generations import context
from rattanpulley_core._internal.generations import crashes
from rattanpulley_core._internal.generations import events
from rattanpulley_core._internal.generations import exclusions
from rattanpulley_core._internal.generations import lifecycle
from rattanpulley_core._internal.generations import outcomes
from rattanpulley_core._internal.generations import placement
from rattanpulley_core._internal.generations import probes
from rattanpulley_core._internal.generations import rows
from rattanpulley_core._internal.suspects import attribution

# Short, because a target that refused may soon have capacity again.
REFUSED_EXCLUSION_S = 0.5
# Gives a probe time to find out whether a target whose connection failed is
# alive.
FAILED_EXCLUSION_S = 1.0
# Long, because a target that violated the protocol is likely to do so again.
CORRUPT_EXCLUSION_S = 10.0
# Errors on this many targets are attributed to the request itself.
MAX_ERRORED_ATTEMPTS = 3

_Reason = events.FailureReason


def on_failed(
    ctx: context.Context,
    generation: rows.Generation,
    attempt: rows.Attempt,
    event: events.AttemptFailed,
    now_s: float,
) -> None:
    """Handles an attempt that ended before the answer was complete."""
    if event.reason not in _REASONS_NOT_RUN:
        generation.may_have_run = True
    _FAILURE_HANDLERS[event.reason](ctx, generation, attempt, event, now_s)
    placement.place_if_queued(ctx, generation, now_s)


def fail_corrupt_attempt(
    ctx: context.Context,
    generation: rows.Generation,
    attempt: rows.Attempt,
    now_s: float,
) -> None:
    """Ends an attempt whose events violate the protocol and requeues it."""
    ctx.counters.corrupt_attempts += 1
    generation.may_have_run = True
    generation.exclude(attempt.target.name, now_s + CORRUPT_EXCLUSION_S)
    attempt.target.consecutive_failures += 1
    outcomes.report(ctx, generation, attempt, actions.AttemptResult.ERROR)
    attempts.cancel(ctx, generation)
    lifecycle.interrupt(ctx, generation, now_s)
    placement.place_all_queued(ctx, now_s)


def _on_not_connected(
    ctx: context.Context,
    generation: rows.Generation,
    attempt: rows.Attempt,
    event: events.AttemptFailed,
    now_s: float,
) -> None:
    generation.exclude(attempt.target.name, now_s + FAILED_EXCLUSION_S)
    _retry(ctx, generation, attempt, now_s)
    probes.probe_after_failure(ctx, attempt.target, now_s)


def _on_refused(
    ctx: context.Context,
    generation: rows.Generation,
    attempt: rows.Attempt,
    event: events.AttemptFailed,
    now_s: float,
) -> None:
    generation.exclude(attempt.target.name, now_s + REFUSED_EXCLUSION_S)
    attempt.target.load.record_refusal()
    _retry(ctx, generation, attempt, now_s)


def _on_errored(
    ctx: context.Context,
    generation: rows.Generation,
    attempt: rows.Attempt,
    event: events.AttemptFailed,
    now_s: float,
) -> None:
    """Retries on another target.

    After `MAX_ERRORED_ATTEMPTS` the target's error is passed to the callers.
    """
    outcomes.report(ctx, generation, attempt, actions.AttemptResult.ERROR)
    generation.errored_attempts += 1
    if generation.errored_attempts >= MAX_ERRORED_ATTEMPTS:
        attempts.release(ctx, generation)
        lifecycle.end(
            ctx, generation, results.ResultCode.TARGET_ERROR, event.message
        )
        return
    generation.exclude(attempt.target.name, now_s + CORRUPT_EXCLUSION_S)
    if generation.version is None:
        exclusions.exclude_version(
            ctx, generation, attempt.version, now_s + CORRUPT_EXCLUSION_S
        )
    generation.needs_retry_permit = True
    attempt.target.consecutive_failures += 1
    lifecycle.interrupt(ctx, generation, now_s)


def _on_rejected(
    ctx: context.Context,
    generation: rows.Generation,
    attempt: rows.Attempt,
    event: events.AttemptFailed,
    now_s: float,
) -> None:
    attempts.release(ctx, generation)
    lifecycle.end(
        ctx, generation, results.ResultCode.TARGET_ERROR, event.message
    )


def _on_not_held(
    ctx: context.Context,
    generation: rows.Generation,
    attempt: rows.Attempt,
    event: events.AttemptFailed,
    now_s: float,
) -> None:
    lifecycle.interrupt(ctx, generation, now_s)


def _on_held(
    ctx: context.Context,
    generation: rows.Generation,
    attempt: rows.Attempt,
    event: events.AttemptFailed,
    now_s: float,
) -> None:
    """Handles a target that already runs the generation for another daemon.

    This happens when callers with the same key use different daemons. With an
    empty journal this daemon attaches to the other run from its start. A
    non-empty journal may differ from that run, so it resumes on another target.
    """
    target = attempt.target.name
    if len(generation.journal) == 0:
        generation.attach_target = target
    else:
        generation.exclude(target, now_s + REFUSED_EXCLUSION_S)
    lifecycle.interrupt(ctx, generation, now_s)


def _on_reset(
    ctx: context.Context,
    generation: rows.Generation,
    attempt: rows.Attempt,
    event: events.AttemptFailed,
    now_s: float,
) -> None:
    target = attempt.target
    generation.exclude(target.name, now_s + FAILED_EXCLUSION_S)
    target.consecutive_failures += 1
    # The start request was sent, so the generation may have run and crashed
    # the target, even if the target died before it responded.
    crashes.record_reset(ctx, generation, attempt, now_s)
    exclusions.exclude_domain(
        ctx, generation, target, now_s + attribution.COMMON_CAUSE_WINDOW_S
    )
    outcomes.defer_reset(ctx, generation, attempt)
    attempts.cancel(ctx, generation)
    probes.probe_after_failure(ctx, target, now_s)
    lifecycle.interrupt(ctx, generation, now_s)


def _on_corrupt(
    ctx: context.Context,
    generation: rows.Generation,
    attempt: rows.Attempt,
    event: events.AttemptFailed,
    now_s: float,
) -> None:
    fail_corrupt_attempt(ctx, generation, attempt, now_s)


def _retry(
    ctx: context.Context,
    generation: rows.Generation,
    attempt: rows.Attempt,
    now_s: float,
) -> None:
    """Requeues a request that the target has not accepted.

    Unless the generation is a resume, the retry counts against the retry
    budget.
    """
    attempt.target.consecutive_failures += 1
    if not generation.is_resume:
        generation.needs_retry_permit = True
    lifecycle.interrupt(ctx, generation, now_s)


_REASONS_NOT_RUN = frozenset(
    {_Reason.NOT_CONNECTED, _Reason.REFUSED, _Reason.REJECTED, _Reason.NOT_HELD}
)

_FAILURE_HANDLERS: dict[
    events.FailureReason,
    Callable[
        [
            context.Context,
            rows.Generation,
            rows.Attempt,
            events.AttemptFailed,
            float,
        ],
        None,
    ],
] = {
    _Reason.NOT_CONNECTED: _on_not_connected,
    _Reason.REFUSED: _on_refused,
    _Reason.ERRORED: _on_errored,
    _Reason.REJECTED: _on_rejected,
    _Reason.NOT_HELD: _on_not_held,
    _Reason.HELD: _on_held,
    _Reason.RESET: _on_reset,
    _Reason.CORRUPT: _on_corrupt,
}
