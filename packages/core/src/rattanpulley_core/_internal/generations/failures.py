"""Handlers of attempts that end before the answer is whole."""

from collections.abc import Callable

from rattanpulley_core import results
from rattanpulley_core._internal.generations import attempts
from rattanpulley_core._internal.generations import context
from rattanpulley_core._internal.generations import lifecycle
from rattanpulley_core._internal.generations import messages
from rattanpulley_core._internal.generations import outcomes
from rattanpulley_core._internal.generations import placement
from rattanpulley_core._internal.generations import probes
from rattanpulley_core._internal.generations import rows

# A target that refused may have room again soon.
REFUSED_EXCLUSION_S = 0.5
# A target whose connection failed is examined by a probe meanwhile.
FAILED_EXCLUSION_S = 1.0
# A target that broke the protocol is likely to do so again.
CORRUPT_EXCLUSION_S = 10.0
# An error on this many targets is taken as the request's own.
MAX_ERRORED_ATTEMPTS = 3

_Reason = messages.FailureReason


def on_failed(
    ctx: context.Context,
    generation: rows.Generation,
    attempt: rows.Attempt,
    event: messages.AttemptFailed,
    now_s: float,
) -> None:
    """The attempt ended before the answer was whole."""
    if event.reason not in _WITHOUT_EFFECT:
        generation.may_have_run = True
    _FAILURE_HANDLERS[event.reason](ctx, generation, attempt, event, now_s)
    placement.place_queued(ctx, generation, now_s)


def end_corrupt(
    ctx: context.Context,
    generation: rows.Generation,
    attempt: rows.Attempt,
    now_s: float,
) -> None:
    """Ends an attempt whose events break the protocol."""
    ctx.counters.corrupt_attempts += 1
    generation.may_have_run = True
    generation.exclude(attempt.target.name, now_s + CORRUPT_EXCLUSION_S)
    attempt.target.consecutive_failures += 1
    outcomes.report(ctx, generation, attempt, messages.AttemptResult.ERROR)
    attempts.cancel(ctx, generation)
    lifecycle.interrupt(ctx, generation, now_s)
    placement.place_waiting(ctx, now_s)


def _on_not_connected(
    ctx: context.Context,
    generation: rows.Generation,
    attempt: rows.Attempt,
    event: messages.AttemptFailed,
    now_s: float,
) -> None:
    generation.exclude(attempt.target.name, now_s + FAILED_EXCLUSION_S)
    _retry(ctx, generation, attempt, now_s)
    probes.examine(ctx, attempt.target, now_s)


def _on_refused(
    ctx: context.Context,
    generation: rows.Generation,
    attempt: rows.Attempt,
    event: messages.AttemptFailed,
    now_s: float,
) -> None:
    generation.exclude(attempt.target.name, now_s + REFUSED_EXCLUSION_S)
    attempt.target.load.record_refusal()
    _retry(ctx, generation, attempt, now_s)


def _on_errored(
    ctx: context.Context,
    generation: rows.Generation,
    attempt: rows.Attempt,
    event: messages.AttemptFailed,
    now_s: float,
) -> None:
    """Retries on another target; an error on each of them is the answer."""
    outcomes.report(ctx, generation, attempt, messages.AttemptResult.ERROR)
    generation.errored_attempts += 1
    if generation.errored_attempts >= MAX_ERRORED_ATTEMPTS:
        attempts.release(ctx, generation)
        lifecycle.end(
            ctx, generation, results.ResultCode.TARGET_ERROR, event.message
        )
        return
    generation.exclude(attempt.target.name, now_s + CORRUPT_EXCLUSION_S)
    if generation.version is None:
        placement.exclude_version(
            ctx, generation, attempt.version, now_s + CORRUPT_EXCLUSION_S
        )
    generation.needs_permit = True
    attempt.target.consecutive_failures += 1
    lifecycle.interrupt(ctx, generation, now_s)


def _on_rejected(
    ctx: context.Context,
    generation: rows.Generation,
    attempt: rows.Attempt,
    event: messages.AttemptFailed,
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
    event: messages.AttemptFailed,
    now_s: float,
) -> None:
    lifecycle.interrupt(ctx, generation, now_s)


def _on_held(
    ctx: context.Context,
    generation: rows.Generation,
    attempt: rows.Attempt,
    event: messages.AttemptFailed,
    now_s: float,
) -> None:
    """Another daemon runs the generation there, for a caller with the same key.

    Without tokens of its own, this daemon reads that run from its start. The
    tokens of a journal may differ from that run, so a journal goes elsewhere.
    """
    target = attempt.target.name
    if len(generation.journal) == 0:
        generation.attach_to = target
    else:
        generation.exclude(target, now_s + REFUSED_EXCLUSION_S)
    lifecycle.interrupt(ctx, generation, now_s)


def _on_reset(
    ctx: context.Context,
    generation: rows.Generation,
    attempt: rows.Attempt,
    event: messages.AttemptFailed,
    now_s: float,
) -> None:
    target = attempt.target
    generation.exclude(target.name, now_s + FAILED_EXCLUSION_S)
    target.consecutive_failures += 1
    # The order was sent, so the request may have run and crashed the target,
    # also when the target died before it answered.
    probes.record_reset(ctx, generation, attempt, now_s)
    outcomes.hold_reset(ctx, generation, attempt)
    attempts.cancel(ctx, generation)
    probes.examine(ctx, target, now_s)
    lifecycle.interrupt(ctx, generation, now_s)


def _on_corrupt(
    ctx: context.Context,
    generation: rows.Generation,
    attempt: rows.Attempt,
    event: messages.AttemptFailed,
    now_s: float,
) -> None:
    end_corrupt(ctx, generation, attempt, now_s)


def _retry(
    ctx: context.Context,
    generation: rows.Generation,
    attempt: rows.Attempt,
    now_s: float,
) -> None:
    """Retries a request that the target has not accepted."""
    attempt.target.consecutive_failures += 1
    if not generation.is_resume:
        generation.needs_permit = True
    lifecycle.interrupt(ctx, generation, now_s)


_WITHOUT_EFFECT = frozenset(
    {_Reason.NOT_CONNECTED, _Reason.REFUSED, _Reason.REJECTED, _Reason.NOT_HELD}
)

_FAILURE_HANDLERS: dict[
    messages.FailureReason,
    Callable[
        [
            context.Context,
            rows.Generation,
            rows.Attempt,
            messages.AttemptFailed,
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
