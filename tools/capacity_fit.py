"""Rows of measurements and straight lines through them."""

import math
from typing import NamedTuple
from typing import TypedDict


class Series(TypedDict):
    """One figure measured at several sizes.

    Attributes:
      role: the role that spends it.
      name: what is measured.
      unit: unit of the values.
      axis: what the sizes count.
      sizes: sizes that were measured.
      values: one value for each size.
      target: the size planned for.
      budget: what a node may spend, or None.
      command: reproduces the figures.
      seed: seed of the run.
    """

    role: str
    name: str
    unit: str
    axis: str
    sizes: list[float]
    values: list[float]
    target: float
    budget: float | None
    command: str
    seed: int


class Line(NamedTuple):
    """A least-squares line.

    Attributes:
      base: value at size 0.
      slope: growth for each unit of size.
      error: standard error of a prediction at the target.
      at_target: value predicted for the target.
    """

    base: float
    slope: float
    error: float
    at_target: float


def fit(sizes: list[float], values: list[float], target: float) -> Line:
    """Returns the least-squares line and its error at the target.

    Raises:
      ValueError: if there are fewer than three different sizes.
    """
    count = len(sizes)
    if len(set(sizes)) < 3:
        raise ValueError("a line needs three different sizes")
    mean = sum(sizes) / count
    level = sum(values) / count
    spread = sum((x - mean) ** 2 for x in sizes)
    pairs = zip(sizes, values, strict=True)
    slope = sum((x - mean) * (y - level) for x, y in pairs) / spread
    base = level - slope * mean
    pairs = zip(sizes, values, strict=True)
    left = sum((y - base - slope * x) ** 2 for x, y in pairs)
    noise = left / (count - 2)
    reach = 1 + 1 / count + (target - mean) ** 2 / spread
    at_target = base + slope * target
    return Line(base, slope, math.sqrt(noise * reach), at_target)


def line_of(series: Series) -> Line:
    """Returns the line through a series."""
    return fit(series["sizes"], series["values"], series["target"])


def over_budget(series: Series) -> bool:
    """Returns whether the figure at the target is above its budget.

    A target that was measured counts with its measured value.
    """
    budget = series["budget"]
    return budget is not None and at_target(series) > budget


def at_target(series: Series) -> float:
    """Returns the measured value at the target, or else the line's."""
    if series["target"] in series["sizes"]:
        return series["values"][series["sizes"].index(series["target"])]
    return line_of(series).at_target
