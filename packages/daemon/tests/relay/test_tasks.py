"""Tests of background tasks."""

import gevent
from gevent import event

from rattanpulleyd._internal.relay import relay_metrics
from rattanpulleyd._internal.relay import tasks


class Log:
    """Records log lines."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict[str, object]]] = []

    def failure(self, name: str, **fields: object) -> None:
        self.lines.append((name, fields))


def test_failed_task_is_logged_and_restarted(monkeypatch):
    # Guards against a host whose cached state becomes stale after one error.
    monkeypatch.setattr(tasks, "RESTART_PAUSE_S", 0.0)
    log = Log()
    runs = []
    ran_again = event.Event()

    def run() -> None:
        runs.append(True)
        if len(runs) == 1:
            raise ValueError("a fault")
        ran_again.set()
        gevent.sleep(60)

    metrics = relay_metrics.RelayMetrics()
    tasks.spawn(log, metrics, run)
    assert ran_again.wait(10)
    ((name, fields),) = log.lines
    assert name == "task.failed"
    assert "a fault" in str(fields["reason"])
    assert b"rattanpulley_task_failures_total{task=" in metrics.text()
