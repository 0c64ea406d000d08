"""Tests of the simulation of version moves."""

import dataclasses

import pytest

from rattanpulley_standins._internal.move_simulation import scenarios
from rattanpulley_standins._internal.move_simulation import simulation

SCENARIOS_BY_NAME = {
    scenario.name: scenario for scenario in scenarios.SCENARIOS
}
SHORT = dataclasses.replace(
    scenarios.HEAVY, window_s=300.0, deadline_s=20.0, requests_per_s=20.0
)


@pytest.mark.parametrize("name", ["errors_all", "crashes"])
def test_bad_version_is_rolled_back(name):
    # Guards against simulated faults that the daemons never observe.
    result = simulation.run_move(
        SCENARIOS_BY_NAME[name], SHORT, 1, exchanges_evidence=True
    )
    assert result.is_rolled_back
    assert not result.is_done
    assert 0 < result.harmed < 0.02 * result.requests


def test_good_version_completes_and_seed_is_reproducible():
    # Guards against figures that cannot be reproduced.
    first, second = (
        simulation.run_move(
            SCENARIOS_BY_NAME["good"], SHORT, 1, exchanges_evidence=True
        )
        for _ in range(2)
    )
    assert first.is_done
    assert first.harmed == 0
    assert first == second


def test_baseline_harms_all_requests_of_bad_version():
    result = simulation.run_baseline(
        SCENARIOS_BY_NAME["errors_all"], SHORT, 1, "flip", scenarios.flip
    )
    assert result.harmed > 0.9 * result.requests
