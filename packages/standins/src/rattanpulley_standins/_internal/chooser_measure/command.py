"""Command line of the comparison of the target choosers."""

import argparse
import datetime
import sys
from typing import Any

from rattanpulley_core import targets
from rattanpulley_standins._internal import result_file
from rattanpulley_standins._internal.chooser_measure import choice_cost
from rattanpulley_standins._internal.chooser_measure import prefix_load
from rattanpulley_standins._internal.chooser_measure import simulation
from rattanpulley_standins._internal.launch import command


def main() -> None:
    """Runs the measurements and writes the results."""
    parser = argparse.ArgumentParser(
        prog="rattanpulley_standins.measure_choosers"
    )
    parser.add_argument("--seed", type=int, default=7)
    parser.add_argument("--repeats", type=int, default=2)
    parser.add_argument("--requests-per-s", type=float, default=20.0)
    parser.add_argument("--duration-s", type=float, default=40.0)
    parser.add_argument("--idle-s", type=float, default=15.0)
    result_file.add_output_option(parser, "choosers.json")
    arguments = parser.parse_args()
    command.handle_termination_signals()
    result_file.measure_and_write(_measure, arguments)


def _measure(arguments: argparse.Namespace) -> dict[str, Any]:
    """Measures processes first, then the simulation and the choice cost."""
    processes = _measure_processes(arguments)
    return {
        "date": datetime.datetime.now(datetime.UTC).date().isoformat(),
        "options": {
            "seed": arguments.seed,
            "repeats": arguments.repeats,
            "requests_per_s": arguments.requests_per_s,
            "duration_s": arguments.duration_s,
            "idle_s": arguments.idle_s,
            "engines": prefix_load.ENGINE_COUNT,
            "daemons": prefix_load.DAEMON_COUNT,
            "groups": prefix_load.GROUP_COUNT,
            "prefix_words": prefix_load.PREFIX_WORDS,
            "answer_tokens": prefix_load.ANSWER_TOKENS,
            "cache_blocks": prefix_load.CACHE_BLOCKS,
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
    """Alternates the choosers, so that other load affects all of them."""
    runs: dict[str, list[prefix_load.RunResult]] = {
        c: [] for c in prefix_load.TARGET_CHOICES
    }
    for repeat in range(arguments.repeats):
        for target_choice in prefix_load.TARGET_CHOICES:
            options = prefix_load.LoadOptions(
                arguments.seed + repeat,
                arguments.requests_per_s,
                arguments.duration_s,
                arguments.idle_s,
            )
            runs[target_choice].append(prefix_load.run(target_choice, options))
            print(f"repeat {repeat + 1}: {target_choice} done", file=sys.stderr)
    return [
        prefix_load.summarize(runs[target_choice])
        for target_choice in prefix_load.TARGET_CHOICES
    ]
