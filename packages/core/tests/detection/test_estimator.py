"""Tests of the stall thresholds."""

import pytest

from rattanpulley_core import detection


@pytest.mark.parametrize(
    ("intervals_s", "threshold_s"),
    [
        ([0.03] * 50, 0.12),
        ([0.1] * 200, 0.4),
        ([2.0] * 200, 5.0),
        ([0.05, 0.15] * 200, 0.62),
    ],
    ids=["floor", "four means", "ceiling", "four deviations"],
)
def test_threshold(intervals_s, threshold_s):
    # Guards against probes of healthy streams and against delayed probes.
    now_s = 1.0
    estimator = detection.IntervalEstimator(now_s)
    for interval_s in intervals_s:
        now_s += interval_s
        estimator.record(now_s)
    assert estimator.threshold_s() == pytest.approx(threshold_s, abs=0.05)


def test_backoff_doubles_up_to_the_ceiling_and_ends():
    # Guards against probes of a slow engine at a constant rate.
    estimator = detection.IntervalEstimator(1.0)
    found = []
    for _ in range(7):
        found.append(estimator.threshold_s())
        estimator.back_off(1.0)
    assert found == pytest.approx([0.12, 0.24, 0.48, 0.96, 1.92, 3.84, 5.0])
    estimator.record(1.0)
    assert estimator.threshold_s() == pytest.approx(0.12)


def test_first_token_is_late_after_the_usual_time():
    # Guards against probes of targets with long prefills.
    estimator = detection.IntervalEstimator(1.0)
    assert estimator.first_token_threshold_s(0.0) == 1.5
    assert estimator.first_token_threshold_s(3.0) == 4.5
