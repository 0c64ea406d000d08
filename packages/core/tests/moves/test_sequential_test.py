"""Tests of the sequential test that compares two versions."""

import math
import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from rattanpulley_core import moves
from rattanpulley_core._internal.moves import sequential_test

SIGNALS = list(moves.Signal)


def single_count(is_new, is_bad):
    """Returns the counts of one request."""
    name = f"{'new' if is_new else 'old'}_{'bad' if is_bad else 'ok'}"
    return moves.Counts(**{name: 1})


@settings(derandomize=True, deadline=None, max_examples=60)
@given(
    share=st.floats(0.01, 0.99),
    rate=st.floats(0.0, 1.0),
    signal=st.sampled_from(SIGNALS),
    before=st.lists(st.tuples(st.booleans(), st.booleans()), max_size=20),
)
def test_the_expected_capital_does_not_grow(share, rate, signal, before):
    # Guards against false alarms above the documented rate: for equal versions
    # the expected capital after a request equals the capital before it, for
    # every rate of bad requests.
    expectation = 0.0
    for is_new in (True, False):
        for is_bad in (True, False):
            test = sequential_test.SequentialTest(signal)
            for request in before:
                test.update(single_count(*request), share)
            capital = math.exp(test.log_capital)
            test.update(single_count(is_new, is_bad), share)
            weight = (share if is_new else 1 - share) * (
                rate if is_bad else 1 - rate
            )
            expectation += weight * math.exp(test.log_capital)
    assert expectation == pytest.approx(capital, rel=1e-9)


def test_the_invested_capital_never_exceeds_one():
    # Guards against a mixture over start times that adds to the probability of
    # false alarms.
    test = sequential_test.SequentialTest(moves.Signal.ERRORS)
    for step in range(2001):
        test.invest_until(step / 1000)
        assert test.log_capital == pytest.approx(0.0, abs=1e-9)


def count_detections(new_rate, old_rate, share, seeds, number):
    """Returns the number of seeded runs that reach odds of 20 to 1."""
    found = 0
    for seed in range(seeds):
        rng = random.Random(seed)
        test = sequential_test.SequentialTest(moves.Signal.ERRORS)
        for step in range(number):
            # The rate of both versions changes, as in a failure of both.
            factor = 10.0 if 100 <= step < 200 else 1.0
            is_new = rng.random() < share
            rate = factor * (new_rate if is_new else old_rate)
            test.invest_until(step / number)
            test.update(single_count(is_new, rng.random() < rate), share)
            if test.log_capital >= math.log(20):
                found += 1
                break
    return found


def test_equal_versions_raise_few_alarms_also_in_a_general_failure():
    # Ville's inequality allows 5 % of 200 runs.
    assert count_detections(0.02, 0.02, 0.2, seeds=200, number=400) <= 10


def test_a_worse_version_is_found():
    assert count_detections(0.09, 0.005, 0.2, seeds=20, number=600) == 20
