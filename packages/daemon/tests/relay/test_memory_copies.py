"""Copies of a run's memory over a long stream."""

import types

import gevent
import pytest
import relay_builders

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import memory_copies
from rattanpulleyd._internal.relay import target_connection

ENGINE = relay_builders.target("engine")
HOLDER = relay_builders.target("holder", port=81)


# Every silence of a sound engine cost copies, which successful ones did not
# make up for, so that a long stream had no copy in the end.
def test_copies_go_on_after_several_silences(monkeypatch: pytest.MonkeyPatch):
    outcomes = iter(([False] * 2 + [True]) * 4)
    results: list[bool] = []

    def _call(*_arguments: object) -> tuple[int, bytes]:
        results.append(next(outcomes, True))
        if results[-1]:
            return 200, b""
        raise target_connection.AttemptError(
            serving.FailureKind.UNRESPONSIVE, "no answer"
        )

    monkeypatch.setattr(target_connection, "call_target", _call)
    monkeypatch.setattr(memory_copies, "CHECK_INTERVAL_S", 0.001)
    monkeypatch.setattr(memory_copies, "RENEW_INTERVAL_S", 0.001)
    context = relay_builders.make_context("a")
    context.targets = serving.TargetRegistry()
    context.targets.upsert(ENGINE)
    context.targets.upsert(HOLDER)
    context.placement = types.SimpleNamespace(
        choose_copy_holder=lambda *_: HOLDER
    )
    calls = types.SimpleNamespace(
        copy=lambda *_: memory_copies.TargetCall(b"POST", b"/copy", b""),
        handle_of=lambda _: "handle",
    )
    admission = types.SimpleNamespace(
        pool="pool", request=types.SimpleNamespace(request_id="id")
    )
    maintainer = memory_copies.CopyMaintainer(
        context, calls, admission, ENGINE, None
    )
    maintainer.start()
    gevent.sleep(0.3)
    maintainer.stop()
    assert len(results) > 12
    assert maintainer.usable_copy() is not None
