"""Departures from silent targets."""

import hypothesis
from hypothesis import strategies as st
import pytest

from rattanpulley_core import serving

MAX_SOUND_SILENCE_S = 1.5


# A request spent its last attempt on a target that was silent but sound.
@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    max_attempts=st.integers(1, 8),
    silences_s=st.lists(st.floats(0.0, 60.0), max_size=20),
)
def test_silence_never_leaves_a_request_without_an_attempt(
    max_attempts: int, silences_s: list[float]
) -> None:
    """Whatever the silences, the current attempt or a later one remains."""
    departures = serving.SilenceDepartures()
    left = max_attempts - 1
    for silent_s in silences_s:
        if departures.may_leave(silent_s, left):
            departures.record()
            left -= 1
    assert left >= 0


# Silences of sound targets used up what a crash would have needed.
@pytest.mark.parametrize("max_attempts", [4, 5, 8])
def test_silences_of_a_second_keep_an_attempt_for_a_loss(
    max_attempts: int,
) -> None:
    """Any number of such silences leaves an attempt after the current one."""
    departures = serving.SilenceDepartures()
    left = max_attempts - 1
    for _ in range(50):
        if departures.may_leave(MAX_SOUND_SILENCE_S, left):
            departures.record()
            left -= 1
    assert left >= 1
    assert left == max_attempts - 3


def test_first_departure_is_immediate() -> None:
    """A target that is really lost is left within the longest pause."""
    assert serving.SilenceDepartures().may_leave(0.1, 1)


# A sound new version was rolled back for one silence under many requests.
def test_one_silence_of_a_target_is_one_observation() -> None:
    """Requests that leave a target together saw the same silence."""
    silences = serving.TargetSilences()
    seen = [silences.is_new("a", at_s) for at_s in (0.0, 0.1, 1.5, 1.9)]
    assert seen == [True, False, False, False]
    assert silences.is_new("b", 1.9)


# A target that stayed silent counted once, however long requests met it.
def test_longer_silence_is_observed_again() -> None:
    """A target that is lost counts again and again."""
    silences = serving.TargetSilences()
    times_s = [step / 10 for step in range(61)]
    assert sum(silences.is_new("a", at_s) for at_s in times_s) == 4
