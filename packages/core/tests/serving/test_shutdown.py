"""Tests of the requests that a stopping host accepts."""

import pytest

from rattanpulley_core import serving


@pytest.mark.parametrize(
    ("since_stop_s", "longest_s", "left_s", "accepted"),
    [
        (1.0, 25.0, 6.7, True),
        (4.5, 25.0, 3.2, False),
        (4.5, 1.2, 3.2, True),
        (7.0, 1.2, 0.7, False),
    ],
)
def test_late_request_is_accepted_only_if_it_can_finish(
    since_stop_s: float, longest_s: float, left_s: float, accepted: bool
) -> None:
    """Guards against aborting a request at the end of the grace period.

    A stream that was accepted 4.5 s after SIGTERM was cut off there.
    """
    assert (
        serving.accepts_while_stopping(since_stop_s, longest_s, left_s)
        is accepted
    )
