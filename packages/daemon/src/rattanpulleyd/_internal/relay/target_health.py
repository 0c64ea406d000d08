"""Updates the health and load of targets from attempts and responses."""

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import context as context_lib
from rattanpulleyd._internal.relay import relay_metrics
from rattanpulleyd._internal.relay import target_connection
from rattanpulleyd._internal.relay import wire

# How long a target gets no new work after a failure; then one request tests
# whether it is reachable again.
BLOCK_S_BY_FAILURE: dict[serving.FailureKind, float] = {
    serving.FailureKind.NOT_CONNECTED: 0.4,
    serving.FailureKind.UNREACHABLE: 1.0,
    serving.FailureKind.UNRESPONSIVE: 0.4,
    serving.FailureKind.CONNECTION_LOST: 0.2,
    # Another target has the address; the intended one does not return.
    serving.FailureKind.WRONG_TARGET: 5.0,
}


def record_failure(
    context: context_lib.RelayContext,
    admission: context_lib.Admission,
    entry: serving.TargetEntry,
    error: target_connection.AttemptError,
    answered: bool,
    events: int,
    attempts: int,
    is_new_fault: bool,
) -> None:
    """Counts and logs a failed attempt and blocks the target if at fault.

    Args:
        context: State of the process.
        admission: The request.
        entry: The target.
        error: How the attempt failed.
        answered: Whether the head of the response arrived.
        events: Number of events that arrived.
        attempts: Attempts of the request that may have reached a target.
        is_new_fault: Whether other requests have not failed by the same
            silence of the target.
    """
    now_s = clock.now_s()
    rule = serving.RULE_BY_FAILURE[error.kind]
    context.metrics.attempts.labels(error.kind.value).inc()
    if rule.is_fault:
        blocked_s = BLOCK_S_BY_FAILURE.get(error.kind, 0.0)
        context.loads.block(entry.target_id, now_s, blocked_s)
        if is_new_fault:
            context.loads.record_fault(entry.target_id, now_s)
    context.log.failure(
        "attempt.ended",
        request=admission.request.request_id,
        fingerprint=admission.fingerprint,
        target=entry.target_id,
        domain=entry.domain,
        ending=error.kind.value,
        reason=str(error),
        answered=answered,
        events=events,
        attempts=attempts,
        probes=context.prober.recent_counts(),
        parts=admission.request.shared_parts,
        age_s=round(now_s - admission.request.received_at_s, 3),
    )


def record_load(
    context: context_lib.RelayContext,
    entry: serving.TargetEntry,
    head: target_connection.ResponseHead,
) -> None:
    """Records the load that a target reports in its response."""
    report = _read_load(context.names, context.metrics, head)
    if report is not None:
        context.loads.record_report(
            entry.target_id, report.in_progress, clock.now_s(), report.slowness
        )


def record_probed_load(
    loads: serving.LoadTable,
    names: wire.HeaderNames,
    metrics: relay_metrics.RelayMetrics,
    entry: serving.TargetEntry,
    head: target_connection.ResponseHead,
) -> None:
    """Records the load in the answer to a probe if it contains the slowness.

    Another target may have the address; its load is not that of this one. The
    slowness of three-figure reports is unknown, and choices among their targets
    do not depend on probes.

    Args:
        loads: Load by target.
        names: Header names of the deployment.
        metrics: Counts the reports.
        entry: The probed target.
        head: Head of the answer.
    """
    if head.value(names.target_id) not in (None, entry.target_id):
        return
    report = _read_load(names, metrics, head)
    if report is not None and report.slowness is not None:
        loads.record_report(
            entry.target_id, report.in_progress, clock.now_s(), report.slowness
        )


def _read_load(
    names: wire.HeaderNames,
    metrics: relay_metrics.RelayMetrics,
    head: target_connection.ResponseHead,
) -> serving.ReportedLoad | None:
    """Returns the reported load, or None if it is missing or malformed."""
    values = wire.header_values(head.headers, names.target_load)
    if not values:
        return None
    report = serving.parse_reported_load(head.value(names.target_load))
    metrics.load_reports.labels(_report_kind(report)).inc()
    return report


def _report_kind(report: serving.ReportedLoad | None) -> str:
    """Returns the label of a report in the metrics."""
    if report is None:
        return "malformed"
    return "counts" if report.slowness is None else "slowness"


def remove_replaced_target(
    context: context_lib.RelayContext,
    entry: serving.TargetEntry,
    found_id: str,
) -> None:
    """Removes a target whose address another one has.

    Its entry in the store expires seconds after its crash. A response that
    names no other target is no proof, since the entry of a target that lives
    is not read again.

    Args:
        context: State of the process.
        entry: The target that was expected.
        found_id: Id that the target at the address reports, or an empty string.
    """
    if found_id in ("", entry.target_id):
        return
    for change in context.targets.remove(entry.target_id):
        context.loads.forget(change.target_id)
        context.prober.forget(change.target_id)
        context.log.change(
            f"target.{change.kind}", target=change.target_id, source="answer"
        )


def adopt_restarted_target(
    context: context_lib.RelayContext,
    entry: serving.TargetEntry,
    new_target_id: str,
) -> None:
    """Registers a restarted engine before the store lists it.

    Other pools may reuse an address. The pool of the new target is known only
    if it reports engine state and exactly one pool has engines.
    """
    config = context.cached_config.config
    if config is None or config.only_engine_pool() != entry.pool:
        return
    report = context.prober.probe(entry, 0.0)
    if report is None or not report.is_engine:
        return
    changes = context.targets.replace_restarted(
        entry.target_id, new_target_id, report.started_ms
    )
    for change in changes:
        context.log.change(
            f"target.{change.kind}", target=change.target_id, source="answer"
        )
