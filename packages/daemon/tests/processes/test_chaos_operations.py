"""Concurrent operators and graceful shutdown, under load and faults."""

from collections.abc import Iterator
import itertools
import json
import pathlib

import chaos_callers
import pytest
import support

from rattanpulley_standins import launcher
from rattanpulley_standins._internal import http_json
from rattanpulley_standins._internal.load import caller

pytestmark = pytest.mark.processes

LENGTH = 120
ROUNDS = 2
TABLE = "tables/routes"


@pytest.fixture
def deployment() -> Iterator[launcher.Deployment]:
    options = launcher.Options(
        engines_per_domain=1, token_interval_ms=10, versions=("v1",)
    )
    with launcher.Deployment(options) as running:
        yield running


def _apply_changes(
    deployment: launcher.Deployment,
    path: pathlib.Path,
    operator: str,
    first_value_s: int,
) -> list[tuple[float, int]]:
    """Applies distinct values; returns each value with its exit code."""
    results = []
    for value_s in range(first_value_s, first_value_s + ROUNDS):
        shown = support.try_command(
            deployment, operator, "get", "routes", "-o", str(path), "--json"
        )
        table = json.loads(path.read_text())
        table["rows"]["stock"]["max_call_s"] = float(value_s)
        path.write_text(json.dumps(table))
        version = str(json.loads(shown.stdout)["version"])
        applied = support.try_command(
            deployment,
            operator,
            *("apply", "routes", str(path), "--at-version", version),
        )
        results.append((float(value_s), applied.returncode))
    return results


def _route_versions(deployment: launcher.Deployment) -> list[int]:
    return [
        support.get_status(deployment, d.name)["tables"]["routes"]["version"]
        for d in deployment.daemons
    ]


@pytest.mark.parametrize("stale_reads", [False, True])
def test_concurrent_operators(
    deployment: launcher.Deployment, tmp_path: pathlib.Path, stale_reads: bool
) -> None:
    """Guards against lost or reverted changes and false reports (G9)."""
    faults = {"stale_reads": stale_reads, "lose_answers": 2}
    deployment.set_faults("platform", faults)
    running = chaos_callers.run_concurrently(
        [
            lambda operator=operator, first_value_s=first_value_s: (
                _apply_changes(
                    deployment,
                    tmp_path / f"{operator}.json",
                    operator,
                    first_value_s,
                )
            )
            for operator, first_value_s in (("ana", 20), ("bo", 40))
        ]
    )
    observed_versions = [_route_versions(deployment)]
    while running.is_running():
        observed_versions.append(_route_versions(deployment))
    results = [result for part in running.results() for result in part]
    deployment.set_faults("platform", dict.fromkeys(faults))
    url = f"{deployment.platform_url}/objects"
    newest = http_json.expect("GET", f"{url}/{TABLE}")
    support.poll_until(
        lambda: set(_route_versions(deployment)) == {newest["version"]}
    )
    for earlier, later in itertools.pairwise(observed_versions):
        assert all(a <= b for a, b in zip(earlier, later, strict=True))
    audit = support.try_command(
        deployment, "ana", "audit", "--table", "routes", "--json"
    )
    applied_s = [
        float(text)
        for text in (str(value) for value, _ in results)
        if f'"max_call_s": {text}' in audit.stdout
    ]
    assert applied_s
    for value_s, code in results:
        assert code != 0 or value_s in applied_s, (value_s, audit.stdout)
        assert code != 3 or value_s not in applied_s, (value_s, audit.stdout)
    assert newest["version"] == 1 + len(applied_s)


def test_sigterm_under_load(deployment: launcher.Deployment) -> None:
    """Guards against a graceful shutdown that interrupts answers (G8)."""
    url = deployment.url("entry-1")
    for service in deployment.services:
        deployment.set_faults(service.name, {"slow_ms": 1000})
    streams = [
        caller.DaemonCaller([url], caller.AnswerRequest(f"s{i}", LENGTH))
        for i in range(8)
    ]
    running = chaos_callers.run_concurrently(
        [
            *(stream.run for stream in streams),
            *(
                lambda i=i: (
                    support.complete(
                        deployment, "entry-1", "length=120", f"w{i}", LENGTH
                    ).status
                )
                for i in range(4)
            ),
            *(
                lambda i=i: chaos_callers.send_deposit(url, f"d{i}")
                for i in range(8)
            ),
        ]
    )
    claimed = f"{deployment.platform_url}/objects?prefix=claims/"
    support.poll_until(
        lambda: (
            all(s.record.token_times_s for s in streams)
            and len(http_json.expect("GET", claimed)["objects"]) == 8
        )
    )
    deployment.terminate("entry-1")
    results = running.results()
    assert all(record.is_complete for record in results[:8])
    assert not any(record.reconnects for record in results[:8])
    assert results[8:12] == [200] * 4
    assert results[12:] == [(1000, "ran")] * 8
    support.poll_until(lambda: not deployment.is_running("entry-1"))
