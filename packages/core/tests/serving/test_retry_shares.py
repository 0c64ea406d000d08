"""Shares of a host in the retry slack, and retries that are returned."""

import pytest

from rattanpulley_core import serving

WINDOW_S = 10.0
SLACK = 150.0


# A share below one retry was never usable: on fleets with more hosts than
# slack, each stream that lost its target was held to its deadline and cut.
@pytest.mark.parametrize("hosts", [70, 150, 151, 300])
def test_share_of_the_slack_is_usable_in_time(hosts: int) -> None:
    """Guards against hosts that may never retry."""
    budget = serving.PoolRetryBudget(WINDOW_S, 0.0, SLACK)
    budget.set_host_count(hosts)
    window = budget.window_of("pool")
    made = sum(bool(window.try_acquire(0.5 * step)) for step in range(200))
    assert made > 0


# A departure that was cancelled returned the retry of another stream, made
# later: one retry more than allowed fell in a window.
def test_release_returns_the_retry_that_was_reserved() -> None:
    """Guards against more retries in a window than allowed."""
    window = serving.RetryWindow(WINDOW_S, 0.0, 2.0)
    cancelled = window.try_acquire(0.0)
    assert cancelled
    assert window.try_acquire(5.0)
    window.release(cancelled)
    assert window.try_acquire(11.0)
    assert not window.try_acquire(12.0)
