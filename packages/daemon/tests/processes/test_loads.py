"""Process test of engine selection by expected cost."""

import pytest
import support

from rattanpulley_standins import launcher

pytestmark = pytest.mark.processes


def test_expected_cost_reads_loads_and_serves() -> None:
    """Guards against a daemon that never reads engine loads."""
    options = launcher.Options(
        domains=("north",),
        daemons=1,
        engines_per_domain=2,
        versions=("v1",),
        target_choice="expected_cost",
    )
    with launcher.Deployment(options) as deployment:

        def count(name: str) -> int:
            counters = support.get_status(deployment, "entry-1")["counters"]
            return int(counters.get(f"loads.{name}", 0))

        # On a busy machine, individual responses may exceed the timeout.
        support.poll_until(lambda: count("read") >= count("failed") + 2)
        before = count("failed")
        answer = support.complete(deployment, "entry-1", "length=5", "k1")
        assert answer.status == 200
        deployment.pause("engine-north-1")
        support.poll_until(lambda: count("failed") > before)
        deployment.resume("engine-north-1")
