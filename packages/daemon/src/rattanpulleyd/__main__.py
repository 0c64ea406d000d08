"""Command-line entry point of `rattanpulleyd`."""

# The standard library must be patched before any other module uses it.
from gevent import monkey

monkey.patch_all()

import argparse
import importlib.util
import os
import pathlib
import sys
from typing import NoReturn

from rattanpulleyd import exceptions
from rattanpulleyd._internal.runtime import daemon
from rattanpulleyd._internal.settings import parser as settings_parser

EXIT_INVALID_SETTINGS = 2


def main() -> int:
    """Parses the command line, runs the command and returns the exit status."""
    parser = argparse.ArgumentParser(prog="rattanpulleyd")
    commands = parser.add_subparsers(dest="command", required=True)
    for name, text in (
        ("serve", "run the daemon"),
        ("check", "check the settings file"),
    ):
        command = commands.add_parser(name, help=text)
        command.add_argument("--settings", type=pathlib.Path, required=True)
        command.add_argument(
            "--deployment",
            metavar="PACKAGE",
            help="package that runs the daemon on another platform",
        )
    arguments = parser.parse_args()
    package = arguments.deployment
    if package:
        if importlib.util.find_spec(package) is None:
            sys.stderr.write(
                f"rattanpulleyd: there is no package {package} "
                "(install it, or correct --deployment)\n"
            )
            return EXIT_INVALID_SETTINGS
        _run_deployment(package, arguments.command, arguments.settings)
    try:
        settings = settings_parser.load(arguments.settings)
        if arguments.command == "serve":
            daemon.serve(settings)
        else:
            sys.stdout.write(f"{arguments.settings}: the settings are valid\n")
    except exceptions.DaemonError as error:
        sys.stderr.write(f"rattanpulleyd: {error}\n")
        return EXIT_INVALID_SETTINGS
    return 0


def _run_deployment(package: str, command: str, path: pathlib.Path) -> NoReturn:
    """Replaces this process with the deployment package's program.

    The new process starts without imported modules, so that the package can
    apply its own gevent patches before any other import.
    """
    arguments = ["-m", package, command, "--settings", str(path)]
    os.execv(sys.executable, [sys.executable, *arguments])


if __name__ == "__main__":
    sys.exit(main())
