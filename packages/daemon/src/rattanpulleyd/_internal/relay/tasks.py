"""Background tasks that run for the lifetime of the process."""

from collections.abc import Callable
import traceback

import gevent

from rattanpulleyd._internal.relay import decision_log

RESTART_PAUSE_S = 0.5


def spawn(log: decision_log.DecisionLog, run: Callable[[], None]) -> None:
    """Runs a task in its own greenlet and restarts it when it fails.

    Without the restart, a host whose refresh of some state had ended would keep
    serving from the rest and look healthy.

    Args:
        log: Log for failures.
        run: The task; it should not return.
    """
    gevent.spawn(_run_with_restarts, log, run)


def _run_with_restarts(
    log: decision_log.DecisionLog, run: Callable[[], None]
) -> None:
    while True:
        try:
            run()
        except Exception as error:  # noqa: BLE001 - whatever the fault is
            log.failure(
                "task.failed",
                task=getattr(run, "__qualname__", repr(run)),
                reason=repr(error),
                where=traceback.format_exc(limit=-3),
            )
        gevent.sleep(RESTART_PAUSE_S)
