"""Entry point of `make measure`."""

import argparse
import pathlib

from rattanpulley_standins._internal.measure import claim_cost
from rattanpulley_standins._internal.measure import evidence_cost
from rattanpulley_standins._internal.measure import host_cost
from rattanpulley_standins._internal.measure import peer_cost
from rattanpulley_standins._internal.measure import process_cost
from rattanpulley_standins._internal.measure import report
from rattanpulley_standins._internal.measure import stream_cost
from rattanpulley_standins._internal.measure import table_cost


def main() -> None:
    """Runs all measurements and writes the results."""
    parser = argparse.ArgumentParser(
        prog="python -m rattanpulley_standins.measure",
        description="Measures the control costs and updates docs/CAPACITY.md.",
    )
    parser.add_argument(
        "--docs",
        type=pathlib.Path,
        default=pathlib.Path("docs"),
        help="folder of the pages (default: docs)",
    )
    docs = parser.parse_args().docs
    folder = docs / "measurements"
    folder.mkdir(parents=True, exist_ok=True)
    slopes = [
        *stream_cost.measure(),
        *claim_cost.measure(),
        *evidence_cost.measure(),
        *host_cost.measure(),
        *peer_cost.measure(),
        *process_cost.measure(),
        *table_cost.measure(),
    ]
    path = report.write_json(folder, slopes)
    slopes_by_name = report.read_json(path)
    report.plot(folder, slopes_by_name)
    page = docs / "CAPACITY.md"
    generated = report.render(slopes_by_name)
    page.write_text(report.replace_generated(page.read_text(), generated))
    print(generated)


if __name__ == "__main__":
    main()
