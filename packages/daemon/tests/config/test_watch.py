"""Tests of the table watch and its backoff."""

import random
from typing import Any

import gevent
import pytest

from rattanpulley_core import interfaces
from rattanpulley_core import tables
from rattanpulleyd._internal.config import backoff
from rattanpulleyd._internal.config import table_watch
from rattanpulleyd._internal.runtime import clock
from rattanpulleyd._internal.telemetry import counters


class ScriptedStore(interfaces.ObjectStore):
    """Fails or answers each list and watch call as scripted."""

    def __init__(self, script: list[Any]) -> None:
        self.calls: list[str] = []
        self._script = script

    def _next(self, call: str) -> Any:
        self.calls.append(call)
        if not self._script:
            raise gevent.GreenletExit
        result = self._script.pop(0)
        if result is None:
            raise interfaces.StoreUnavailableError(call)
        return [], result

    def list_objects(self, prefix: str) -> Any:
        return self._next("list")

    def watch(self, prefix: str, after_revision: int, timeout_s: float) -> Any:
        return self._next(f"watch {after_revision}")

    def get(self, key: str) -> Any:
        raise NotImplementedError

    def put(self, key: str, value: Any, expected_version: int) -> Any:
        raise NotImplementedError

    def delete(self, key: str, expected_version: int) -> None:
        raise NotImplementedError


def test_watch_lists_again_after_each_failure(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against changes lost between a failed watch and the next one."""
    delays_s: list[float] = []
    monkeypatch.setattr(gevent, "sleep", delays_s.append)
    store = ScriptedStore([None, None, 3, 5, None, 7])
    counts = counters.Counters(None)
    watch = table_watch.TableWatch(
        store,
        tables.ConfigState(),
        clock.SystemClock(),
        counts,
        random.Random(1),
        lambda kind: None,
    )
    with pytest.raises(gevent.GreenletExit):
        watch.run()
    assert store.calls == [
        "list",
        "list",
        "list",
        "watch 3",
        "watch 5",
        "list",
        "watch 7",
    ]
    assert counts.totals_by_name()["watch.failures"] == 3
    # The third failure follows a success, which resets the delay.
    first, limit = backoff.INITIAL_DELAY_S, 2 * backoff.INITIAL_DELAY_S
    assert delays_s[0] <= first < delays_s[1] + first / 2 <= limit + first
    assert delays_s[2] <= first


def test_backoff_has_a_limit_and_jitter() -> None:
    """Guards against synchronized calls to a recovering platform."""
    waits = [backoff.Backoff(random.Random(seed)) for seed in range(5)]
    for _ in range(20):
        delays_s = {wait.next_delay_s() for wait in waits}
        assert len(delays_s) == len(waits)
        assert max(delays_s) <= backoff.MAX_DELAY_S
    assert min(delays_s) >= backoff.MAX_DELAY_S / 2
