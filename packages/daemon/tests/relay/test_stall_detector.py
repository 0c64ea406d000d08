"""Tests of how long a silent stream is waited for."""

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import stall_detector


def _quiet(has_copy: bool = True) -> stall_detector.StallDetector:
    return stall_detector.StallDetector(0.7, 4.5, has_copy, idle_since_s=0.0)


def test_silent_target_is_asked_well_before_a_pause_is_too_long() -> None:
    """Finding a dark engine and continuing must fit into the pause."""
    detector = _quiet()
    detector.record_events(1, 10.0)
    assert detector.check_at_s - 10.0 <= 0.7 / 4


def test_reading_a_prompt_is_not_silence() -> None:
    """A prompt takes a second and more; leaving would read it twice."""
    detector = _quiet()
    assert not detector.exceeds_limit(3.0)
    assert detector.exceeds_limit(4.4)


def test_stream_with_a_copy_leaves_before_the_pause_is_late() -> None:
    """A living engine may still hold a connection that went silent."""
    detector = _quiet()
    detector.record_events(1, 10.0)
    assert detector.exceeds_limit(10.5)
    without = _quiet(has_copy=False)
    without.record_events(1, 10.0)
    assert not without.exceeds_limit(10.7)


def test_growing_count_before_the_first_event_means_lost_events() -> None:
    """The answer of a run may be lost while the run goes on."""
    detector = _quiet()
    assert not detector.events_were_lost(0)
    assert not detector.events_were_lost(0)
    assert detector.events_were_lost(3)


def test_events_of_an_earlier_run_are_not_lost_events() -> None:
    """A continued run may report the events of its first target too."""
    detector = _quiet()
    assert not detector.events_were_lost(60)
    assert not detector.events_were_lost(60)


def test_late_report_does_not_condemn_a_stream_that_goes_on() -> None:
    """A sound run was left since reports lag behind the events."""
    detector = _quiet()
    detector.record_events(3, 0.5)
    assert not detector.events_were_lost(62)
    assert not detector.events_were_lost(66)


def test_run_that_two_reports_do_not_know_is_lost() -> None:
    """A run may end while its answer is lost on the way."""
    detector = _quiet()
    idle = serving.TargetReport({"other": 5}, running=1)
    prefilling = serving.TargetReport({"other": 5}, running=2)
    assert not detector.run_is_missing(idle, "mine")
    assert not detector.run_is_missing(prefilling, "mine")
    assert not detector.run_is_missing(idle, "mine")
    assert detector.run_is_missing(idle, "mine")
