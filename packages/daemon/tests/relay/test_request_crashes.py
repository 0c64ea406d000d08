"""Crash reports of the relay's own attempts."""

import types

import pytest
import relay_builders

from rattanpulley_core import suspects
from rattanpulleyd._internal.relay import attempt_progress
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import request_crashes

PART = "pool.aa"


@pytest.fixture
def context():
    return relay_builders.make_context("a")


@pytest.fixture
def admission():
    return types.SimpleNamespace(
        part_keys=(PART,), request=types.SimpleNamespace(request_id="r")
    )


# Guards against an answer that counts once, before it has passed the crashes.
def test_answer_clears_its_part_however_late_it_passes_the_crashes(
    context, admission
):
    now_s = clock.suspend_aware_now_s()
    latest = suspects.BEGINNING_EVENTS - 1
    context.part_suspects.record_crash(
        (PART,), "t", "boot", latest, 0.1, now_s - 5.0
    )
    progress = attempt_progress.AttemptProgress(
        clock.now_s() - 2.0, answered_at_s=clock.now_s() - 1.0
    )
    for events in (suspects.BEGINNING_EVENTS, suspects.SOUND_EVENTS):
        assert context.part_suspects.losses(PART) == 1
        progress.events = events
        request_crashes.record_answer(context, admission, progress)
    assert context.part_suspects.losses(PART) == 0


# Guards against blaming a part for losses that took waiting prompts too.
@pytest.mark.parametrize(("waits", "losses"), [(True, 1), (False, 2)])
def test_loss_under_a_waiting_prompt_speaks_for_another_cause(
    context, monkeypatch, waits, losses
):
    monkeypatch.setattr(request_crashes, "_has_crashed", lambda entry: True)
    monkeypatch.setattr(
        request_crashes, "_stops_as_planned", lambda context, entry: False
    )
    answered_at_s = clock.now_s() - 0.1
    attempts = [("t1", answered_at_s), ("t2", answered_at_s)]
    if waits:
        attempts.append(("t3", None))
    for number, (target, answered_s) in enumerate(attempts):
        request_crashes.record_crash(
            context,
            types.SimpleNamespace(
                part_keys=(PART,),
                fingerprint=f"content {number}",
                request=types.SimpleNamespace(request_id="r"),
            ),
            types.SimpleNamespace(target_id=target, started_ms=1),
            0,
            attempt_progress.AttemptProgress(
                clock.now_s() - 2.0, answered_at_s=answered_s
            ),
        )
    assert context.part_suspects.losses(PART) == losses
