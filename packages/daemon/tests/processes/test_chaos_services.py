"""Calls that must run at most once, while other processes fail."""

from collections.abc import Callable, Iterator
import random
import time

import chaos_callers
import pytest
import support

from rattanpulley_standins import launcher
from rattanpulley_standins._internal import http_json

pytestmark = pytest.mark.processes

SEED = 1
# A daemon must not start a call later than half of this time after its claim.
MAX_CALL_S = 2.0
START_SPREAD_S = 1.0
KEY_COUNT = 40


@pytest.fixture(scope="module")
def deployment() -> Iterator[launcher.Deployment]:
    options = launcher.Options(engines_per_domain=1, versions=("v1",))
    with launcher.Deployment(options) as running:
        url = f"{running.platform_url}/objects/tables/routes"
        routes = http_json.expect("GET", url)
        value = routes["value"]
        value["rows"]["deposits"]["max_call_s"] = MAX_CALL_S
        condition = {"If-Match": str(routes["version"])}
        http_json.expect("PUT", url, {"value": value}, condition)
        support.poll_until(lambda: _route_versions(running) == {2})
        yield running


def _route_versions(deployment: launcher.Deployment) -> set[int]:
    return {
        support.get_status(deployment, d.name)["tables"]["routes"]["version"]
        for d in deployment.daemons
    }


def _set_delay(deployment: launcher.Deployment, slow_ms: float) -> None:
    for name in ("platform", *(s.name for s in deployment.services)):
        deployment.set_faults(name, {"slow_ms": slow_ms})


def _check_run_counts(
    deployment: launcher.Deployment,
    answers: dict[str, tuple[int, str]],
    earlier_runs_by_key: dict[str, int] | None = None,
) -> None:
    """Checks that the run count of each key matches its reported run state.

    Args:
        deployment: The deployment.
        answers: Result code and run state by key.
        earlier_runs_by_key: Runs counted before a service restarted.
    """
    runs = chaos_callers.get_runs_by_key(deployment)
    for key, (code, run_state) in answers.items():
        run_count = runs.get(key, 0) + (earlier_runs_by_key or {}).get(key, 0)
        allowed = {"not_run": {0}, "ran": {1}}.get(run_state, {0, 1})
        assert run_count in allowed, (key, code, run_state, run_count)


def _call_while_injecting(
    deployment: launcher.Deployment,
    name: str,
    inject_faults: Callable[[random.Random], None],
) -> dict[str, tuple[int, str]]:
    """Sends one request per key while `inject_faults` runs."""
    rng = random.Random(f"{SEED} {name}")
    urls = [daemon.url for daemon in deployment.daemons]
    keys = [f"{name}-{number}" for number in range(KEY_COUNT)]
    delays_s = [rng.random() * START_SPREAD_S for _ in keys]
    running = chaos_callers.run_concurrently(
        [
            lambda n=n: chaos_callers.send_deposit(
                urls[n % 2], keys[n], delays_s[n]
            )
            for n in range(KEY_COUNT)
        ]
    )
    inject_faults(rng)
    return dict(zip(keys, running.results(), strict=True))


def _retry_through_other_daemon(
    deployment: launcher.Deployment, answers: dict[str, tuple[int, str]]
) -> dict[str, tuple[int, str]]:
    """Retries the calls that did not report `ran` through the other daemon."""
    urls = [daemon.url for daemon in deployment.daemons]
    return {
        key: chaos_callers.send_deposit(urls[(number + 1) % 2], key)
        for number, (key, answer) in enumerate(answers.items())
        if answer[1] != "ran"
    }


def test_one_key_from_many_callers(deployment: launcher.Deployment) -> None:
    """Guards against a second run for concurrent callers (G6)."""
    urls = [daemon.url for daemon in deployment.daemons]
    calls = [
        lambda n=n: chaos_callers.send_deposit(urls[n % 2], "same")
        for n in range(50)
    ]
    answers = chaos_callers.run_concurrently(calls).results()
    assert set(answers) <= {(1000, "ran"), (1305, "unknown")}
    assert (1000, "ran") in answers
    assert chaos_callers.get_runs_by_key(deployment)["same"] == 1


@pytest.mark.parametrize(
    "faults",
    [
        {"lose_answers": 60},
        {"lose_answers": 60, "stale_reads": True},
        {"slow_ms": 200},
    ],
)
def test_object_api_faults(
    deployment: launcher.Deployment, faults: dict[str, float]
) -> None:
    """Guards against a claim that is attributed to another daemon or lost."""

    def inject_faults(_: random.Random) -> None:
        deployment.set_faults("platform", faults)

    answers = _call_while_injecting(
        deployment, f"store {sorted(faults)}", inject_faults
    )
    deployment.set_faults("platform", dict.fromkeys(faults))
    _check_run_counts(deployment, answers)


def test_object_api_intermittent_outage(
    deployment: launcher.Deployment,
) -> None:
    """Guards against `not_run` for a call whose record was not written."""

    def inject_faults(_: random.Random) -> None:
        for _ in range(4):
            time.sleep(0.1)
            deployment.set_faults("platform", {"outage": True})
            time.sleep(0.15)
            deployment.set_faults("platform", {"outage": False})

    answers = _call_while_injecting(deployment, "outage", inject_faults)
    _check_run_counts(deployment, answers)
    _check_run_counts(
        deployment, _retry_through_other_daemon(deployment, answers)
    )


@pytest.mark.parametrize("pause_s", [0.3, 1.3, 2.5])
def test_daemon_is_paused(
    deployment: launcher.Deployment, pause_s: float
) -> None:
    """Guards against a daemon that starts a call late after a pause."""
    _set_delay(deployment, 50)

    def inject_faults(rng: random.Random) -> None:
        time.sleep(rng.random() * START_SPREAD_S / 2)
        deployment.pause("entry-1")
        time.sleep(pause_s)
        deployment.resume("entry-1")

    answers = _call_while_injecting(
        deployment, f"pause {pause_s}", inject_faults
    )
    _set_delay(deployment, 0)
    _check_run_counts(deployment, answers)


def test_daemons_are_killed(deployment: launcher.Deployment) -> None:
    """Guards against a second run when a caller retries elsewhere."""
    _set_delay(deployment, 50)

    def inject_faults(rng: random.Random) -> None:
        for daemon in deployment.daemons:
            time.sleep(rng.random() * START_SPREAD_S / 2)
            deployment.kill(daemon.name)
            deployment.restart(daemon.name)

    answers = _call_while_injecting(deployment, "killed", inject_faults)
    _set_delay(deployment, 0)
    _check_run_counts(deployment, answers)
    _check_run_counts(
        deployment, _retry_through_other_daemon(deployment, answers)
    )


def test_service_is_killed_after_the_run(
    deployment: launcher.Deployment,
) -> None:
    """Guards against a second run after a service lost an answer and died.

    The run counts are read before the kill, because a restart resets them.
    """
    service = deployment.services[0].name
    deployment.set_faults(service, {"lose_answers": KEY_COUNT})
    answers = _call_while_injecting(deployment, "dead", lambda _: None)
    earlier_runs_by_key = deployment.stats(service)["runs_by_key"]
    deployment.kill(service)
    deployment.restart(service)
    assert any(code == 1304 for code, _ in answers.values())
    _check_run_counts(deployment, answers, earlier_runs_by_key)
    _check_run_counts(
        deployment,
        _retry_through_other_daemon(deployment, answers),
        earlier_runs_by_key,
    )
