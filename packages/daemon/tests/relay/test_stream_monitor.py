"""Monitoring of the target of a stalled stream."""

from collections.abc import Callable
import time
import types

import pytest
import relay_builders

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import stream_departures
from rattanpulleyd._internal.relay import stream_monitor
from rattanpulleyd._internal.relay import target_connection

TARGET = relay_builders.target("t")
LONGEST_PAUSE_S = 0.4


@pytest.fixture
def monitor_of() -> Callable[[serving.TargetReport], object]:
    """Returns a builder of monitors of streams that may leave no target."""

    def _build(report: serving.TargetReport) -> stream_monitor.StreamMonitor:
        context = relay_builders.make_context("a")
        context.targets = serving.TargetRegistry()
        context.targets.upsert(TARGET)
        context.prober = types.SimpleNamespace(
            probe=lambda *_: report, recent_counts=dict
        )
        admission = types.SimpleNamespace(
            route=types.SimpleNamespace(
                resumable=True,
                longest_pause_s=LONGEST_PAUSE_S,
                objective_s=4.0,
            ),
            request=types.SimpleNamespace(request_id="id"),
        )
        attempts = types.SimpleNamespace(
            deadline_s=lambda: clock.now_s() + 60.0,
            is_refused=lambda: False,
            is_last=False,
            left_after_current=1,
        )
        departures = types.SimpleNamespace(prepare=lambda *_: "1 attempts left")
        return stream_monitor.StreamMonitor(
            context,
            admission,
            attempts,
            TARGET,
            lambda: object(),
            departures,
            stream_departures.StreamTransfer(),
        )

    return _build


def _silent_for(for_s: float) -> Callable[[float], object]:
    """Returns a read of a connection that ends after some silence."""
    end_s = clock.now_s() + for_s

    def _read(until_s: float) -> object:
        if clock.now_s() >= end_s:
            return None
        time.sleep(max(0.0, until_s - clock.now_s()))
        raise target_connection.ReadWaitExpired

    return _read


# Once the limit of the pause had passed, no probe was sent any more, and the
# stream stayed at an engine that had lost its run.
def test_lost_run_is_left_after_the_limit_of_the_pause(monitor_of):
    monitor = monitor_of(serving.TargetReport({}))
    monitor.record_events(1)
    with pytest.raises(
        target_connection.AttemptError, match="the run is not there"
    ):
        monitor.wait(_silent_for(2.0))
