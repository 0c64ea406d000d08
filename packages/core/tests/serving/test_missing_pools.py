"""Pools that are gone while requests run, wait or retry."""

from collections.abc import Callable
import random

import pytest
import serving_builders as builders

from rattanpulley_core import serving

GONE = "gone"
QUERY = serving.PlacementQuery(GONE)
RUNS_ON = builders.target("t", pool=GONE)


def _placement() -> serving.Placement:
    return serving.Placement(
        serving.TargetRegistry(), serving.LoadTable(), "north", random.Random(1)
    )


def _trials() -> serving.TrialTable:
    return serving.TrialTable(
        serving.VersionGate(), 0.1, 50.0, random.Random(1)
    )


# Guards against a lookup that raises, so that each request of the pool fails.
@pytest.mark.parametrize(
    ("look_up", "expected"),
    [
        (lambda: _placement().choose(QUERY, 0.0), None),
        (lambda: _placement().shortlist(QUERY, 3, 0.0), []),
        (lambda: _placement().shortage(GONE, 0.0), serving.Shortage()),
        (lambda: _placement().choose_copy_holder(GONE, RUNS_ON, 0.0), None),
        (lambda: _trials().admit_request(GONE, "r", 0.0), False),
        (lambda: _trials().record_answer(GONE, "v", "r", True, None), None),
        (lambda: serving.VersionGate().stable([]), []),
        (
            lambda: serving.PrefillEstimator().should_move(
                GONE, 9999, serving.PrefillWait(1.0, 1.0, 2, 1.0)
            ),
            False,
        ),
        (
            lambda: bool(
                serving.PoolRetryBudget(10.0, 0.0, 1.0)
                .window_of(GONE)
                .try_acquire(0.0)
            ),
            True,
        ),
        (lambda: builders.config(1).find_route("r", GONE, "/a/"), None),
    ],
)
def test_pool_that_is_gone_has_no_targets(
    look_up: Callable[[], object], expected: object
) -> None:
    assert look_up() == expected


# Guards against targets of a pool that end with its last one.
def test_request_of_a_pool_whose_last_target_left_finds_none() -> None:
    targets = serving.TargetRegistry()
    placement = serving.Placement(
        targets, serving.LoadTable(), "north", random.Random(1)
    )
    targets.upsert(RUNS_ON)
    assert placement.choose(QUERY, 0.0) is RUNS_ON
    targets.remove(RUNS_ON.target_id)
    assert placement.choose(QUERY, 0.0) is None
