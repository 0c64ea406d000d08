"""Tests of the measurements' report and of the page that it renews."""

import pathlib

import pytest

from rattanpulley_standins._internal.measure import report
from rattanpulley_standins._internal.measure import samples

DOCS = pathlib.Path(__file__).parents[4] / "docs"


def test_capacity_page_agrees_with_the_measured_json():
    # Guards against a figure on the page that no run has produced.
    path = DOCS / "measurements" / report.JSON_NAME
    generated = report.render(report.read_json(path))
    assert generated in (DOCS / "CAPACITY.md").read_text()


def test_fit_finds_a_line_and_its_error():
    points = [samples.Sample(size, 3 + 2 * size) for size in (1, 2, 4)]
    slope = samples.fit("n", "u", "c", "cmd", points)
    assert slope.at(10) == pytest.approx(23)
    assert slope.error == pytest.approx(0)


def test_fit_of_two_sizes_is_refused():
    # Guards against a slope without an error of the fit.
    with pytest.raises(ValueError, match="three sizes"):
        samples.fit("n", "u", "c", "cmd", [samples.Sample(1, 1)] * 2)


def test_page_without_marks_is_refused():
    with pytest.raises(ValueError, match="substring not found"):
        report.replace_generated("page", "generated")
