"""Tests of the account limits."""

import hypothesis
from hypothesis import strategies as st
import pytest

from rattanpulley_core import limits
from rattanpulley_core import tables


def make_route(concurrent, **limits_by_account):
    return tables.Route(
        name="assistant",
        match=tables.Match(model="assistant"),
        pool="assistant",
        kind=tables.TargetKind.ENGINE,
        default_limit=tables.AccountLimit(concurrent),
        limits_by_account={
            name: tables.AccountLimit(value)
            for name, value in limits_by_account.items()
        },
    )


def test_account_at_its_limit_is_refused_and_others_are_not():
    # Guards against an account that uses up the capacity of others.
    route = make_route(2, large=3)
    account_limits = limits.AccountLimits()
    assert [account_limits.admit(route, "a") for _ in range(3)] == [
        True,
        True,
        False,
    ]
    assert [account_limits.admit(route, "large") for _ in range(4)].count(
        True
    ) == 3
    assert account_limits.admit(route, "b")
    account_limits.release(route.name, "a")
    assert account_limits.admit(route, "a")


def test_returning_caller_is_admitted_at_the_limit():
    # Guards against an answer that is lost on a reconnect because the old
    # connection is still counted.
    route = make_route(1)
    account_limits = limits.AccountLimits()
    assert account_limits.admit(route, "a")
    assert account_limits.admit(route, "a", is_reconnect=True)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    concurrent=st.integers(1, 500),
    daemons=st.integers(1, 380),
    choices=st.lists(st.integers(0, 379), max_size=300),
)
def test_over_admission_is_bounded(concurrent, daemons, choices):
    # Guards against a sum of shares beyond the stated bound, and against a
    # refusal at a daemon that has less than its even share.
    route = make_route(concurrent)
    parts = [limits.AccountLimits() for _ in range(daemons)]
    for part in parts:
        part.set_daemon_count(daemons)
    shares = [part.local_limit(route, "a") for part in parts]
    assert sum(shares) <= limits.IMBALANCE_FACTOR * concurrent + daemons
    admitted = [0] * daemons
    for choice in choices:
        index = choice % daemons
        ok = parts[index].admit(route, "a")
        assert ok or admitted[index] >= concurrent / daemons
        admitted[index] += ok


def test_daemon_count_of_zero_is_rejected():
    with pytest.raises(ValueError, match="at least 1, got 0"):
        limits.AccountLimits().set_daemon_count(0)
