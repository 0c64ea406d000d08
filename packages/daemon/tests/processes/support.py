"""Helpers shared by the tests with real processes."""

from collections.abc import Callable
import itertools
import json
import os
import subprocess
import sys
from typing import Any

import gevent
import urllib3

POLL_S = 0.1
MAX_POLLS = 600


def get_status(deployment: Any, name: str) -> Any:
    url = f"{deployment.url(name)}/status"
    return urllib3.request("GET", url, retries=False).json()


def complete(
    deployment: Any, name: str, prompt: str, key: str, max_tokens: int = 5
) -> Any:
    body = {"model": "assistant", "prompt": prompt, "max_tokens": max_tokens}
    return urllib3.request(
        "POST",
        f"{deployment.url(name)}/v1/completions",
        headers={"Authorization": "Bearer acme", "Idempotency-Key": key},
        body=json.dumps(body),
        retries=False,
        timeout=60,
    )


def poll_until(condition: Callable[[], bool]) -> None:
    for _ in itertools.repeat(None, MAX_POLLS):
        if condition():
            return
        gevent.sleep(POLL_S)
    raise AssertionError("the condition did not become true")


def run_command(deployment: Any, *arguments: str) -> str:
    """Runs the command line and returns its output; it must succeed."""
    completed = try_command(deployment, "tester", *arguments)
    assert completed.returncode == 0, completed.stdout + completed.stderr
    return completed.stdout


def try_command(
    deployment: Any, operator: str, *arguments: str
) -> subprocess.CompletedProcess[str]:
    """Runs the command line and returns the process with any exit code."""
    return subprocess.run(
        [sys.executable, "-m", "rattanpulley", *arguments],
        capture_output=True,
        text=True,
        check=False,
        env={
            **os.environ,
            "PYTHONPATH": os.pathsep.join(sys.path),
            "RATTANPULLEY_PLATFORM": deployment.platform_url,
            "RATTANPULLEY_WHO": operator,
        },
    )
