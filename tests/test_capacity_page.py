"""Tests that the capacity page says what the raw results say."""

import json
import math
from xml.etree import ElementTree

from hypothesis import given
from hypothesis import strategies as st
import pytest

from tools import capacity
from tools import capacity_fit
from tools import capacity_page
from tools import capacity_plot


@given(
    st.floats(-1e3, 1e3),
    st.floats(-1e3, 1e3),
    st.lists(st.integers(0, 500), min_size=3, max_size=8, unique=True),
)
def test_points_on_a_line_are_fitted_without_error(base, slope, sizes):
    values = [base + slope * x for x in sizes]
    line = capacity_fit.fit(sizes, values, 900)
    assert line.at_target == pytest.approx(base + 900 * slope, abs=0.01)
    assert line.error == pytest.approx(0, abs=0.01)


def test_the_error_is_that_of_a_prediction():
    # By hand: the residuals are -1/6, 1/3 and -1/6; the reach is 1 + 1/3 + 4/2.
    line = capacity_fit.fit([0, 1, 2], [0, 1, 1], 3)
    assert line.at_target == pytest.approx(5 / 3)
    assert line.error == pytest.approx(math.sqrt((1 / 6) * (1 + 1 / 3 + 2)))


def test_two_sizes_are_not_enough_for_a_line():
    with pytest.raises(ValueError, match="three"):
        capacity_fit.fit([1, 2, 2], [1, 2, 3], 4)


def test_a_page_without_the_markers_is_an_error():
    with pytest.raises(ValueError, match="loss"):
        capacity_page.replace("<!-- begin join -->", "loss", "")


def test_page_and_plots_are_those_of_the_results(tmp_path, monkeypatch):
    found = json.loads(capacity.RESULTS.read_text())
    page = tmp_path / "CAPACITY.md"
    page.write_text(capacity.PAGE.read_text())
    committed = {
        name: (capacity.DOCS / f"capacity-{name}.svg").read_text()
        for name in capacity.PLOTS
    }
    before = page.read_text()
    monkeypatch.setattr(capacity, "PAGE", page)
    monkeypatch.setattr(capacity, "DOCS", tmp_path)
    capacity.write_page(found)
    assert page.read_text() == before
    for name, text in committed.items():
        assert (tmp_path / f"capacity-{name}.svg").read_text() == text
        ElementTree.fromstring(text)


def test_every_figure_names_sizes_command_and_seed():
    for row in json.loads(capacity.RESULTS.read_text())["series"]:
        assert len(set(row["sizes"])) >= 3
        assert len(row["sizes"]) == len(row["values"])
        assert row["command"]
        assert isinstance(row["seed"], int)


def test_a_figure_above_its_budget_is_marked():
    row = json.loads(capacity.RESULTS.read_text())["series"][0]
    high = {**row, "budget": capacity_fit.at_target(row) * 0.9}
    low = {**row, "budget": capacity_fit.at_target(row) * 1.1}
    assert "**over**" in capacity_page.slopes([high])
    assert "**over**" not in capacity_page.slopes([low])
    assert capacity_plot.svg(high) != capacity_plot.svg(low)
