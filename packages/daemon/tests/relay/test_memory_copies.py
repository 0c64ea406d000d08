"""Maintenance of the copy of a run's memory."""

import types

import pytest
import relay_builders

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import memory_copies
from rattanpulleyd._internal.relay import target_connection

ROUNDS = 40
HOLDER = relay_builders.target("holder")


class _Calls(memory_copies.MemoryCopyCalls):
    def copy(self, run_id, destination):
        return memory_copies.TargetCall(b"POST", b"/copy", b"")

    def handle_of(self, body):
        return "handle"

    def release(self, handle):
        return memory_copies.TargetCall(b"DELETE", b"/copy", b"")


class _StoppedError(Exception):
    """Ends the maintenance."""


# Silences of sound targets added up, so that a long stream lost its copies.
def test_copies_go_on_after_silences_with_successes_between(monkeypatch):
    context = relay_builders.make_context("a")
    context.targets = serving.TargetRegistry()
    context.placement = types.SimpleNamespace(
        choose_copy_holder=lambda *_: HOLDER
    )
    admission = types.SimpleNamespace(
        pool="pool", request=types.SimpleNamespace(request_id="r")
    )
    calls = []

    def call_target(*_args):
        calls.append(len(calls))
        if len(calls) % 3:
            raise target_connection.AttemptError(
                serving.FailureKind.UNRESPONSIVE, "no answer"
            )
        return memory_copies.HTTP_OK, b""

    def sleep(_seconds):
        if len(calls) >= ROUNDS:
            raise _StoppedError

    monkeypatch.setattr(target_connection, "call_target", call_target)
    monkeypatch.setattr(memory_copies.gevent, "sleep", sleep)
    maintainer = memory_copies.CopyMaintainer(
        context, _Calls(), admission, relay_builders.target("engine"), None
    )
    with pytest.raises(_StoppedError):
        maintainer._maintain()
