"""Tests that the capacity page matches the raw results."""

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
def test_fit_of_collinear_points_is_exact(base, slope, sizes):
    values = [base + slope * x for x in sizes]
    line = capacity_fit.fit(sizes, values, 900)
    assert line.at_target == pytest.approx(base + 900 * slope, abs=0.01)
    assert line.error == pytest.approx(0, abs=0.01)


def test_fit_error_is_prediction_error():
    # Calculated by hand: the residuals are -1/6, 1/3 and -1/6, and the factor
    # of the prediction error is 1 + 1/3 + 4/2.
    line = capacity_fit.fit([0, 1, 2], [0, 1, 1], 3)
    assert line.at_target == pytest.approx(5 / 3)
    assert line.error == pytest.approx(math.sqrt((1 / 6) * (1 + 1 / 3 + 2)))


def test_fit_rejects_two_sizes():
    with pytest.raises(ValueError, match="three"):
        capacity_fit.fit([1, 2, 2], [1, 2, 3], 4)


def test_replace_rejects_page_without_markers():
    with pytest.raises(ValueError, match="loss"):
        capacity_page.replace("<!-- begin join -->", "loss", "")


def test_page_and_plots_match_results(tmp_path, monkeypatch):
    results = json.loads(capacity.RESULTS.read_text())
    page = tmp_path / "CAPACITY.md"
    page.write_text(capacity.PAGE.read_text())
    committed_plots = {
        name: (capacity.DOCS / f"capacity-{name}.svg").read_text()
        for name in capacity.PLOTS
    }
    committed_page = page.read_text()
    monkeypatch.setattr(capacity, "PAGE", page)
    monkeypatch.setattr(capacity, "DOCS", tmp_path)
    capacity.write_page(results)
    assert page.read_text() == committed_page
    for name, text in committed_plots.items():
        assert (tmp_path / f"capacity-{name}.svg").read_text() == text
        ElementTree.fromstring(text)


def test_series_have_sizes_command_and_seed():
    for row in json.loads(capacity.RESULTS.read_text())["series"]:
        assert len(set(row["sizes"])) >= 3
        assert len(row["sizes"]) == len(row["values"])
        assert row["command"]
        assert isinstance(row["seed"], int)


def test_figure_above_budget_is_marked():
    row = json.loads(capacity.RESULTS.read_text())["series"][0]
    above_budget = {**row, "budget": capacity_fit.at_target(row) * 0.9}
    below_budget = {**row, "budget": capacity_fit.at_target(row) * 1.1}
    assert "**over**" in capacity_page.slopes([above_budget])
    assert "**over**" not in capacity_page.slopes([below_budget])
    assert capacity_plot.svg(above_budget) != capacity_plot.svg(below_budget)
