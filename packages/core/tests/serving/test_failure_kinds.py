"""Tests of the handling of failed attempts."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from rattanpulley_core import serving

MAY_HAVE_RUN = [
    failure
    for failure, rule in serving.RULE_BY_FAILURE.items()
    if rule.executed is not serving.Executed.NO
]


@pytest.mark.parametrize("failure", MAY_HAVE_RUN)
def test_non_idempotent_request_is_never_retried(
    failure: serving.FailureKind,
) -> None:
    """Guards against running a charge or a booking twice."""
    tracker = serving.AttemptTracker(idempotent=False, max_attempts=5)
    tracker.record("a", failure)
    assert not tracker.may_send()


@given(st.lists(st.sampled_from(list(serving.FailureKind)), min_size=1))
@settings(derandomize=True, deadline=None)
def test_503_only_if_no_attempt_can_have_run(
    failures: list[serving.FailureKind],
) -> None:
    """A 503 tells the client that it may retry the request."""
    tracker = serving.AttemptTracker(idempotent=False, max_attempts=99)
    for failure in failures:
        tracker.record("a", failure)
    is_promised = tracker.final_status(failures[-1]) == 503
    assert is_promised == (not set(failures) & set(MAY_HAVE_RUN))


@given(st.lists(st.sampled_from(list(serving.FailureKind))))
@settings(derandomize=True, deadline=None)
def test_attempts_stay_within_the_maximum(
    failures: list[serving.FailureKind],
) -> None:
    """The maximum number of attempts holds for any sequence of failures."""
    tracker = serving.AttemptTracker(idempotent=True, max_attempts=3)
    sends = 0
    for failure in failures:
        if not tracker.may_send():
            break
        tracker.record("a", failure)
        sends += serving.RULE_BY_FAILURE[failure].counts_as_attempt
    assert sends <= 3


def test_failed_connection_does_not_count_as_attempt() -> None:
    """A non-idempotent request may be retried if nothing of it was sent."""
    tracker = serving.AttemptTracker(idempotent=False, max_attempts=1)
    tracker.record("a", serving.FailureKind.NOT_CONNECTED)
    assert tracker.may_send()
    assert tracker.final_status(serving.FailureKind.NOT_CONNECTED) == 503


# Refusals used up the attempts of a stream, so that a crash cut it.
def test_refused_request_may_return_to_targets_it_has_tried() -> None:
    """The maximum holds for the targets at which a request runs."""
    tracker = serving.AttemptTracker(idempotent=True, max_attempts=2)
    tracker.record("a", serving.FailureKind.UNRESPONSIVE)
    tracker.record("b", serving.FailureKind.REFUSED)
    assert not tracker.may_send()
    assert tracker.may_return()
    tracker.record("b", serving.FailureKind.CONNECTION_LOST)
    assert not tracker.may_return()
