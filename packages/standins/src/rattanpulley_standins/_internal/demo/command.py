"""Command line of the demo."""

import argparse
import sys

from rattanpulley_standins._internal import interrupts
from rattanpulley_standins._internal.demo import report
from rattanpulley_standins._internal.demo import scenario as scenario_lib
from rattanpulley_standins._internal.launch import command
from rattanpulley_standins._internal.launch import deployment


def main() -> None:
    """Runs the demo; exits with status 1 if an answer is not complete."""
    parser = argparse.ArgumentParser(prog="rattanpulley_standins.demo")
    command.add_options(parser)
    options = command.options_from(parser.parse_args())
    interrupts.interrupt_on_termination_signals()
    try:
        with deployment.Deployment(options) as running:
            print(_start_text(running), flush=True)
            scenario = scenario_lib.Scenario(running, options.seed)
            scenario.run()
    except KeyboardInterrupt:
        sys.exit(interrupts.EXIT_INTERRUPTED)
    except deployment.DeploymentError as error:
        print(error, file=sys.stderr)
        sys.exit(1)
    costs = scenario.meter.costs()
    print(report.summary_table(scenario.records, scenario.injections, costs))
    if not all(record.is_complete for record in scenario.records):
        sys.exit(1)


def _start_text(running: deployment.Deployment) -> str:
    return (
        f"{len(running.engines)} engines and {len(running.daemons)} daemons"
        f" are ready; {scenario_lib.ANSWERS} answers of"
        f" {scenario_lib.ANSWER_LENGTH} tokens start"
    )
