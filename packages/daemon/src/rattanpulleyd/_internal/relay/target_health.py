"""What the ending of an attempt says of its target."""

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import context as context_lib
from rattanpulleyd._internal.relay import target_connection

# A target that could not be reached gets no new work for a short time; after
# that one request finds out whether it is back.
BLOCK_S_BY_ENDING: dict[serving.FailureKind, float] = {
    serving.FailureKind.NOT_CONNECTED: 0.4,
    serving.FailureKind.UNREACHABLE: 1.0,
    serving.FailureKind.UNRESPONSIVE: 0.4,
    serving.FailureKind.CONNECTION_LOST: 0.2,
    # Another target has the address; the one that was meant does not return.
    serving.FailureKind.WRONG_TARGET: 5.0,
}


def record_ending(
    context: context_lib.RelayContext,
    admission: context_lib.Admission,
    entry: serving.TargetEntry,
    error: target_connection.AttemptError,
) -> None:
    """Records and logs an attempt that ended without an answer."""
    now_s = clock.now_s()
    rule = serving.RULE_BY_FAILURE[error.ending]
    context.metrics.attempts.labels(error.ending.value).inc()
    if rule.is_fault:
        blocked_s = BLOCK_S_BY_ENDING.get(error.ending, 0.0)
        context.loads.record_fault(entry.target_id, now_s, blocked_s)
    context.log.failure(
        "attempt.ended",
        request=admission.request.request_id,
        target=entry.target_id,
        domain=entry.domain,
        ending=error.ending.value,
        reason=str(error),
        age_s=round(now_s - admission.request.received_at_s, 3),
    )


def record_load(
    context: context_lib.RelayContext,
    entry: serving.TargetEntry,
    head: target_connection.AnswerHead,
) -> None:
    """Takes the load that a target states in its answer."""
    text = head.value(context.names.target_load)
    parts = (text or "").split(",")
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return
    running = int(parts[0]) + int(parts[1])
    context.loads.record_report(entry.target_id, running, clock.now_s())


def adopt_successor(
    context: context_lib.RelayContext,
    entry: serving.TargetEntry,
    successor_id: str,
) -> None:
    """Uses the later start of an engine before the store names it.

    Addresses are used again by other pools. Only a target that reports the
    state of an engine, where one pool alone has engines, is known to belong to
    the pool of the earlier one.
    """
    config = context.belief.config
    if config is None or config.only_engine_pool() != entry.pool:
        return
    report = context.prober.ask(entry, 0.0)
    if report is None or not report.is_engine:
        return
    changes = context.targets.replace_restarted(
        entry.target_id, successor_id, report.started_ms
    )
    for change in changes:
        context.log.change(
            f"target.{change.kind}", target=change.target_id, source="answer"
        )
