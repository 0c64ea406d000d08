"""Tests of what follows from the ending of an attempt."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from rattanpulley_core import serving

MAY_HAVE_RUN = [
    ending
    for ending, rule in serving.RULE_BY_FAILURE.items()
    if rule.executed is not serving.Executed.NO
]


@pytest.mark.parametrize("ending", MAY_HAVE_RUN)
def test_unrepeatable_request_is_never_sent_again(
    ending: serving.FailureKind,
) -> None:
    """A charge or booking must not happen twice."""
    ledger = serving.AttemptTracker(idempotent=False, max_attempts=5)
    ledger.record("a", ending)
    assert not ledger.may_send()


@given(st.lists(st.sampled_from(list(serving.FailureKind)), min_size=1))
@settings(derandomize=True, deadline=None)
def test_promise_only_when_nothing_can_have_run(
    endings: list[serving.FailureKind],
) -> None:
    """A 503 tells the client that it may send the request again."""
    ledger = serving.AttemptTracker(idempotent=False, max_attempts=99)
    for ending in endings:
        ledger.record("a", ending)
    promised = ledger.final_status(endings[-1]) == 503
    assert promised == (not set(endings) & set(MAY_HAVE_RUN))


@given(st.lists(st.sampled_from(list(serving.FailureKind))))
@settings(derandomize=True, deadline=None)
def test_sends_stay_within_the_route(
    endings: list[serving.FailureKind],
) -> None:
    """The operator's limit on targets holds whatever they answer."""
    ledger = serving.AttemptTracker(idempotent=True, max_attempts=3)
    sends = 0
    for ending in endings:
        if not ledger.may_send():
            break
        ledger.record("a", ending)
        sends += serving.RULE_BY_FAILURE[ending].counts_as_attempt
    assert sends <= 3


def test_target_that_could_not_be_reached_costs_no_attempt() -> None:
    """An unrepeatable request goes on when nothing of it was sent."""
    ledger = serving.AttemptTracker(idempotent=False, max_attempts=1)
    ledger.record("a", serving.FailureKind.NOT_CONNECTED)
    assert ledger.may_send()
    assert ledger.final_status(serving.FailureKind.NOT_CONNECTED) == 503
