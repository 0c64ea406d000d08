"""Tests of when a stalled stream is checked and left."""

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import stall_detector


def _detector(has_copy: bool = True) -> stall_detector.StallDetector:
    return stall_detector.StallDetector(0.7, 4.5, has_copy, idle_since_s=0.0)


def test_unresponsive_target_is_probed_within_the_pause_limit() -> None:
    """Detecting a lost engine and resuming must fit into the pause limit."""
    detector = _detector()
    detector.record_events(1, 10.0)
    assert detector.check_at_s - 10.0 <= 0.7 / 4


def test_prefill_is_not_a_stall() -> None:
    """Prefill takes a second or more; leaving early would repeat it."""
    detector = _detector()
    assert not detector.exceeds_limit(3.0)
    assert detector.exceeds_limit(4.4)


def test_stream_with_a_copy_leaves_within_the_pause_limit() -> None:
    """The connection may stall although the engine is alive."""
    detector = _detector()
    detector.record_events(1, 10.0)
    assert detector.exceeds_limit(10.5)
    without = _detector(has_copy=False)
    without.record_events(1, 10.0)
    assert not without.exceeds_limit(10.7)


def test_growing_count_before_the_first_event_means_lost_events() -> None:
    """The response may be lost while the run continues."""
    detector = _detector()
    assert not detector.events_were_lost(0)
    assert not detector.events_were_lost(0)
    assert detector.events_were_lost(3)


def test_events_of_an_earlier_run_are_not_lost_events() -> None:
    """A resumed run may also report the events of its first target."""
    detector = _detector()
    assert not detector.events_were_lost(60)
    assert not detector.events_were_lost(60)


def test_lagging_report_does_not_end_a_running_stream() -> None:
    """Guards against leaving a healthy run because reports lag."""
    detector = _detector()
    detector.record_events(3, 0.5)
    assert not detector.events_were_lost(62)
    assert not detector.events_were_lost(66)


def test_run_missing_from_two_reports_is_lost() -> None:
    """A run may end while its response is lost in transit."""
    detector = _detector()
    idle = serving.TargetReport({"other": 5}, running=1)
    prefilling = serving.TargetReport({"other": 5}, running=2)
    assert not detector.run_is_missing(idle, "mine")
    assert not detector.run_is_missing(prefilling, "mine")
    assert not detector.run_is_missing(idle, "mine")
    assert detector.run_is_missing(idle, "mine")
