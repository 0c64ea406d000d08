"""Public names of the detection subject."""

from rattanpulley_core._internal.detection import estimator

IntervalEstimator = estimator.IntervalEstimator
