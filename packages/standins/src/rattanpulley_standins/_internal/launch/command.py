"""Command line of the launcher."""

import argparse
import json
import signal
import sys

from rattanpulley_standins._internal.launch import deployment
from rattanpulley_standins._internal.launch import plan

_TERMINATION_SIGNALS = (signal.SIGINT, signal.SIGTERM)


def add_options(parser: argparse.ArgumentParser) -> None:
    """Adds the deployment options to a parser."""
    defaults = plan.Options()
    parser.add_argument(
        "--domains",
        default=",".join(defaults.domains),
        help="names of the failure domains, separated by commas",
    )
    parser.add_argument(
        "--engines-per-domain", type=int, default=defaults.engines_per_domain
    )
    parser.add_argument("--daemons", type=int, default=defaults.daemons)
    parser.add_argument(
        "--token-interval-ms", type=float, default=defaults.token_interval_ms
    )
    parser.add_argument("--seed", type=int, default=defaults.seed)


def options_from(arguments: argparse.Namespace) -> plan.Options:
    """Returns the deployment options from parsed arguments."""
    return plan.Options(
        domains=tuple(arguments.domains.split(",")),
        engines_per_domain=arguments.engines_per_domain,
        daemons=arguments.daemons,
        token_interval_ms=arguments.token_interval_ms,
        seed=arguments.seed,
    )


def main() -> None:
    """Runs a deployment until SIGINT or SIGTERM."""
    parser = argparse.ArgumentParser(prog="rattanpulley_standins.launcher")
    add_options(parser)
    options = options_from(parser.parse_args())
    handle_termination_signals()
    try:
        with deployment.Deployment(options) as running:
            print(json.dumps(running.describe()), flush=True)
            signal.pause()
    except KeyboardInterrupt:
        return
    except deployment.DeploymentError as error:
        print(error, file=sys.stderr)
        sys.exit(1)


def handle_termination_signals() -> None:
    """Makes the first SIGINT or SIGTERM raise `KeyboardInterrupt`."""
    for number in _TERMINATION_SIGNALS:
        signal.signal(number, _interrupt)


def _interrupt(*_: object) -> None:
    # A second signal must not interrupt the shutdown of the child processes.
    for number in _TERMINATION_SIGNALS:
        signal.signal(number, signal.SIG_IGN)
    raise KeyboardInterrupt
