"""Output of measurements: a JSON file, which is printed too."""

import json
import pathlib
from typing import Any


def write_and_print(path: pathlib.Path, values: dict[str, Any]) -> None:
    """Writes results to a file, whose folder is created, and prints them."""
    path.parent.mkdir(parents=True, exist_ok=True)
    text = json.dumps(values, indent=2) + "\n"
    path.write_text(text, "utf-8")
    print(text, end="")
