"""Tests of the tasks of a process."""

import gevent
from gevent import event

from rattanpulleyd._internal.relay import tasks


class Log:
    """Keeps what is written."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict[str, object]]] = []

    def failure(self, name: str, **fields: object) -> None:
        self.lines.append((name, fields))


def test_task_that_fails_is_logged_and_runs_again(monkeypatch):
    # Guards against a host whose beliefs grow old because of one fault.
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

    tasks.spawn(log, run)
    assert ran_again.wait(10)
    ((name, fields),) = log.lines
    assert name == "task.failed"
    assert "a fault" in str(fields["reason"])
