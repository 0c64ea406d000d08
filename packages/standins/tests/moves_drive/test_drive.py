"""Tests of the drive that measures version moves."""

import dataclasses

import pytest

from rattanpulley_standins._internal.moves_drive import drive
from rattanpulley_standins._internal.moves_drive import kinds

KINDS_BY_NAME = {kind.name: kind for kind in kinds.KINDS}
SHORT = dataclasses.replace(
    kinds.HEAVY, window_s=300.0, deadline_s=20.0, requests_per_s=20.0
)


@pytest.mark.parametrize("name", ["errors_all", "crashes"])
def test_a_bad_version_is_taken_back(name):
    # Guards against a drive whose faults do not reach the daemons.
    outcome = drive.run_move(KINDS_BY_NAME[name], SHORT, 1, exchange=True)
    assert outcome.is_taken_back
    assert not outcome.is_done
    assert 0 < outcome.harmed < 0.02 * outcome.requests


def test_a_good_version_is_moved_and_a_seed_repeats():
    # Guards against figures that cannot be reproduced.
    first, second = (
        drive.run_move(KINDS_BY_NAME["good"], SHORT, 1, exchange=True)
        for _ in range(2)
    )
    assert first.is_done
    assert first.harmed == 0
    assert first == second


def test_a_baseline_harms_what_the_fault_reaches():
    outcome = drive.run_baseline(
        KINDS_BY_NAME["errors_all"], SHORT, 1, "flip", kinds.flip
    )
    assert outcome.harmed > 0.9 * outcome.requests
