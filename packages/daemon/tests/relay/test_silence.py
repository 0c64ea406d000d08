"""Tests of how long a silent stream is waited for."""

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import silence


def _quiet(has_copy: bool = True) -> silence.Silence:
    return silence.Silence(0.7, 4.5, has_copy, since_s=0.0)


def test_silent_target_is_asked_well_before_a_pause_is_too_long() -> None:
    """Finding a dark engine and continuing must fit into the pause."""
    quiet = _quiet()
    quiet.note_events(1, 10.0)
    assert quiet.examine_at_s - 10.0 <= 0.7 / 4


def test_reading_a_prompt_is_not_silence() -> None:
    """A prompt takes a second and more; leaving would read it twice."""
    quiet = _quiet()
    assert not quiet.too_long(3.0)
    assert quiet.too_long(4.4)


def test_stream_with_a_copy_leaves_before_the_pause_is_late() -> None:
    """A living engine may still hold a connection that went silent."""
    quiet = _quiet()
    quiet.note_events(1, 10.0)
    assert quiet.too_long(10.5)
    without = _quiet(has_copy=False)
    without.note_events(1, 10.0)
    assert not without.too_long(10.7)


def test_growing_count_before_the_first_event_means_lost_events() -> None:
    """The answer of a run may be lost while the run goes on."""
    quiet = _quiet()
    assert not quiet.events_were_lost(0)
    assert not quiet.events_were_lost(0)
    assert quiet.events_were_lost(3)


def test_events_of_an_earlier_run_are_not_lost_events() -> None:
    """A continued run may report the events of its first target too."""
    quiet = _quiet()
    assert not quiet.events_were_lost(60)
    assert not quiet.events_were_lost(60)


def test_late_report_does_not_condemn_a_stream_that_goes_on() -> None:
    """A sound run was left since reports lag behind the events."""
    quiet = _quiet()
    quiet.note_events(3, 0.5)
    assert not quiet.events_were_lost(62)
    assert not quiet.events_were_lost(66)


def test_run_that_two_reports_do_not_know_is_lost() -> None:
    """A run may end while its answer is lost on the way."""
    quiet = _quiet()
    idle = serving.TargetReport({"other": 5}, running=1)
    reading = serving.TargetReport({"other": 5}, running=2)
    assert not quiet.run_is_missing(idle, "mine")
    assert not quiet.run_is_missing(reading, "mine")
    assert not quiet.run_is_missing(idle, "mine")
    assert quiet.run_is_missing(idle, "mine")
