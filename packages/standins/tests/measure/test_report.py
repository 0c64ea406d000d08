"""Tests of the measurement report and of the page that it updates."""

import pathlib

import pytest

from rattanpulley_standins._internal.measure import report
from rattanpulley_standins._internal.measure import samples

DOCS = pathlib.Path(__file__).parents[4] / "docs"


def test_capacity_page_matches_measured_json():
    # Guards against a figure on the page that differs from the measured JSON.
    path = DOCS / "measurements" / report.JSON_NAME
    generated = report.render(report.read_json(path))
    assert generated in (DOCS / "CAPACITY.md").read_text()


def test_fit_returns_line_and_standard_error():
    points = [samples.Sample(size, 3 + 2 * size) for size in (1, 2, 4)]
    slope = samples.fit("n", "u", "c", "cmd", points)
    assert slope.cost_at(10) == pytest.approx(23)
    assert slope.error == pytest.approx(0)


def test_fit_of_two_samples_raises():
    # Guards against a slope without a standard error of the fit.
    with pytest.raises(ValueError, match="three sizes"):
        samples.fit("n", "u", "c", "cmd", [samples.Sample(1, 1)] * 2)


def test_page_without_markers_raises():
    with pytest.raises(ValueError, match="substring not found"):
        report.replace_generated("page", "generated")
