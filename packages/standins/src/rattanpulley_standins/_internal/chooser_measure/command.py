"""Command line of the measurement of the choosers."""

import argparse
import datetime
import json
import pathlib
import sys
from typing import Any

from rattanpulley_core import targets
from rattanpulley_standins._internal.chooser_measure import choice_cost
from rattanpulley_standins._internal.chooser_measure import sharing
from rattanpulley_standins._internal.chooser_measure import simulation
from rattanpulley_standins._internal.launch import command


def main() -> None:
    """Measures and writes the results."""
    parser = argparse.ArgumentParser(
        prog="rattanpulley_standins.measure_choosers"
    )
    parser.add_argument("--seed", type=int, default=7)
    parser.add_argument("--repeats", type=int, default=2)
    parser.add_argument("--requests-per-s", type=float, default=20.0)
    parser.add_argument("--duration-s", type=float, default=40.0)
    parser.add_argument("--idle-s", type=float, default=15.0)
    parser.add_argument(
        "--output",
        type=pathlib.Path,
        default=pathlib.Path("docs/measurements/choosers.json"),
    )
    arguments = parser.parse_args()
    command.handle_termination_signals()
    try:
        values = _measure(arguments)
    except KeyboardInterrupt:
        sys.exit(130)
    text = json.dumps(values, indent=2) + "\n"
    arguments.output.write_text(text, "utf-8")
    print(text, end="")


def _measure(arguments: argparse.Namespace) -> dict[str, Any]:
    """Runs the processes first, then the simulation and the choice cost."""
    processes = _measure_processes(arguments)
    return {
        "date": datetime.datetime.now(datetime.UTC).date().isoformat(),
        "options": {
            "seed": arguments.seed,
            "repeats": arguments.repeats,
            "requests_per_s": arguments.requests_per_s,
            "duration_s": arguments.duration_s,
            "idle_s": arguments.idle_s,
            "engines": sharing.ENGINES,
            "daemons": sharing.DAEMONS,
            "groups": sharing.GROUPS,
            "prefix_words": sharing.PREFIX_WORDS,
            "answer_tokens": sharing.ANSWER_TOKENS,
            "cache_blocks": sharing.CACHE_BLOCKS,
        },
        "processes": processes,
        "simulation": [
            simulation.run(chooser_class, arguments.seed)
            for chooser_class in simulation.CHOOSERS
        ],
        "choice_cost": [
            choice_cost.measure(chooser_class, arguments.seed)
            for chooser_class in (
                targets.LeastOutstandingChooser,
                targets.ExpectedCostChooser,
            )
        ],
    }


def _measure_processes(arguments: argparse.Namespace) -> list[dict[str, Any]]:
    """Alternates the choosers, so that other work on the machine hits both."""
    runs: dict[str, list[sharing.Run]] = {c: [] for c in sharing.CHOICES}
    for repeat in range(arguments.repeats):
        for choice in sharing.CHOICES:
            load = sharing.Load(
                arguments.seed + repeat,
                arguments.requests_per_s,
                arguments.duration_s,
                arguments.idle_s,
            )
            runs[choice].append(sharing.run(choice, load))
            print(f"repeat {repeat + 1}: {choice} done", file=sys.stderr)
    return [sharing.summarize(runs[choice]) for choice in sharing.CHOICES]
