"""Output of measurements: a JSON file, which is printed too."""

import argparse
from collections.abc import Callable
import json
import pathlib
import sys
from typing import Any

from rattanpulley_standins._internal import interrupts


def add_output_option(parser: argparse.ArgumentParser, file_name: str) -> None:
    """Adds `--output`, by default a file in docs/measurements."""
    parser.add_argument(
        "--output",
        type=pathlib.Path,
        default=pathlib.Path("docs/measurements") / file_name,
    )


def measure_and_write(
    measure: Callable[[argparse.Namespace], dict[str, Any]],
    arguments: argparse.Namespace,
) -> None:
    """Measures and writes the results to the output file.

    Exits without a file, with status `interrupts.EXIT_INTERRUPTED`, if the
    measurement is interrupted.

    Args:
        measure: Returns the results.
        arguments: Arguments of the measurement, with the output file.
    """
    try:
        values = measure(arguments)
    except KeyboardInterrupt:
        sys.exit(interrupts.EXIT_INTERRUPTED)
    write_and_print(arguments.output, values)


def write_and_print(path: pathlib.Path, values: dict[str, Any]) -> None:
    """Writes results to a file, whose folder is created, and prints them."""
    path.parent.mkdir(parents=True, exist_ok=True)
    text = json.dumps(values, indent=2) + "\n"
    path.write_text(text, "utf-8")
    print(text, end="")
