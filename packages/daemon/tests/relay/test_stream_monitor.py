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
            may_repeat=True,
            left_after_current=1,
        )
        departures = types.SimpleNamespace(prepare=lambda *_: "1 attempts left")
        return stream_monitor.StreamMonitor(
            context,
            admission,
            attempts,
            TARGET,
            object,
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


# A target that went on while it was checked was left all the same.
def test_bytes_that_arrive_during_the_check_keep_the_target(monitor_of):
    monitor = monitor_of(serving.TargetReport({}))
    monitor.record_events(1)
    cancelled = []
    monitor._departures.cancel = lambda: cancelled.append(True)
    reads = []

    def _read(until_s: float) -> object:
        reads.append(until_s)
        if monitor.detector.was_missing and len(reads) > 2:
            return b"data"
        time.sleep(max(0.0, until_s - clock.now_s()))
        raise target_connection.ReadWaitExpired

    assert monitor.wait(_read) == b"data"
    assert cancelled


# A target that sent all the time kept its request beyond every time limit.
def test_bytes_all_the_time_end_at_the_deadline(monitor_of, monkeypatch):
    now = [100.0]
    monkeypatch.setattr(clock, "now_s", lambda: now[0])
    monitor = monitor_of(serving.TargetReport({}))
    monitor._attempts.deadline_s = lambda: 110.0

    def _read(_until_s: float) -> object:
        now[0] += 0.01
        return b"\n"

    def _read_all() -> None:
        for _ in range(3000):
            monitor.wait(_read)

    with pytest.raises(target_connection.AttemptError) as raised:
        _read_all()
    assert raised.value.kind is serving.FailureKind.TIMED_OUT
    assert now[0] < 110.5


# An answer that waited in the kernel while this host stalled is delivered.
def test_end_of_an_answer_is_read_after_the_deadline(monitor_of, monkeypatch):
    now = [100.0]
    monkeypatch.setattr(clock, "now_s", lambda: now[0])
    monitor = monitor_of(serving.TargetReport({}))
    monitor._attempts.deadline_s = lambda: 110.0
    now[0] = 115.0
    parts = [b"event", None]
    assert monitor.wait(lambda _until_s: parts.pop(0)) == b"event"
    assert monitor.wait(lambda _until_s: parts.pop(0)) is None


def _silent_until(now: list[float], end_s: float) -> Callable[[float], object]:
    """Returns a read that gets bytes at some time and advances the clock."""

    def _read(until_s: float) -> object:
        now[0] = max(now[0], min(until_s, end_s))
        if until_s < end_s:
            raise target_connection.ReadWaitExpired
        return b"data"

    return _read


@pytest.fixture
def unsafe_monitor(monitor_of, monkeypatch):
    """A monitor whose run becomes unsafe during the next probe.

    Its attributes `now`, `probed` and `cancelled` tell what happened.
    """
    now = [100.0]
    monkeypatch.setattr(clock, "now_s", lambda: now[0])
    monitor = monitor_of(serving.TargetReport({}))
    monitor.record_events(1)
    cancelled = []
    monitor._departures.cancel = lambda: cancelled.append(now[0])
    monitor.now = now
    monitor.cancelled = cancelled

    def _become_unsafe(*_: object) -> None:
        monitor._attempts.may_repeat = False

    monitor.become_unsafe = _become_unsafe
    return monitor


# A stream that became unsafe while its silent target was probed left it, so
# that it was cut although the target went on.
def test_stream_that_became_unsafe_during_the_probe_stays(unsafe_monitor):
    monitor = unsafe_monitor
    monitor._context.prober.probe = monitor.become_unsafe
    monitor._departures.prepare = lambda *_: None
    read = _silent_until(monitor.now, 105.0)
    assert monitor.wait(read) == b"data"


# The same while targets were probed that could take over: the reserved retry
# was kept as well.
def test_stream_that_became_unsafe_during_a_departure_stays(unsafe_monitor):
    monitor = unsafe_monitor
    monitor._context.prober.probe = lambda *_: None
    monitor._departures.prepare = monitor.become_unsafe
    read = _silent_until(monitor.now, 105.0)
    assert monitor.wait(read) == b"data"
    assert len(monitor.cancelled) == 1


# The same for a run that the second report does not name.
def test_run_that_became_unsafe_is_not_left_as_missing(unsafe_monitor):
    monitor = unsafe_monitor

    def _probe(*_: object) -> serving.TargetReport:
        if monitor.detector.was_missing:
            monitor.become_unsafe()
        return serving.TargetReport({})

    monitor._context.prober.probe = _probe
    read = _silent_until(monitor.now, 105.0)
    assert monitor.wait(read) == b"data"


# Guards against a silent target that keeps a run which may go on elsewhere.
def test_stream_that_may_run_again_leaves_after_the_probe(unsafe_monitor):
    monitor = unsafe_monitor
    monitor._context.prober.probe = lambda *_: None
    monitor._departures.prepare = lambda *_: None
    read = _silent_until(monitor.now, 105.0)
    with pytest.raises(target_connection.AttemptError) as raised:
        monitor.wait(read)
    assert raised.value.kind is serving.FailureKind.UNRESPONSIVE
    assert not monitor.cancelled
