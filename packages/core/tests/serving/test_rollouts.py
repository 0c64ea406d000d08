"""Tests of the judgement on an ordered version."""

import random

import pytest

from rattanpulley_core import serving


def evidence(**counts_by_route: tuple[int, int, int, int]):
    return serving.RolloutEvidence(
        "host",
        "v2",
        {
            route: serving.RouteCounts(*counts)
            for route, counts in counts_by_route.items()
        },
    )


def judge(**counts_by_route: tuple[int, int, int, int]) -> serving.Judgement:
    return serving.judge_rollout([evidence(**counts_by_route)]).judgement


def test_counts_of_all_hosts_are_added() -> None:
    # Guards against a host that judges by its own few answers.
    one = evidence(a=(4, 0, 40, 0))
    assert serving.judge_rollout([one]).judgement is (
        serving.Judgement.UNDECIDED
    )
    verdict = serving.judge_rollout([one] * 3)
    assert verdict.judgement is serving.Judgement.ACCEPTABLE
    assert verdict.counts == serving.RouteCounts(12, 0, 120, 0)


def test_no_evidence_decides_nothing() -> None:
    # Guards against a version that is completed without an answer.
    assert serving.judge_rollout([]).judgement is serving.Judgement.UNDECIDED


def test_single_bad_answer_is_chance() -> None:
    assert judge(a=(0, 1, 200, 0)) is not serving.Judgement.REJECTED


def test_fault_on_one_route_condemns() -> None:
    # Guards against a fault that drowns in the good answers of other routes.
    assert judge(rare=(3, 4, 60, 0), usual=(60, 0, 900, 2)) is (
        serving.Judgement.REJECTED
    )


def test_route_that_fails_on_both_versions_condemns_nothing() -> None:
    # Guards against routes with other rates and shares being added up: the new
    # version gets as much of the failing route as of the others.
    assert judge(
        failing=(0, 8, 0, 10), flaky=(8, 2, 75, 25), usual=(15, 0, 230, 1)
    ) is (serving.Judgement.ACCEPTABLE)


@pytest.mark.parametrize(("rate", "limit"), [(0.004, 5), (0.14, 20)])
def test_good_versions_are_seldom_condemned(rate: float, limit: int) -> None:
    # Guards the operator against good versions that are taken back.
    rng = random.Random(7)
    condemned = 0
    for _ in range(300):
        bad_new = sum(rng.random() < rate for _ in range(40))
        bad_old = sum(rng.random() < rate for _ in range(400))
        verdict = judge(a=(40 - bad_new, bad_new, 400 - bad_old, bad_old))
        condemned += verdict is serving.Judgement.REJECTED
    assert condemned <= limit


@pytest.mark.parametrize("rate", [0.004, 0.14])
def test_bad_versions_are_condemned(rate: float) -> None:
    # Guards the clients against a version that fails a half of its requests;
    # one in a hundred may look good by chance.
    rng = random.Random(8)
    missed = 0
    for _ in range(200):
        bad_new = sum(rng.random() < 0.5 + rate / 2 for _ in range(40))
        bad_old = sum(rng.random() < rate for _ in range(400))
        verdict = judge(a=(40 - bad_new, bad_new, 400 - bad_old, bad_old))
        missed += verdict is not serving.Judgement.REJECTED
    assert missed <= 2
