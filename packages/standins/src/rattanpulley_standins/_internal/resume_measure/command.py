"""Command line of the resume latency measurement."""

import argparse
import datetime
import sys
from typing import Any

import gevent

from rattanpulley_standins._internal import interrupts
from rattanpulley_standins._internal import result_file
from rattanpulley_standins._internal.injection import costs as costs_lib
from rattanpulley_standins._internal.injection import injector as injector_lib
from rattanpulley_standins._internal.launch import command
from rattanpulley_standins._internal.launch import deployment as deployment_lib
from rattanpulley_standins._internal.load import run as load_run
from rattanpulley_standins._internal.resume_measure import (
    callers as callers_lib,
)
from rattanpulley_standins._internal.resume_measure import results
from rattanpulley_standins._internal.resume_measure import rounds as rounds_lib

WARM_UP_S = 6.0
COUNTERS_SETTLE_S = 0.5


def main() -> None:
    """Runs the measurements and writes the results."""
    parser = argparse.ArgumentParser(
        prog="rattanpulley_standins.measure_resume"
    )
    command.add_options(parser)
    parser.add_argument("--rounds", type=int, default=6)
    parser.add_argument("--daemon-callers", type=int, default=48)
    parser.add_argument("--baseline-callers", type=int, default=16)
    parser.add_argument("--length", type=int, default=300)
    result_file.add_output_option(parser, "resume.json")
    arguments = parser.parse_args()
    interrupts.interrupt_on_termination_signals()
    result_file.measure_and_write(_measure, arguments)


def _measure(arguments: argparse.Namespace) -> dict[str, Any]:
    options = command.options_from(arguments)
    with deployment_lib.Deployment(options) as running:
        without_faults = _measure_without_faults(running, arguments)
    with deployment_lib.Deployment(options) as running:
        with_faults = _measure_faults(running, arguments)
    return {
        "date": datetime.datetime.now(datetime.UTC).date().isoformat(),
        "options": {
            "seed": options.seed,
            "domains": list(options.domains),
            "engines": len(running.engines),
            "daemons": options.daemons,
            "token_interval_ms": options.token_interval_ms,
            "rounds": arguments.rounds,
            "daemon_callers": arguments.daemon_callers,
            "baseline_callers": arguments.baseline_callers,
            "answer_tokens": arguments.length,
        },
        "without_faults": without_faults,
        **with_faults,
    }


def _measure_without_faults(
    running: deployment_lib.Deployment, arguments: argparse.Namespace
) -> dict[str, Any]:
    options = load_run.LoadOptions(
        urls=[daemon.url for daemon in running.daemons],
        callers=arguments.daemon_callers,
        length=arguments.length,
        seed=arguments.seed,
    )
    records = load_run.run_load(options)
    gevent.sleep(COUNTERS_SETTLE_S)
    meter = costs_lib.CostMeter(running)
    meter.sample()
    delivered = sum(len(record.token_times_s) for record in records)
    return {
        "answers": len(records),
        "whole": sum(record.is_complete for record in records),
        "delivered_tokens": delivered,
        "generated_tokens": meter.costs().generated_tokens,
        "extra_token_share": round(
            meter.costs().overhead_fraction(delivered), 5
        ),
        "limit": 0.01,
    }


def _measure_faults(
    running: deployment_lib.Deployment, arguments: argparse.Namespace
) -> dict[str, Any]:
    groups = callers_lib.CallerGroups(
        running,
        callers_lib.CallerOptions(
            daemon_callers=arguments.daemon_callers,
            baseline_callers=arguments.baseline_callers,
            length=arguments.length,
            seed=arguments.seed,
        ),
    )
    injector = injector_lib.Injector(running, arguments.seed)
    rounds = rounds_lib.FaultRounds(injector, len(running.engines))
    groups.start()
    gevent.sleep(WARM_UP_S)
    for number in range(arguments.rounds):
        for kind in rounds_lib.FAULT_KINDS:
            injection = rounds.run(kind)
            names = ", ".join(injection.names)
            print(f"round {number + 1}: {kind.value} {names}", file=sys.stderr)
    groups.stop()
    interval_ms = arguments.token_interval_ms
    return {
        "resume_latency_ms": results.fault_results(rounds, groups, interval_ms),
        "answers": results.answer_results(groups),
    }
