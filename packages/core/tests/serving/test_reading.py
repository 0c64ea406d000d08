"""Tests of the usual time to read a prompt."""

from rattanpulley_core import serving

OBJECTIVE_S = 4.5


def _learnt() -> serving.PrefillEstimator:
    reading = serving.PrefillEstimator()
    for _ in range(20):
        reading.record("pool", 8000, 1.2)
    return reading


def _leaves(
    reading: serving.PrefillEstimator,
    since_sent_s: float,
    prompts: int = 4,
    tokens: int = 8000,
    since_request_s: float | None = None,
) -> bool:
    wait = serving.PrefillWait(
        since_sent_s,
        since_sent_s if since_request_s is None else since_request_s,
        prompts,
        OBJECTIVE_S,
    )
    return reading.should_move("pool", tokens, wait)


def test_prompt_behind_others_is_noticed_in_time() -> None:
    """Several long prompts at one engine made the last start after 4 s."""
    reading = _learnt()
    assert not _leaves(reading, 1.3)
    assert _leaves(reading, 1.8)


def test_longer_prompt_may_take_longer() -> None:
    """A long prompt that is being read must not be moved."""
    assert not _leaves(_learnt(), 2.0, tokens=14000)


def test_nothing_is_moved_before_anything_is_known() -> None:
    """A host that has just started knows no engine."""
    assert not _leaves(serving.PrefillEstimator(), 3.0)


def test_prompts_that_met_others_do_not_spoil_the_estimate() -> None:
    """Under load some samples contain the reading of other prompts."""
    reading = _learnt()
    for _ in range(6):
        reading.record("pool", 8000, 3.5)
    assert _leaves(reading, 2.2)


def test_prompt_that_will_be_in_time_stays() -> None:
    """Eight prompts of a day were read again although two met at an engine."""
    assert not _leaves(_learnt(), 1.8, prompts=2)
    assert _leaves(_learnt(), 2.6, prompts=2)


def test_prompt_that_is_late_everywhere_stays() -> None:
    """Reading it again costs as much and gains nothing."""
    assert not _leaves(_learnt(), 3.4)
    assert not _leaves(_learnt(), 1.8, since_request_s=3.4)


def test_engine_that_is_slow_by_itself_is_left() -> None:
    """An engine that takes four times as long reads no other prompt."""
    assert not _leaves(_learnt(), 2.2, prompts=1)
    assert _leaves(_learnt(), 2.6, prompts=1)
