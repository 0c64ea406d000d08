"""Answers to callers with the same key, on engines that several daemons use."""

from collections.abc import Iterator
import random

import chaos_callers
import pytest
import support

from rattanpulley_standins import launcher
from rattanpulley_standins._internal.load import caller

pytestmark = pytest.mark.processes

SEED = 1
LENGTH = 60


@pytest.fixture(scope="module")
def deployment() -> Iterator[launcher.Deployment]:
    """Gives two daemons few engines, so that they often choose the same."""
    options = launcher.Options(
        domains=("north",),
        engines_per_domain=2,
        token_interval_ms=10,
        versions=("v1",),
    )
    with launcher.Deployment(options) as running:
        yield running


def _callers(
    deployment: launcher.Deployment, name: str, leaves: int, keys: int = 8
) -> list[chaos_callers.LeavingCaller]:
    """Returns two callers for each key, which begin at different daemons."""
    urls = [daemon.url for daemon in deployment.daemons]
    rng = random.Random(SEED)
    return [
        chaos_callers.LeavingCaller(
            order, caller.AnswerRequest(f"{name}-{key}", LENGTH), leaves, rng
        )
        for key in range(keys)
        for order in (urls, urls[::-1])
    ]


def _problems(running: chaos_callers.Running) -> list[tuple[str, str]]:
    return [
        (record.prompt, record.error or str(record.checker.problems()))
        for record in running.results()
        if not record.is_complete
    ]


@pytest.mark.parametrize("leaves", [0, 2])
def test_same_key_through_two_daemons(
    deployment: launcher.Deployment, leaves: int
) -> None:
    """Guards against an error, or `not_run`, while the answer is computed."""
    callers = _callers(deployment, f"same-{leaves}", leaves)
    running = chaos_callers.run_at_once([c.run for c in callers])
    assert not _problems(running)


def test_same_key_while_an_engine_is_killed(
    deployment: launcher.Deployment,
) -> None:
    """Guards against daemons that refuse each other the last engine."""
    callers = _callers(deployment, "killed", 1)
    running = chaos_callers.run_at_once([c.run for c in callers])
    support.poll_until(lambda: all(c.record.token_times_s for c in callers))
    deployment.kill(deployment.engines[0].name)
    assert not _problems(running)
    deployment.restart(deployment.engines[0].name)
