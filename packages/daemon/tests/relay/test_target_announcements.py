"""What the relay reads from the heads of targets, and when it asks for it."""

import types

import pytest
import relay_builders

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import attempt_progress
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import context as context_lib
from rattanpulleyd._internal.relay import plain_relay
from rattanpulleyd._internal.relay import target_announcements
from rattanpulleyd._internal.relay import target_connection

TARGET = relay_builders.target("t")
OTHER = relay_builders.target("other", port=81)


@pytest.fixture
def context():
    context = relay_builders.make_context("a")
    context.targets = serving.TargetRegistry()
    for entry in (TARGET, OTHER):
        context.targets.upsert(entry)
    names = types.SimpleNamespace(draining=b"draining", target_id=b"target")
    context.announcements = target_announcements.TargetAnnouncements(
        context.availability,
        context.targets,
        names,
        context.log,
        context.metrics,
    )
    return context


def _head(status, **headers):
    raw = [(k.encode(), v.encode()) for k, v in headers.items()]
    return target_connection.ResponseHead(status, tuple(raw))


# Guards against a target that is lost by what another at its address says.
@pytest.mark.parametrize(
    ("head", "draining"),
    [
        (_head(200, draining="1"), {"t"}),
        (_head(421, draining="1"), set()),
        (_head(421, draining="1", target="t"), {"t"}),
        (_head(421, draining="1", target="other"), {"other"}),
        (_head(421, draining="1", target="unknown"), set()),
    ],
)
def test_announcement_is_that_of_the_target_that_answers(
    context, head, draining
):
    context.announcements.record_head(TARGET, head)
    now_s = clock.now_s()
    assert draining == {
        entry.target_id
        for entry in (TARGET, OTHER)
        if context.availability.is_draining(entry, now_s)
    }


# Guards against a request that is sent although the target said so while its
# connection was opened; it has not run, and goes to another target.
def test_request_is_checked_when_its_connection_is_open(context, monkeypatch):
    sent = []

    def connect(_connection, _timeout_s):
        context.announcements.record_head(TARGET, _head(200, draining="1"))

    monkeypatch.setattr(target_connection.TargetConnection, "connect", connect)
    monkeypatch.setattr(
        target_connection.TargetConnection, "send", lambda *_: sent.append(1)
    )
    monkeypatch.setattr(context_lib, "outgoing_headers", lambda *_: ())
    relay = plain_relay.PlainRelay.__new__(plain_relay.PlainRelay)
    relay._context = context
    relay._admission = types.SimpleNamespace(request=None)
    relay.targets = []
    with pytest.raises(target_connection.AttemptError) as raised:
        relay._attempt(TARGET, attempt_progress.AttemptProgress(0.0))
    assert raised.value.kind is serving.FailureKind.UNAVAILABLE
    assert sent == []
    rule = serving.RULE_BY_FAILURE[raised.value.kind]
    assert (rule.executed, rule.counts_as_attempt) == (
        serving.Executed.NO,
        False,
    )


# Guards against a log that grows with each announcement.
def test_lines_of_an_interval_are_bounded(context):
    lines = []
    context.log.change = lambda event, **_: lines.append(event)
    for number in range(100):
        entry = relay_builders.target(f"t{number}", port=number)
        context.announcements.record_head(
            entry, _head(503, **{"retry-after": "1"})
        )
    assert lines == ["target.retry_after"] * target_announcements.MAX_LINES
    context.announcements.step(clock.now_s() + 2.0)
    assert lines.count("target.available") == target_announcements.MAX_LINES
