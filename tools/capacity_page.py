"""Renders the tables of docs/CAPACITY.md and inserts them into the page."""

from collections.abc import Mapping
from collections.abc import Sequence
import re
from typing import Any

from tools import capacity_fit


def slopes(rows: Sequence[capacity_fit.Series]) -> str:
    """Returns a Markdown table of all series with their fits and budgets."""
    head = (
        "| figure | measured (size: value) | slope | at target | error | "
        "budget | |\n| --- | --- | --- | --- | --- | --- | --- |\n"
    )
    return head + "".join(_slope_row(row) for row in rows)


def table(rows: Sequence[Mapping[str, Any]]) -> str:
    """Returns a Markdown table of rows that have the same fields."""
    names = list(rows[0])
    lines = ["| " + " | ".join(names) + " |"]
    lines.append("| " + " | ".join("---" for _ in names) + " |")
    lines += ["| " + " | ".join(f"{r[n]}" for n in names) + " |" for r in rows]
    return "\n".join(lines) + "\n"


def replace(page: str, name: str, text: str) -> str:
    """Replaces the section of a page between its two markers.

    Raises:
      ValueError: if the page has no markers of that name.
    """
    begin, end = f"<!-- begin {name} -->", f"<!-- end {name} -->"
    pattern = re.escape(begin) + ".*?" + re.escape(end)
    section = re.compile(pattern, re.DOTALL)
    if not section.search(page):
        raise ValueError(f"the page has no markers for the section {name!r}")
    return section.sub(lambda _: f"{begin}\n{text}{end}", page, count=1)


def _slope_row(series: capacity_fit.Series) -> str:
    line = capacity_fit.line_of(series)
    pairs = zip(series["sizes"], series["values"], strict=True)
    points = ", ".join(f"{x:g}: {y:.3g}" for x, y in pairs)
    unit, axis = series["unit"], series["axis"]
    is_measured = series["target"] in series["sizes"]
    value = f"{capacity_fit.at_target(series):.3g} {unit}"
    value += " (measured)" if is_measured else " (fit)"
    budget = series["budget"]
    limit = "" if budget is None else f"{budget:g} {unit}"
    mark = "**over**" if capacity_fit.over_budget(series) else ""
    return (
        f"| {series['role']}: {series['name']} | {axis}; {points} | "
        f"{line.slope:.3g} {unit} | {value} | ±{line.error:.2g} | {limit} | "
        f"{mark} |\n"
    )
