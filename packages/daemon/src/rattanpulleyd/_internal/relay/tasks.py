"""Background tasks that run for the lifetime of the process."""

from collections.abc import Callable
import traceback

import gevent

from rattanpulleyd._internal.relay import decision_log
from rattanpulleyd._internal.relay import relay_metrics

RESTART_PAUSE_S = 0.5


def spawn(
    log: decision_log.DecisionLog,
    metrics: relay_metrics.RelayMetrics,
    run: Callable[[], None],
) -> None:
    """Runs a task in its own greenlet and restarts it when it fails.

    Without the restart, a host whose refresh of some state had ended would keep
    serving from the rest and look healthy.

    Args:
        log: Log for failures.
        metrics: Counts the failures.
        run: The task; it should not return.
    """
    gevent.spawn(_run_with_restarts, log, metrics, run)


def _run_with_restarts(
    log: decision_log.DecisionLog,
    metrics: relay_metrics.RelayMetrics,
    run: Callable[[], None],
) -> None:
    name = getattr(run, "__qualname__", repr(run))
    while True:
        try:
            run()
        except Exception as error:  # noqa: BLE001 - whatever the fault is
            metrics.task_failures.labels(name).inc()
            log.failure(
                "task.failed",
                task=name,
                reason=repr(error),
                where=traceback.format_exc(limit=-3),
            )
        gevent.sleep(RESTART_PAUSE_S)
