"""Tests of the stand-in processes over HTTP."""

import random

import pytest

from rattanpulley_standins import launcher
from rattanpulley_standins._internal import http_json
from rattanpulley_standins._internal.load import caller
from rattanpulley_standins._internal.load import direct

pytestmark = pytest.mark.processes


@pytest.fixture(scope="module")
def deployment():
    options = launcher.Options(
        domains=("north",),
        engines_per_domain=3,
        daemons=0,
        token_interval_ms=2,
        versions=("v1",),
        host_list_lag_ms=0,
    )
    with launcher.Deployment(options) as running:
        yield running


def read_answer(deployment, policy):
    engines = [
        direct.EngineAddress(engine.name, engine.url, engine.version)
        for engine in deployment.engines
    ]
    request = caller.AnswerRequest(key=policy.value, length=40)
    # With this seed, the first engine chosen is one that crashes.
    rng = random.Random(3)
    return direct.DirectCaller(engines, request, policy, rng).run()


@pytest.mark.parametrize("policy", list(direct.RecoveryPolicy))
def test_an_answer_survives_a_crash(deployment, policy):
    # Guards against a crash fault that does not end the process, and against
    # engines that generate different tokens.
    names = [engine.name for engine in deployment.engines]
    for name in names[:2]:
        deployment.set_faults(name, {"exit_after_tokens": 10})
    record = read_answer(deployment, policy)
    crashed = [name for name in names if not deployment.is_running(name)]
    for name in names:
        deployment.restart(name)
    assert record.is_complete
    assert record.reconnects >= len(crashed) >= 1


def test_a_write_with_a_lost_response_is_applied(deployment):
    # Guards against a lost response that also loses the write, and against a
    # conflict that does not report the version.
    url = f"{deployment.platform_url}/objects/test/a"
    deployment.set_faults("platform", {"lose_answers": 1})
    with pytest.raises(http_json.CallError):
        http_json.call("PUT", url, {"value": 1}, {"If-None-Match": "*"})
    answer = http_json.call("PUT", url, {"value": 2}, {"If-None-Match": "*"})
    assert (answer.status, answer.body["version"]) == (412, 1)
    assert http_json.expect("GET", url)["value"] == 1


def test_a_watch_returns_a_write_and_counts_once(deployment):
    # Guards against a waiting watch that is counted as several calls.
    platform = deployment.platform_url
    before = deployment.stats("platform")
    http_json.expect(
        "PUT",
        f"{platform}/objects/watched/a",
        {"value": 1},
        {"If-None-Match": "*"},
    )
    query = f"prefix=watched/&after={before['revision']}&timeout=5"
    seen = http_json.expect("GET", f"{platform}/watch?{query}")
    assert [event["key"] for event in seen["events"]] == ["watched/a"]
    after = deployment.stats("platform")
    assert after["calls"]["watch"] == before["calls"]["watch"] + 1


def test_an_outage_rejects_reads_but_can_be_cleared(deployment):
    # Guards against an outage that rejects the request that clears it.
    deployment.set_faults("platform", {"outage": True})
    url = f"{deployment.platform_url}/hosts"
    assert http_json.call("GET", url).status == 503
    deployment.set_faults("platform", {"outage": None})
    assert len(http_json.expect("GET", url)["hosts"]) == 4


def test_a_host_is_marked_as_leaving(deployment):
    # Guards against a host list that ignores a state set by the operator.
    platform = deployment.platform_url
    path = f"{platform}/hosts/engine-north-1/state"
    http_json.expect("POST", path, {"state": "leaving"})
    rows = http_json.expect("GET", f"{platform}/hosts")["hosts"]
    states = {row["name"]: row["state"] for row in rows}
    assert states["engine-north-1"] == "leaving"
    assert http_json.call("POST", path, {"state": "gone"}).status == 422


def test_a_service_counts_runs_whose_responses_are_lost(deployment):
    # Guards against a service that does not count a repeated run.
    service = deployment.services[0]
    key = {"Idempotency-Key": "key-1"}
    deployment.set_faults(service.name, {"lose_answers": 1})
    with pytest.raises(http_json.CallError):
        http_json.call("POST", f"{service.url}/deposits", {"n": 1}, key)
    answer = http_json.expect("POST", f"{service.url}/deposits", {"n": 1}, key)
    assert answer["runs"] == 2
    assert deployment.stats(service.name)["runs_by_key"]["key-1"] == 2


def test_malformed_requests_get_422(deployment):
    # Guards against an engine that accepts a malformed request.
    url = f"{deployment.engines[0].url}/v1/completions"
    assert http_json.call("POST", url, {"prompt": "x"}).status == 422
    assert http_json.call("POST", url, [1]).status == 422
