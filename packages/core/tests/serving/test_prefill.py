"""Tests of the prefill time estimate and of moving queued prompts."""

from rattanpulley_core import serving

OBJECTIVE_S = 4.5


def _trained_estimator() -> serving.PrefillEstimator:
    estimator = serving.PrefillEstimator()
    for _ in range(20):
        estimator.record("pool", 8000, 1.2)
    return estimator


def _should_move(
    estimator: serving.PrefillEstimator,
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
    return estimator.should_move("pool", tokens, wait)


def test_queued_prompt_is_detected_in_time() -> None:
    """With several long prompts at one engine, the last started after 4 s."""
    estimator = _trained_estimator()
    assert not _should_move(estimator, 1.3)
    assert _should_move(estimator, 1.8)


def test_longer_prompt_has_more_time() -> None:
    """A long prompt that is in prefill must not be moved."""
    assert not _should_move(_trained_estimator(), 2.0, tokens=14000)


def test_no_prompt_moves_without_an_estimate() -> None:
    """A newly started host has no estimate yet."""
    assert not _should_move(serving.PrefillEstimator(), 3.0)


def test_slow_samples_hardly_change_the_estimate() -> None:
    """Under load, some samples include the prefill of other prompts."""
    estimator = _trained_estimator()
    for _ in range(6):
        estimator.record("pool", 8000, 3.5)
    assert _should_move(estimator, 2.2)


def test_prompt_that_meets_its_objective_stays() -> None:
    """Guards against moving a prompt that will meet its objective.

    Eight prompts in a day were prefilled again because two shared an engine.
    """
    assert not _should_move(_trained_estimator(), 1.8, prompts=2)
    assert _should_move(_trained_estimator(), 2.6, prompts=2)


def test_prompt_that_is_late_on_every_engine_stays() -> None:
    """A second prefill costs as much and does not meet the objective either."""
    assert not _should_move(_trained_estimator(), 3.4)
    assert not _should_move(_trained_estimator(), 1.8, since_request_s=3.4)


def test_prompt_leaves_a_slow_engine() -> None:
    """An engine may be slow, such as by a factor of four, without a queue."""
    assert not _should_move(_trained_estimator(), 2.2, prompts=1)
    assert _should_move(_trained_estimator(), 2.6, prompts=1)
