"""One prompt from many concurrent callers, while engines are killed."""

from collections.abc import Iterator

import chaos_callers
import pytest
import support

from rattanpulley_standins import launcher
from rattanpulley_standins._internal.load import caller

pytestmark = pytest.mark.processes

CALLER_COUNT = 12
LENGTH = 400
# More than the tokens after which a request is no longer suspected of a crash.
PROGRESS_TOKENS = 60


@pytest.fixture
def deployment() -> Iterator[launcher.Deployment]:
    """Runs two engines per failure domain, which can be killed together."""
    options = launcher.Options(
        engines_per_domain=2, token_interval_ms=10, versions=("v1",)
    )
    with launcher.Deployment(options) as running:
        yield running


def _wait_for_progress(
    callers: list[chaos_callers.DisconnectingCaller],
) -> None:
    """Waits until each answer is `PROGRESS_TOKENS` longer, or has ended."""
    records = [caller.record for caller in callers]
    required_indexes = [
        min(record.checker.next_index + PROGRESS_TOKENS, LENGTH)
        for record in records
    ]
    support.poll_until(
        lambda: all(
            record.error or record.checker.next_index >= index
            for record, index in zip(records, required_indexes, strict=True)
        )
    )


def test_same_prompt_is_not_blamed_for_independent_crashes(
    deployment: launcher.Deployment,
) -> None:
    """Guards against blaming a popular request for unrelated crashes."""
    urls = [daemon.url for daemon in deployment.daemons]
    callers = [
        chaos_callers.DisconnectingCaller(
            urls[index % 2 :] + urls[: index % 2],
            caller.AnswerRequest("popular", LENGTH),
        )
        for index in range(CALLER_COUNT)
    ]
    running = chaos_callers.run_concurrently([c.run for c in callers])
    engines = [engine.name for engine in deployment.engines]
    for engine_names in (engines[:2], engines[2:3]):
        _wait_for_progress(callers)
        deployment.kill_all(engine_names)
    problems = [
        record.error or str(record.checker.problems())
        for record in running.results()
        if not record.is_complete
    ]
    assert not problems
