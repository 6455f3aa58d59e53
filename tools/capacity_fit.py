"""Series of measurements and least-squares lines through them."""

import math
from typing import NamedTuple
from typing import TypedDict


class Series(TypedDict):
    """One figure measured at several sizes.

    Attributes:
      role: the role that has this cost.
      name: name of the measured figure.
      unit: unit of the values.
      axis: unit of the sizes, such as nodes or engines.
      sizes: the measured sizes.
      values: measured value of each size.
      target: the planned size.
      budget: largest allowed value at the target, or None.
      command: command that reproduces the figures.
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
      slope: growth of the value per unit of size.
      error: standard error of a prediction at the target size.
      at_target: value predicted for the target size.
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
        raise ValueError(f"a line needs three different sizes, got {sizes}")
    mean_size = sum(sizes) / count
    mean_value = sum(values) / count
    size_squares = sum((x - mean_size) ** 2 for x in sizes)
    pairs = zip(sizes, values, strict=True)
    slope = (
        sum((x - mean_size) * (y - mean_value) for x, y in pairs) / size_squares
    )
    base = mean_value - slope * mean_size
    pairs = zip(sizes, values, strict=True)
    residual_squares = sum((y - base - slope * x) ** 2 for x, y in pairs)
    variance = residual_squares / (count - 2)
    prediction_factor = 1 + 1 / count + (target - mean_size) ** 2 / size_squares
    at_target = base + slope * target
    return Line(base, slope, math.sqrt(variance * prediction_factor), at_target)


def line_of(series: Series) -> Line:
    """Returns the line through a series."""
    return fit(series["sizes"], series["values"], series["target"])


def over_budget(series: Series) -> bool:
    """Returns whether the figure at the target is above its budget.

    If the target itself was measured, its measured value counts.
    """
    budget = series["budget"]
    return budget is not None and at_target(series) > budget


def at_target(series: Series) -> float:
    """Returns the measured value at the target, or else the predicted one."""
    if series["target"] in series["sizes"]:
        return series["values"][series["sizes"].index(series["target"])]
    return line_of(series).at_target
