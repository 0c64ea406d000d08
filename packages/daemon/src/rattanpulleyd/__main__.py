"""The binary `rattanpulleyd`."""

# The standard library must be patched before any other module uses it.
from gevent import monkey

monkey.patch_all()

import argparse
import pathlib
import sys

from rattanpulleyd import exceptions
from rattanpulleyd._internal.runtime import daemon
from rattanpulleyd._internal.settings import parser as settings_parser

EXIT_INVALID_SETTINGS = 2


def main() -> int:
    """Runs a command and returns the exit status."""
    parser = argparse.ArgumentParser(prog="rattanpulleyd")
    commands = parser.add_subparsers(dest="command", required=True)
    for name, text in (
        ("serve", "run the daemon"),
        ("check", "check the settings file"),
    ):
        command = commands.add_parser(name, help=text)
        command.add_argument("--settings", type=pathlib.Path, required=True)
    arguments = parser.parse_args()
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


if __name__ == "__main__":
    sys.exit(main())
