"""Runs the command line and the platform stand-in as processes."""

import json
import os
import socket
import subprocess
import sys
import urllib.error
import urllib.request

import pytest

pytestmark = pytest.mark.processes

POOLS = {
    "schema": 1,
    "rows": {"p": {"kind": "service", "versions": {"v1": {}}, "targets": {}}},
}


def environment():
    return {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}


def post(url, value):
    request = urllib.request.Request(url, json.dumps(value).encode())
    request.add_header("Content-Type", "application/json")
    urllib.request.urlopen(request, timeout=5).close()


def is_up(url):
    try:
        urllib.request.urlopen(f"{url}/health", timeout=1).close()
    except (urllib.error.URLError, ConnectionError):
        return False
    return True


@pytest.fixture
def platform(tmp_path):
    with socket.create_server(("127.0.0.1", 0)) as probe:
        port = probe.getsockname()[1]
    file = tmp_path / "settings.json"
    listen = {"host": "127.0.0.1", "port": port}
    settings = {"listen": listen, "hosts": [], "exit_with_parent": True}
    file.write_text(json.dumps(settings))
    module = "rattanpulley_standins.platform"
    process = subprocess.Popen(
        [sys.executable, "-m", module, "--settings", str(file)],
        env=environment(),
    )
    url = f"http://127.0.0.1:{port}"
    while not is_up(url):
        assert process.poll() is None, "the stand-in exited"
    yield url
    process.kill()
    process.wait()


def run(url, *arguments):
    command = [sys.executable, "-m", "rattanpulley", *arguments, "--json"]
    done = subprocess.run(
        [*command, "--platform", url],
        env=environment(),
        capture_output=True,
        check=False,
    )
    return done.returncode, json.loads(done.stdout)


def test_lost_response_is_resolved_by_reading(platform, tmp_path):
    # Guards against an apply that reports an applied change as failed, or that
    # applies it twice.
    file = tmp_path / "pools.json"
    file.write_text(json.dumps(POOLS))
    post(f"{platform}/faults", {"lose_answers": 1})
    apply = ("apply", "pools", str(file), "--at-version")
    code, shown = run(platform, *apply, "0")
    assert (code, shown["version"], shown["read_back"]) == (0, 1, True)
    code, shown = run(platform, "audit")
    assert [entry["version"] for entry in shown["entries"]] == [1]
    code, shown = run(platform, *apply, "0")
    assert (code, shown["error"]["details"]["current_version"]) == (3, 1)


def test_outage_has_its_own_exit_code(platform):
    post(f"{platform}/faults", {"outage": True})
    code, shown = run(platform, "get", "pools")
    assert (code, shown["error"]["kind"]) == (4, "StoreUnavailableError")
