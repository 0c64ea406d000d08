"""Tests of the time after which refused clients return."""

import random

import pytest

from rattanpulley_core import serving

USUAL_RANGE_S = (0.15, 0.45)
LIMIT_S = 4.0
# Clients wait at most this part of the time that they have left.
PATIENCE = 1 / 3


def served_share(waits_s: list[float], outage_s: float, at_s: float) -> float:
    """Returns the share of clients that return after the outage."""
    return sum(at_s + wait_s >= outage_s for wait_s in waits_s) / len(waits_s)


def choose_waits(failure: serving.FailureKind | None) -> list[float]:
    rng = random.Random(7)
    return [
        serving.choose_retry_after_s(failure, LIMIT_S, USUAL_RANGE_S, rng)
        for _ in range(200)
    ]


@pytest.mark.parametrize(
    "failure",
    [
        None,
        serving.FailureKind.NOT_CONNECTED,
        serving.FailureKind.UNREACHABLE,
    ],
)
def test_clients_of_an_outage_return_late_and_spread(failure):
    # Guards against clients that spend their only retry within the same outage:
    # the last replica of a service is behind a partition for some seconds.
    waits_s = choose_waits(failure)
    assert served_share(waits_s, outage_s=5.0, at_s=4.2) == 1.0
    assert max(waits_s) <= LIMIT_S * PATIENCE
    assert max(waits_s) - min(waits_s) > 0.3


def test_clients_of_a_busy_target_return_soon():
    # Guards against a request that could still be on time and waits instead.
    waits_s = choose_waits(serving.FailureKind.REFUSED)
    assert max(waits_s) <= USUAL_RANGE_S[1]


def test_client_without_time_gets_the_usual_range():
    rng = random.Random(1)
    wait_s = serving.choose_retry_after_s(None, -1.0, USUAL_RANGE_S, rng)
    assert USUAL_RANGE_S[0] <= wait_s <= USUAL_RANGE_S[1]
