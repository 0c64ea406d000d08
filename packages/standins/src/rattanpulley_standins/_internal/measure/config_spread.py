"""Time from the accepted write of a table until every daemon uses it."""

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
CHANGES = 20
POLL_S = 0.01
# Beyond the bound of 17 s a change counts as not in force.
LIMIT_S = 30.0
KEY = "tables/routes"
MS_PER_S = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Times of one size, in milliseconds after the accepted write.

    Attributes:
        daemons: Number of daemons.
        changes: Number of changes.
        first_ms: Median over the changes of the first daemon's time.
        all_p50_ms: Median of the time until all daemons have the change.
        all_max_ms: Largest such time.
        missed: Changes that were not in force everywhere within the limit.
        watch_calls: Waiting watches that the platform counted.
    """

    daemons: int
    changes: int
    first_ms: float
    all_p50_ms: float
    all_max_ms: float
    missed: int
    watch_calls: int


def main() -> None:
    """Measures all sizes and writes the JSON file."""
    parser = argparse.ArgumentParser(
        prog="python -m rattanpulley_standins.measure_config",
        description="Measures how soon a change of a table is in force.",
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
    """Changes the routes table several times with a number of daemons."""
    options = launcher.Options(
        domains=("north", "south"), engines_per_domain=1, daemons=daemon_count
    )
    with launcher.Deployment(options) as running:
        times = [_change(running) for _ in range(CHANGES)]
        calls = running.stats(deployment.PLATFORM)
    complete = [row for row in times if len(row) == daemon_count]
    last = sorted(max(row) for row in complete)
    first = sorted(min(row) for row in complete)
    return Result(
        daemons=daemon_count,
        changes=CHANGES,
        first_ms=round(first[len(first) // 2] * MS_PER_S, 1),
        all_p50_ms=round(last[len(last) // 2] * MS_PER_S, 1),
        all_max_ms=round(last[-1] * MS_PER_S, 1),
        missed=CHANGES - len(complete),
        watch_calls=_watch_calls(calls),
    )


def _watch_calls(stats: Any) -> int:
    calls = stats.get("calls", stats)
    return int(calls["watch"])


def _change(running: launcher.Deployment) -> list[float]:
    """Writes a new version and returns each daemon's time."""
    url = f"{running.platform_url}/objects/{KEY}"
    stored = http_json.expect("GET", url)
    headers = {"If-Match": str(stored["version"])}
    body = {"value": stored["value"]}
    written = http_json.expect("PUT", url, body, headers)
    start_s = time.monotonic()
    waiting = pool.Pool(len(running.daemons))
    found = waiting.map(
        lambda daemon: _wait(daemon.url, written["version"], start_s),
        running.daemons,
    )
    return [elapsed_s for elapsed_s in found if elapsed_s is not None]


def _wait(url: str, version: int, start_s: float) -> float | None:
    """Returns the seconds until a daemon has a version, or None."""
    while time.monotonic() - start_s < LIMIT_S:
        status = http_json.expect("GET", f"{url}/status")
        if status["tables"]["routes"]["version"] >= version:
            return time.monotonic() - start_s
        gevent.sleep(POLL_S)
    return None
