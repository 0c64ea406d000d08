"""Tasks that run as long as the process."""

from collections.abc import Callable
import traceback

import gevent

from rattanpulleyd._internal.relay import decision_log

RESTART_PAUSE_S = 0.5


def spawn(log: decision_log.DecisionLog, run: Callable[[], None]) -> None:
    """Runs a task in a greenlet of its own and begins again when it fails.

    A host that stopped to refresh one of its beliefs would go on with the
    others and look sound.

    Args:
        log: Where a failure is written.
        run: The task; it does not return.
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
