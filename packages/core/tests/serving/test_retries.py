"""Tests of the retry budget."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from rattanpulley_core import serving

WINDOW_S = 10.0
RATIO = 0.8
SLACK = 15.0


@given(st.lists(st.tuples(st.booleans(), st.floats(0.0, 2.0)), max_size=200))
@settings(derandomize=True, deadline=None)
def test_retries_of_any_window_stay_within_the_limit(
    steps: list[tuple[bool, float]],
) -> None:
    """Clients that retry immediately must not multiply the load of a pool."""
    window = serving.PoolRetryBudget(WINDOW_S, RATIO, SLACK).window_of("pool")
    now_s = 0.0
    requests: list[float] = []
    retries: list[float] = []
    for is_request, step_s in steps:
        now_s += step_s
        if is_request:
            window.record_request(now_s)
            requests.append(now_s)
        elif window.try_acquire(now_s):
            retries.append(now_s)
        recent = [at for at in retries if at > now_s - WINDOW_S]
        counted = [at for at in requests if at > now_s - WINDOW_S]
        assert len(recent) <= RATIO * len(counted) + SLACK or retries[-1] < (
            now_s
        )


def test_loss_of_a_domain_fits_within_the_slack() -> None:
    """A host with few requests must be able to move streams of lost targets."""
    window = serving.PoolRetryBudget(WINDOW_S, RATIO, SLACK).window_of("pool")
    assert sum(bool(window.try_acquire(0.0)) for _ in range(40)) == int(SLACK)
    assert window.try_acquire(WINDOW_S + 0.1)


def test_changed_bounds_hold_for_windows_that_exist() -> None:
    """Guards against a budget that keeps the bounds of its start."""
    budget = serving.PoolRetryBudget(10.0, 0.0, 1.0)
    window = budget.window_of("pool")
    assert window.try_acquire(0.0)
    assert not window.try_acquire(0.1)
    budget.set_bounds(10.0, 0.0, 2.0)
    assert window.try_acquire(0.2)
    assert not window.try_acquire(0.3)


# A stream that had begun was cut while later requests took the retries.
def test_retries_go_first_to_answers_that_wait() -> None:
    """Guards against streams that wait while new requests retry."""
    window = serving.RetryWindow(WINDOW_S, 0.0, 2.0)
    assert window.try_acquire(0.0)
    assert window.try_acquire(1.0)
    with window.waiting("first"), window.waiting("second"):
        assert not window.try_acquire(9.0, "first")
        # One retry is free again, and both are waited for.
        assert not window.try_acquire(10.0)
        assert not window.try_acquire(10.0, "second")
        assert window.try_acquire(10.0, "first")
    assert not window.try_acquire(10.5)
    assert window.try_acquire(11.0)
