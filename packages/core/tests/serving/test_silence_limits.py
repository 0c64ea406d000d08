"""Silences that are longer than those of sound targets."""

import pytest

from rattanpulley_core import serving


# A stream stayed at an engine that had vanished without closing its
# connections, although an attempt was left and other engines answered.
@pytest.mark.parametrize("max_attempts", [3, 4, 5])
def test_long_silence_is_left_with_the_last_attempt(max_attempts: int) -> None:
    """The attempt that is kept for a loss is used when a target is lost."""
    departures = serving.SilenceDepartures()
    left = max_attempts - 1
    while left > 1:
        assert departures.may_leave(10.0, left)
        departures.record()
        left -= 1
    assert departures.may_leave(10.0, left)
