"""Public API for stall detection."""

from rattanpulley_core._internal.detection import estimator

IntervalEstimator = estimator.IntervalEstimator
