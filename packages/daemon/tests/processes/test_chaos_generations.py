"""Concurrent callers with the same key, on engines shared by two daemons."""

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
    """Runs two daemons with two engines, so they often choose the same one."""
    options = launcher.Options(
        domains=("north",),
        engines_per_domain=2,
        token_interval_ms=10,
        versions=("v1",),
    )
    with launcher.Deployment(options) as running:
        yield running


def _make_callers(
    deployment: launcher.Deployment,
    name: str,
    disconnects: int,
    key_count: int = 8,
) -> list[chaos_callers.DisconnectingCaller]:
    """Returns two callers per key, which start at different daemons."""
    urls = [daemon.url for daemon in deployment.daemons]
    rng = random.Random(SEED)
    return [
        chaos_callers.DisconnectingCaller(
            order,
            caller.AnswerRequest(f"{name}-{key}", LENGTH),
            disconnects,
            rng,
        )
        for key in range(key_count)
        for order in (urls, urls[::-1])
    ]


def _find_problems(
    running: chaos_callers.ConcurrentCalls,
) -> list[tuple[str, str]]:
    return [
        (record.prompt, record.error or str(record.checker.problems()))
        for record in running.results()
        if not record.is_complete
    ]


@pytest.mark.parametrize("disconnects", [0, 2])
def test_same_key_through_two_daemons(
    deployment: launcher.Deployment, disconnects: int
) -> None:
    """Guards against errors or `not_run` while the answer is generated."""
    callers = _make_callers(deployment, f"same-{disconnects}", disconnects)
    running = chaos_callers.run_concurrently([c.run for c in callers])
    assert not _find_problems(running)


def test_same_key_while_an_engine_is_killed(
    deployment: launcher.Deployment,
) -> None:
    """Guards against daemons that block each other from the last engine."""
    callers = _make_callers(deployment, "killed", 1)
    running = chaos_callers.run_concurrently([c.run for c in callers])
    support.poll_until(lambda: all(c.record.token_times_s for c in callers))
    deployment.kill(deployment.engines[0].name)
    assert not _find_problems(running)
    deployment.restart(deployment.engines[0].name)
