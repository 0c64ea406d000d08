"""Calls that must run at most once, while their surroundings fail."""

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
# A daemon must not start a call when half of this has passed since its claim.
MAX_CALL_S = 2.0
SPREAD_S = 1.0
KEYS = 40


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
        support.poll_until(lambda: _newest_routes(running) == {2})
        yield running


def _newest_routes(deployment: launcher.Deployment) -> set[int]:
    return {
        support.get_status(deployment, d.name)["tables"]["routes"]["version"]
        for d in deployment.daemons
    }


def _set_slow(deployment: launcher.Deployment, slow_ms: float) -> None:
    for name in ("platform", *(s.name for s in deployment.services)):
        deployment.set_faults(name, {"slow_ms": slow_ms})


def _check(
    deployment: launcher.Deployment,
    answers: dict[str, tuple[int, str]],
    earlier: dict[str, int] | None = None,
) -> None:
    """Checks the runs of keys with one request each, or with one answer."""
    runs = chaos_callers.runs_by_key(deployment)
    for key, (code, run) in answers.items():
        count = runs.get(key, 0) + (earlier or {}).get(key, 0)
        allowed = {"not_run": {0}, "ran": {1}}.get(run, {0, 1})
        assert count in allowed, (key, code, run, count)


def _call_all(
    deployment: launcher.Deployment,
    name: str,
    harm: Callable[[random.Random], None],
) -> dict[str, tuple[int, str]]:
    """Sends one request for each of many keys while `harm` does its work."""
    rng = random.Random(f"{SEED} {name}")
    urls = [daemon.url for daemon in deployment.daemons]
    keys = [f"{name}-{number}" for number in range(KEYS)]
    delays_s = [rng.random() * SPREAD_S for _ in keys]
    running = chaos_callers.run_at_once(
        [
            lambda n=n: chaos_callers.deposit(urls[n % 2], keys[n], delays_s[n])
            for n in range(KEYS)
        ]
    )
    harm(rng)
    return dict(zip(keys, running.results(), strict=True))


def _retry(
    deployment: launcher.Deployment, answers: dict[str, tuple[int, str]]
) -> dict[str, tuple[int, str]]:
    """Sends the requests without an answer again, through the other daemon."""
    urls = [daemon.url for daemon in deployment.daemons]
    return {
        key: chaos_callers.deposit(urls[(number + 1) % 2], key)
        for number, (key, answer) in enumerate(answers.items())
        if answer[1] != "ran"
    }


def test_one_key_from_many_callers(deployment: launcher.Deployment) -> None:
    """Guards against a second run for callers of the same moment (G6)."""
    urls = [daemon.url for daemon in deployment.daemons]
    calls = [
        lambda n=n: chaos_callers.deposit(urls[n % 2], "same")
        for n in range(50)
    ]
    answers = chaos_callers.run_at_once(calls).results()
    assert set(answers) <= {(1000, "ran"), (1305, "unknown")}
    assert (1000, "ran") in answers
    assert chaos_callers.runs_by_key(deployment)["same"] == 1


@pytest.mark.parametrize(
    "faults",
    [
        {"lose_answers": 60},
        {"lose_answers": 60, "stale_reads": True},
        {"slow_ms": 200},
    ],
)
def test_object_api_misbehaves(
    deployment: launcher.Deployment, faults: dict[str, float]
) -> None:
    """Guards against a claim that is taken for someone else's or for none."""

    def harm(_: random.Random) -> None:
        deployment.set_faults("platform", faults)

    answers = _call_all(deployment, f"store {sorted(faults)}", harm)
    deployment.set_faults("platform", dict.fromkeys(faults))
    _check(deployment, answers)


def test_object_api_comes_and_goes(deployment: launcher.Deployment) -> None:
    """Guards against `not_run` for a call whose record was not written."""

    def harm(_: random.Random) -> None:
        for _ in range(4):
            time.sleep(0.1)
            deployment.set_faults("platform", {"outage": True})
            time.sleep(0.15)
            deployment.set_faults("platform", {"outage": False})

    answers = _call_all(deployment, "outage", harm)
    _check(deployment, answers)
    _check(deployment, _retry(deployment, answers))


@pytest.mark.parametrize("pause_s", [0.3, 1.3, 2.5])
def test_daemon_is_paused(
    deployment: launcher.Deployment, pause_s: float
) -> None:
    """Guards against a late call of a daemon that goes on after a pause."""
    _set_slow(deployment, 50)

    def harm(rng: random.Random) -> None:
        time.sleep(rng.random() * SPREAD_S / 2)
        deployment.pause("entry-1")
        time.sleep(pause_s)
        deployment.resume("entry-1")

    answers = _call_all(deployment, f"pause {pause_s}", harm)
    _set_slow(deployment, 0)
    _check(deployment, answers)


def test_daemons_are_killed(deployment: launcher.Deployment) -> None:
    """Guards against a second run when a caller comes again elsewhere."""
    _set_slow(deployment, 50)

    def harm(rng: random.Random) -> None:
        for daemon in deployment.daemons:
            time.sleep(rng.random() * SPREAD_S / 2)
            deployment.kill(daemon.name)
            deployment.restart(daemon.name)

    answers = _call_all(deployment, "killed", harm)
    _set_slow(deployment, 0)
    _check(deployment, answers)
    _check(deployment, _retry(deployment, answers))


def test_service_dies_after_the_run(deployment: launcher.Deployment) -> None:
    """Guards against a second run after an answer was lost with its service.

    The service is asked for its count before it is killed.
    """
    service = deployment.services[0].name
    deployment.set_faults(service, {"lose_answers": KEYS})
    answers = _call_all(deployment, "dead", lambda _: None)
    earlier = deployment.stats(service)["runs_by_key"]
    deployment.kill(service)
    deployment.restart(service)
    assert any(code == 1304 for code, _ in answers.values())
    _check(deployment, answers, earlier)
    _check(deployment, _retry(deployment, answers), earlier)
