"""Start and end of attempts, and the per-target attempt counts."""

from rattanpulley_core._internal.detection import estimator
from rattanpulley_core._internal.generations import actions
from rattanpulley_core._internal.generations import context
from rattanpulley_core._internal.generations import rows
from rattanpulley_core._internal.targets import rows as target_rows

_State = rows.GenerationState


def start(
    ctx: context.Context,
    generation: rows.Generation,
    target: target_rows.Target,
    now_s: float,
) -> None:
    """Starts or resumes a generation on a target."""
    attempt = _new_attempt(ctx, generation, target, now_s)
    attempt.is_resume = generation.is_resume
    ctx.counters.attempts += 1
    ctx.counters.resumes += attempt.is_resume
    _register_attempt(ctx, generation, attempt)
    generation.state = _State.STARTING
    request = generation.request
    ctx.actions.append(
        actions.StartAttempt(
            generation_id=request.generation_id,
            attempt=attempt.number,
            target=target.name,
            url=target.url,
            model=request.model,
            version=attempt.version,
            prompt=request.prompt,
            sampling=request.sampling,
            priority=request.priority,
            resume_tokens=generation.journal.tokens(),
        )
    )


def attach(
    ctx: context.Context,
    generation: rows.Generation,
    target: target_rows.Target,
    now_s: float,
) -> None:
    """Attaches to a generation that the target may already be running.

    Another daemon that serves the same generation may have replaced the run
    on the target with one that has different tokens. Replaying from index 0
    reveals the difference before a new token arrives.
    """
    attempt = _new_attempt(ctx, generation, target, now_s)
    attempt.is_attach = True
    if generation.version is not None:
        attempt.version = generation.version
    ctx.counters.attaches += 1
    _register_attempt(ctx, generation, attempt)
    generation.state = _State.ATTACHING
    ctx.actions.append(
        actions.AttachAttempt(
            generation_id=generation.generation_id,
            attempt=attempt.number,
            target=target.name,
            url=target.url,
            from_index=0,
        )
    )


def reattach(
    ctx: context.Context, generation: rows.Generation, now_s: float
) -> None:
    """Replaces the stalled connection to a target that is still alive."""
    previous = generation.attempt
    assert previous is not None
    cancel(ctx, generation, keep_running=True)
    release(ctx, generation)
    attach(ctx, generation, previous.target, now_s)
    attempt = generation.attempt
    assert attempt is not None
    attempt.version = previous.version
    attempt.boot_id = previous.boot_id
    attempt.accepted = previous.accepted
    attempt.idle_probes = previous.idle_probes
    attempt.target_has_produced = previous.target_has_produced
    if previous.suspect:
        attempt.first_index = previous.first_index
    attempt.estimator = previous.estimator
    attempt.estimator.restart(now_s)


def cancel(
    ctx: context.Context,
    generation: rows.Generation,
    keep_running: bool = False,
) -> None:
    """Closes the connection of the current attempt.

    Args:
        ctx: Shared state.
        generation: A generation with a current attempt.
        keep_running: Whether the target is not told to stop the generation.
    """
    attempt = generation.attempt
    assert attempt is not None
    ctx.actions.append(
        actions.CancelAttempt(
            generation_id=generation.generation_id,
            attempt=attempt.number,
            target=attempt.target.name,
            url=attempt.target.url,
            keep_running=keep_running,
        )
    )


def record_accepted(generation: rows.Generation, attempt: rows.Attempt) -> None:
    """Records that the target accepted the attempt."""
    attempt.accepted = True
    generation.was_accepted = True
    generation.may_have_run = True
    generation.needs_retry_permit = False


def record_first_token(attempt: rows.Attempt, now_s: float) -> None:
    """Records the first token of an attempt and updates its target's counts."""
    attempt.has_received_token = True
    attempt.first_token_at_s = now_s
    attempt.target_has_produced = True
    target = attempt.target
    target.awaiting_first_token -= 1
    target.resumes_awaiting_first_token -= attempt.is_resume
    target.consecutive_failures = 0
    if not attempt.is_attach:
        target.record_first_token(now_s - attempt.started_at_s)


def release(ctx: context.Context, generation: rows.Generation) -> None:
    """Detaches the current attempt and updates its target's counts."""
    attempt = generation.attempt
    assert attempt is not None
    generation.attempt = None
    target = attempt.target
    target.in_flight -= 1
    target.suspects_in_flight -= attempt.suspect
    if not attempt.has_received_token:
        target.awaiting_first_token -= 1
        target.resumes_awaiting_first_token -= attempt.is_resume
    running = ctx.running_by_target[target.name]
    del running[generation.generation_id]
    if not running:
        del ctx.running_by_target[target.name]
    ctx.targets.remove_unused(target)


def _new_attempt(
    ctx: context.Context,
    generation: rows.Generation,
    target: target_rows.Target,
    now_s: float,
) -> rows.Attempt:
    generation.last_attempt += 1
    fingerprint = generation.request.fingerprint
    return rows.Attempt(
        number=generation.last_attempt,
        target=target,
        version=target.version,
        started_at_s=now_s,
        first_index=len(generation.journal),
        estimator=estimator.IntervalEstimator(now_s),
        suspect=ctx.crash_attributor.is_suspect(fingerprint, now_s),
    )


def _register_attempt(
    ctx: context.Context, generation: rows.Generation, attempt: rows.Attempt
) -> None:
    generation.attempt = attempt
    generation.attach_target = None
    target = attempt.target
    target.in_flight += 1
    target.awaiting_first_token += 1
    target.resumes_awaiting_first_token += attempt.is_resume
    target.suspects_in_flight += attempt.suspect
    running = ctx.running_by_target.setdefault(target.name, {})
    running[generation.generation_id] = generation
