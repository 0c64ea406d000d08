"""Fleets whose targets ask for time or drain; hosts read that or do not.

The hosts do not tell each other what targets say: each learns it from its own
answers, as the rules count for each machine.
"""

from collections.abc import Callable

import availability_drive as drive_lib
import pytest

from rattanpulley_core import serving

FLEETS = ((8, 12), (87, 29))
MAX_ARRIVALS = 2
ALL_BACK_S = 8.0
# Clients that return no sooner than the targets are served a little later.
TOLERANCE = 0.03
# The seconds of steady arrivals differ by 0.2 of their mean.
MAX_SPREAD = 0.4
DRAINING = serving.Announcement(draining=True)


def _asks(seconds: float) -> serving.Announcement:
    return serving.Announcement(retry_after_s=seconds)


def _in_turn(targets: int) -> list[drive_lib.Span]:
    """Each target asks for time, an eighth of them at a time."""
    return [
        drive_lib.Span(index, begin_s, begin_s + 1.5, _asks(1.5))
        for index in range(targets)
        for begin_s in [1.0 + (index % 8) * 0.75]
    ]


def _all_at_once(targets: int) -> list[drive_lib.Span]:
    return [
        drive_lib.Span(index, 3.0, 5.0, _asks(2.0)) for index in range(targets)
    ]


def _three_of_four(targets: int) -> list[drive_lib.Span]:
    return [span for span in _all_at_once(targets) if span.target % 4]


def _play(
    fleet: tuple[int, int],
    spans: Callable[[int], list[drive_lib.Span]],
) -> tuple[drive_lib.Drive, drive_lib.Drive]:
    """Returns a fleet that reads what targets say, and one that does not."""
    hosts, targets = fleet
    reading, ignoring = (
        drive_lib.Drive(
            3, hosts, targets, spans(targets), reads_announcements
        ).run()
        for reads_announcements in (True, False)
    )
    return reading, ignoring


# Guards against more than two requests to a target within the time that it has
# asked for, against a fleet that serves less than one that ignores it, and
# against waves of requests once the targets are back.
@pytest.mark.parametrize("spans", [_in_turn, _all_at_once, _three_of_four])
@pytest.mark.parametrize("fleet", FLEETS)
def test_targets_that_ask_for_time_get_it(
    fleet: tuple[int, int], spans: Callable[[int], list[drive_lib.Span]]
) -> None:
    reading, ignoring = _play(fleet, spans)
    assert reading.most_in_a_span <= MAX_ARRIVALS < ignoring.most_in_a_span
    assert reading.served_share >= ignoring.served_share
    assert reading.rejected["asking"] < ignoring.rejected["asking"]
    assert reading.in_time_share >= ignoring.in_time_share - TOLERANCE
    assert reading.spread(ALL_BACK_S) < MAX_SPREAD


# Guards against requests to draining targets, at each host by its own answers.
@pytest.mark.parametrize("fleet", FLEETS)
def test_draining_targets_get_no_late_requests(fleet: tuple[int, int]) -> None:
    def every_third(targets: int) -> list[drive_lib.Span]:
        return [
            drive_lib.Span(index, 2.0, float("inf"), DRAINING)
            for index in range(0, targets, 3)
        ]

    reading, ignoring = _play(fleet, every_third)
    assert reading.late_to_draining == 0 < ignoring.late_to_draining
    assert reading.served_share >= ignoring.served_share
    assert reading.in_time_share >= ignoring.in_time_share - TOLERANCE
