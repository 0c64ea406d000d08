"""Tests of the token buckets."""

import pytest

from rattanpulley_core import budgets


def test_bucket_refills_up_to_its_burst():
    # Guards against unbounded accumulation of permits without traffic.
    bucket = budgets.TokenBucket(2.0, 3.0, now_s=5.0)
    assert [bucket.try_acquire(5.0) for _ in range(4)] == [
        True,
        True,
        True,
        False,
    ]
    assert bucket.available(6.0) == pytest.approx(2.0)
    assert bucket.available(100.0) == pytest.approx(3.0)
    # A time before the previous one adds no permits.
    assert bucket.available(50.0) == pytest.approx(3.0)


def test_retries_are_a_tenth_of_requests_with_a_floor():
    # Guards against retries that multiply the load of a failing pool.
    budget = budgets.RetryBudget()
    while budget.try_acquire_retry(0.0):
        pass
    for _ in range(100):
        budget.record_request(0.0)
    assert sum(budget.try_acquire_retry(0.0) for _ in range(100)) in (9, 10)
    assert sum(budget.try_acquire_retry(3.0) for _ in range(100)) == 3


def test_invalid_rates_are_rejected():
    # Guards against a bucket that never has a permit.
    with pytest.raises(ValueError, match="burst"):
        budgets.TokenBucket(1.0, 0.0)
