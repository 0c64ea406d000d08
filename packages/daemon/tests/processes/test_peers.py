"""Process tests of the exchange between daemons."""

import pytest
import support

from rattanpulley_standins import launcher

pytestmark = pytest.mark.processes


@pytest.fixture
def deployment():
    with launcher.Deployment() as running:
        yield running


def test_daemon_without_the_platform_gets_its_tables_from_a_peer(deployment):
    # Guards against a restarted daemon that cannot serve during an outage.
    deployment.kill("platform")
    deployment.restart("entry-2")
    tables = support.get_status(deployment, "entry-2")["tables"]
    assert {table["source"] for table in tables.values()} == {"peer"}
    answer = support.complete(deployment, "entry-2", "hello", "key-1")
    assert answer.status == 200


def test_crashing_request_is_refused_by_the_other_daemon_too(deployment):
    # Guards against a request that crashes two targets through each daemon.
    for engine in deployment.engines:
        deployment.set_faults(engine.name, {"crash_on_content": "poison"})
    first = support.complete(deployment, "entry-1", "poison pill", "key-1")
    assert first.json()["error"]["code"] == 1205

    def is_suspect_known() -> bool:
        status = support.get_status(deployment, "entry-2")
        return status["generations"]["suspect_count"] > 0

    support.poll_until(is_suspect_known)
    second = support.complete(deployment, "entry-2", "poison pill", "key-2")
    assert second.json()["error"]["code"] == 1205
    assert second.json()["error"]["run"] == "not_run"
    lost = [e for e in deployment.engines if not deployment.is_running(e.name)]
    assert len(lost) == 2
    harmless = support.complete(deployment, "entry-2", "hello", "key-3")
    assert harmless.status == 200
