"""Detection of stalled streams, run on each tick."""

from rattanpulley_core._internal.detection import estimator
from rattanpulley_core._internal.generations import context
from rattanpulley_core._internal.generations import probes
from rattanpulley_core._internal.generations import rows


def run(ctx: context.Context, now_s: float) -> None:
    """Probes the targets of streams that sent nothing for too long."""
    stalled_by_target: dict[str, list[rows.Generation]] = {}
    quiet_since_s = now_s - estimator.MIN_THRESHOLD_S
    for generation in ctx.generations_by_id.values():
        attempt = generation.attempt
        # Fast path for most streams: no threshold is below the minimum.
        if attempt is None or attempt.estimator.last_event_s > quiet_since_s:
            continue
        if now_s - attempt.estimator.last_event_s > _threshold_s(
            attempt, now_s
        ):
            stalled = stalled_by_target.setdefault(attempt.target.name, [])
            stalled.append(generation)
    for name, stalled in stalled_by_target.items():
        if name not in ctx.pending_probes_by_target:
            ctx.counters.stalls += len(stalled)
            first_attempt = stalled[0].attempt
            assert first_attempt is not None
            probes.send(ctx, first_attempt.target, stalled, now_s)


def _threshold_s(attempt: rows.Attempt, now_s: float) -> float:
    if attempt.has_received_token or attempt.is_attach:
        margin = attempt.target.stall_margin(now_s)
        return attempt.estimator.threshold_s(margin)
    return attempt.estimator.first_token_threshold_s(
        attempt.target.first_token_s
    )
