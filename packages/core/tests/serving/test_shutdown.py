"""Tests of what a stopping host still takes."""

import pytest

from rattanpulley_core import serving


@pytest.mark.parametrize(
    ("since_stop_s", "longest_s", "left_s", "taken"),
    [
        (1.0, 25.0, 6.7, True),
        (4.5, 25.0, 3.2, False),
        (4.5, 1.2, 3.2, True),
        (7.0, 1.2, 0.7, False),
    ],
)
def test_late_request_is_taken_only_if_it_can_be_finished(
    since_stop_s: float, longest_s: float, left_s: float, taken: bool
) -> None:
    """A stream taken 4.5 s after SIGTERM was cut at the end of the grace."""
    assert (
        serving.accepts_while_stopping(since_stop_s, longest_s, left_s) is taken
    )
