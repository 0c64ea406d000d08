"""Tests of the judgement of an ordered version."""

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


def test_counts_of_all_hosts_are_added_up() -> None:
    # Guards against a host that judges by only its own few responses.
    one = evidence(a=(4, 0, 40, 0))
    assert serving.judge_rollout([one]).judgement is (
        serving.Judgement.UNDECIDED
    )
    verdict = serving.judge_rollout([one] * 3)
    assert verdict.judgement is serving.Judgement.ACCEPTABLE
    assert verdict.counts == serving.RouteCounts(12, 0, 120, 0)


def test_no_evidence_is_undecided() -> None:
    # Guards against completing a version that has handled no request.
    assert serving.judge_rollout([]).judgement is serving.Judgement.UNDECIDED


def test_single_failure_does_not_reject() -> None:
    assert judge(a=(0, 1, 200, 0)) is not serving.Judgement.REJECTED


def test_fault_on_one_route_rejects() -> None:
    # Guards against missing a fault among the successes of other routes.
    assert judge(rare=(3, 4, 60, 0), usual=(60, 0, 900, 2)) is (
        serving.Judgement.REJECTED
    )


def test_route_that_fails_on_both_versions_does_not_reject() -> None:
    # Guards against adding up the counts of routes with different failure rates
    # and shares. The new version gets as many requests of the failing route as
    # of the others.
    assert judge(
        failing=(0, 8, 0, 10), flaky=(8, 2, 75, 25), usual=(15, 0, 230, 1)
    ) is (serving.Judgement.ACCEPTABLE)


@pytest.mark.parametrize(("rate", "limit"), [(0.004, 5), (0.14, 20)])
def test_good_versions_are_rarely_rejected(rate: float, limit: int) -> None:
    # Guards against rolling back good versions.
    rng = random.Random(7)
    rejected = 0
    for _ in range(300):
        bad_new = sum(rng.random() < rate for _ in range(40))
        bad_old = sum(rng.random() < rate for _ in range(400))
        verdict = judge(a=(40 - bad_new, bad_new, 400 - bad_old, bad_old))
        rejected += verdict is serving.Judgement.REJECTED
    assert rejected <= limit


@pytest.mark.parametrize("rate", [0.004, 0.14])
def test_bad_versions_are_rejected(rate: float) -> None:
    # Guards clients against a version that fails half of its requests. One in a
    # hundred may appear good by chance.
    rng = random.Random(8)
    missed = 0
    for _ in range(200):
        bad_new = sum(rng.random() < 0.5 + rate / 2 for _ in range(40))
        bad_old = sum(rng.random() < rate for _ in range(400))
        verdict = judge(a=(40 - bad_new, bad_new, 400 - bad_old, bad_old))
        missed += verdict is not serving.Judgement.REJECTED
    assert missed <= 2
