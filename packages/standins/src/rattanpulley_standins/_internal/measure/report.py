"""Writes the slopes as JSON and as a plot, and renders the page's tables."""

from collections.abc import Iterable
import dataclasses
import json
import pathlib
from typing import Any

from rattanpulley_standins._internal.measure import design_size
from rattanpulley_standins._internal.measure import rows
from rattanpulley_standins._internal.measure import samples

JSON_NAME = "capacity.json"
PLOT_NAME = "capacity.svg"
BEGIN_MARKER = "<!-- measured: begin -->"
END_MARKER = "<!-- measured: end -->"
PLOT_COLUMNS = 3


def write_json(
    folder: pathlib.Path, slopes: Iterable[samples.Slope]
) -> pathlib.Path:
    """Writes the slopes as JSON and returns the file's path."""
    path = folder / JSON_NAME
    values = [dataclasses.asdict(slope) for slope in slopes]
    path.write_text(json.dumps({"slopes": values}, indent=1) + "\n")
    return path


def read_json(path: pathlib.Path) -> dict[str, samples.Slope]:
    """Returns the slopes of a JSON file by name."""
    value = json.loads(path.read_text())
    return {item["name"]: _parse_slope(item) for item in value["slopes"]}


def _parse_slope(item: dict[str, Any]) -> samples.Slope:
    points = tuple(samples.Sample(**point) for point in item["samples"])
    return samples.Slope(**{**item, "samples": points})


def render(slopes_by_name: dict[str, samples.Slope]) -> str:
    """Returns the generated section of the capacity page."""
    parts = [
        BEGIN_MARKER,
        "",
        "### At the design size",
        "",
        *_capacity_table(slopes_by_name),
        "",
        "### Slopes",
        "",
        *_slope_table(slopes_by_name),
        "",
        END_MARKER,
    ]
    return "\n".join(parts)


def _capacity_table(slopes_by_name: dict[str, samples.Slope]) -> list[str]:
    lines = [
        "| duty | resource | formula | value | limit | share | mechanism |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for row in rows.ROWS:
        value, share = "not measured", "-"
        if row.compute is not None:
            cost = row.compute(slopes_by_name)
            value = _format_number(cost)
            if row.limit is not None:
                share = f"{100 * cost / row.limit:.2g} %"
        limit = "-" if row.limit is None else _format_number(row.limit)
        cells = (
            row.duty,
            row.resource,
            row.formula,
            value,
            limit,
            share,
            row.mechanism,
        )
        lines.append("| " + " | ".join(cells) + " |")
    return lines + _total_lines(slopes_by_name)


def _total_lines(slopes_by_name: dict[str, samples.Slope]) -> list[str]:
    """Returns the table lines that compare total costs to a node's limits."""
    lines = []
    for name, limit in (
        ("network, bytes/s", design_size.NETWORK_LIMIT_BYTES_PER_S),
        ("processor, us/s", design_size.CPU_LIMIT_US_PER_S),
    ):
        total = sum(
            row.compute(slopes_by_name)
            for row in rows.ROWS
            if row.compute is not None
            and row.limit == limit
            and row.duty != rows.WHOLE_DAEMON
        )
        share = f"{100 * total / limit:.2g} %"
        cells = ("all control duties", name, "sum of the rows with this limit")
        figures = (_format_number(total), _format_number(limit), share, "-")
        lines.append("| " + " | ".join((*cells, *figures)) + " |")
    return lines


def _slope_table(slopes_by_name: dict[str, samples.Slope]) -> list[str]:
    lines = [
        "| slope | sizes | measured | per unit | at 0 | error of the fit |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for slope in slopes_by_name.values():
        sizes = ", ".join(_format_number(point.size) for point in slope.samples)
        costs = ", ".join(_format_number(point.cost) for point in slope.samples)
        cells = (
            f"`{slope.name}`",
            f"{sizes} {slope.size_unit}",
            f"{costs} {slope.cost_unit}",
            _format_number(slope.slope),
            _format_number(slope.intercept),
            _format_number(slope.error),
        )
        lines.append("| " + " | ".join(cells) + " |")
    return lines


def replace_generated(page: str, generated: str) -> str:
    """Returns the page with its generated section replaced.

    Raises:
        ValueError: The page lacks a marker of the section.
    """
    begin = page.index(BEGIN_MARKER)
    end = page.index(END_MARKER) + len(END_MARKER)
    return page[:begin] + generated + page[end:]


def plot(
    folder: pathlib.Path, slopes_by_name: dict[str, samples.Slope]
) -> pathlib.Path:
    """Plots each slope with its samples and returns the file's path."""
    # Imported here because the import takes longer than most measurements.
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "rattanpulley"
    from matplotlib import pyplot

    count = len(slopes_by_name)
    lines = -(-count // PLOT_COLUMNS)
    figure, axes = pyplot.subplots(
        lines, PLOT_COLUMNS, figsize=(12, 3 * lines), squeeze=False
    )
    for axis in axes.flat[count:]:
        axis.set_axis_off()
    for axis, slope in zip(axes.flat, slopes_by_name.values(), strict=False):
        _draw_slope(axis, slope)
    figure.tight_layout()
    path = folder / PLOT_NAME
    figure.savefig(path, metadata={"Date": None})
    return path


def _draw_slope(axis: Any, slope: samples.Slope) -> None:
    sizes = [point.size for point in slope.samples]
    axis.plot(sizes, [point.cost for point in slope.samples], "o")
    axis.plot(sizes, [slope.cost_at(size) for size in sizes])
    axis.set_title(slope.name, fontsize=9)
    axis.set_xlabel(slope.size_unit, fontsize=8)
    axis.set_ylabel(slope.cost_unit, fontsize=8)


def _format_number(value: float) -> str:
    if value and abs(value) < 10:
        return f"{value:.3g}"
    return f"{value:,.0f}"
