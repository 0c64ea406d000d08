"""Time from the accepted write of a table until all daemons use it."""

import argparse
import dataclasses
import json
import pathlib
import time
from typing import Any

import gevent
from gevent import pool

from rattanpulley_standins import launcher
from rattanpulley_standins._internal import http_json
from rattanpulley_standins._internal.launch import deployment

DAEMON_COUNTS = (4, 12, 36)
CHANGE_COUNT = 20
POLL_S = 0.01
# Longer than the bound of 17 s. A change that is not active by then is missed.
ACTIVATION_TIMEOUT_S = 30.0
ROUTES_KEY = "tables/routes"
MS_PER_S = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Activation times with one number of daemons, from the accepted write.

    Attributes:
        daemons: Number of daemons.
        changes: Number of changes.
        first_ms: Median time until the change is active on one daemon.
        all_p50_ms: Median time until the change is active on all daemons.
        all_max_ms: Largest time until a change is active on all daemons.
        missed: Changes that were not active on all daemons within the timeout.
        watch_calls: Watch calls counted by the platform.
    """

    daemons: int
    changes: int
    first_ms: float
    all_p50_ms: float
    all_max_ms: float
    missed: int
    watch_calls: int


def main() -> None:
    """Measures each number of daemons and writes the JSON file."""
    parser = argparse.ArgumentParser(
        prog="python -m rattanpulley_standins.measure_config",
        description="Measures how soon a change of a table is active.",
    )
    parser.add_argument(
        "--output",
        type=pathlib.Path,
        default=pathlib.Path("docs/measurements/config.json"),
        help="file to write (default: docs/measurements/config.json)",
    )
    output = parser.parse_args().output
    results = [measure(count) for count in DAEMON_COUNTS]
    value = {"results": [dataclasses.asdict(result) for result in results]}
    output.write_text(json.dumps(value, indent=1) + "\n")
    for result in results:
        print(result)


def measure(daemon_count: int) -> Result:
    """Measures repeated changes of the routes table on one deployment."""
    options = launcher.Options(
        domains=("north", "south"), engines_per_domain=1, daemons=daemon_count
    )
    with launcher.Deployment(options) as running:
        times = [_time_change(running) for _ in range(CHANGE_COUNT)]
        calls = running.stats(deployment.PLATFORM)
    complete = [row for row in times if len(row) == daemon_count]
    last = sorted(max(row) for row in complete)
    first = sorted(min(row) for row in complete)
    return Result(
        daemons=daemon_count,
        changes=CHANGE_COUNT,
        first_ms=round(first[len(first) // 2] * MS_PER_S, 1),
        all_p50_ms=round(last[len(last) // 2] * MS_PER_S, 1),
        all_max_ms=round(last[-1] * MS_PER_S, 1),
        missed=CHANGE_COUNT - len(complete),
        watch_calls=_watch_calls(calls),
    )


def _watch_calls(stats: Any) -> int:
    calls = stats.get("calls", stats)
    return int(calls["watch"])


def _time_change(running: launcher.Deployment) -> list[float]:
    """Writes a new version and returns each daemon's activation time.

    Daemons that do not have the version within the timeout are left out.
    """
    url = f"{running.platform_url}/objects/{ROUTES_KEY}"
    stored = http_json.expect("GET", url)
    headers = {"If-Match": str(stored["version"])}
    body = {"value": stored["value"]}
    written = http_json.expect("PUT", url, body, headers)
    start_s = time.monotonic()
    waiting = pool.Pool(len(running.daemons))
    found = waiting.map(
        lambda daemon: _wait_for_version(
            daemon.url, written["version"], start_s
        ),
        running.daemons,
    )
    return [elapsed_s for elapsed_s in found if elapsed_s is not None]


def _wait_for_version(url: str, version: int, start_s: float) -> float | None:
    """Returns the seconds until a daemon has the version; None on timeout."""
    while time.monotonic() - start_s < ACTIVATION_TIMEOUT_S:
        status = http_json.expect("GET", f"{url}/status")
        if status["tables"]["routes"]["version"] >= version:
            return time.monotonic() - start_s
        gevent.sleep(POLL_S)
    return None
