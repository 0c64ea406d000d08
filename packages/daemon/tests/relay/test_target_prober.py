"""Probes of targets and the streams that share them."""

import gevent
import pytest
import relay_builders

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import context as context_lib
from rattanpulleyd._internal.relay import relay_metrics
from rattanpulleyd._internal.relay import target_connection
from rattanpulleyd._internal.relay import target_prober

TARGET = relay_builders.target("t")
REPORT = serving.TargetReport({})


class _Reader:
    path = b"/report"

    def read(self, _body: bytes) -> serving.TargetReport:
        return REPORT


# A client that left during a probe made its target look silent to all others.
def test_interrupted_probe_is_no_silence(monkeypatch: pytest.MonkeyPatch):
    def _answer(*_arguments: object) -> tuple[int, bytes]:
        gevent.sleep(0.02)
        return 200, b""

    monkeypatch.setattr(target_connection, "call_target", _answer)
    prober = target_prober.TargetProber(_Reader(), relay_metrics.RelayMetrics())
    leaving = gevent.spawn(prober.probe, TARGET)
    gevent.sleep(0)
    waiting = gevent.spawn(prober.probe, TARGET)
    gevent.sleep(0)
    leaving.kill(context_lib.ClientDisconnectedError(), block=False)
    assert waiting.get(timeout=1.0) is REPORT
    assert prober.probe(TARGET) is REPORT


# A refused probe read as a report without runs, so that a stream left its
# target because its run was not there.
def test_refused_probe_is_no_report(monkeypatch: pytest.MonkeyPatch):
    monkeypatch.setattr(target_connection, "call_target", lambda *_: (503, b""))
    prober = target_prober.TargetProber(_Reader(), relay_metrics.RelayMetrics())
    assert prober.probe(TARGET) is None
