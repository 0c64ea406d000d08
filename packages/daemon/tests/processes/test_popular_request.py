"""One prompt that many callers send, while engines are killed."""

from collections.abc import Iterator

import chaos_callers
import pytest
import support

from rattanpulley_standins import launcher
from rattanpulley_standins._internal.load import caller

pytestmark = pytest.mark.processes

CALLERS = 12
LENGTH = 400
# Beyond the tokens that clear a request of a crash.
PROGRESS = 60


@pytest.fixture
def deployment() -> Iterator[launcher.Deployment]:
    """Gives each failure domain engines that can be lost together."""
    options = launcher.Options(
        engines_per_domain=2, token_interval_ms=10, versions=("v1",)
    )
    with launcher.Deployment(options) as running:
        yield running


def test_same_prompt_is_not_blamed_for_independent_crashes(
    deployment: launcher.Deployment,
) -> None:
    """Guards a popular request against blame for crashes it ran through."""
    urls = [daemon.url for daemon in deployment.daemons]
    callers = [
        chaos_callers.LeavingCaller(
            urls[index % 2 :] + urls[: index % 2],
            caller.AnswerRequest("popular", LENGTH),
        )
        for index in range(CALLERS)
    ]
    running = chaos_callers.run_at_once([c.run for c in callers])
    engines = [engine.name for engine in deployment.engines]
    for lost in (engines[:2], engines[2:3]):
        reached = [c.record.checker.next_index + PROGRESS for c in callers]
        support.poll_until(
            lambda reached=reached: all(
                c.record.checker.next_index >= index
                for c, index in zip(callers, reached, strict=True)
            )
        )
        deployment.kill_all(lost)
    problems = [
        record.error or str(record.checker.problems())
        for record in running.results()
        if not record.is_complete
    ]
    assert not problems
