"""Demand per model, smoothed to rise fast and fall slowly."""

from collections.abc import Mapping
import math
from typing import NamedTuple

RISE_S = 15.0
"""Time constant in seconds with which an estimate follows a higher rate."""

FALL_S = 180.0
"""Time constant in seconds with which an estimate follows a lower rate."""


class _Estimate(NamedTuple):
    rate: float
    at: float


class Demand:
    """Exponentially weighted rates with separate constants up and down."""

    def __init__(self, rise_s: float = RISE_S, fall_s: float = FALL_S):
        self._rise_s = rise_s
        self._fall_s = fall_s
        self._estimates: dict[str, _Estimate] = {}

    @property
    def rates(self) -> Mapping[str, float]:
        """Work per second by model, in the unit that was observed."""
        return {name: est.rate for name, est in self._estimates.items()}

    def observe(self, now: float, rates: Mapping[str, float]) -> None:
        """Takes in the rates of the last interval, refused work included.

        Args:
          now: time in seconds at the end of the interval.
          rates: work per second by model; a known model that is absent
            counts as idle.
        """
        for name in self._estimates.keys() | rates.keys():
            self._observe_one(now, name, rates.get(name, 0.0))

    def _observe_one(self, now: float, name: str, rate: float) -> None:
        last = self._estimates.get(name)
        if last is None:
            self._estimates[name] = _Estimate(rate, now)
            return
        constant = self._rise_s if rate > last.rate else self._fall_s
        keep = math.exp(-max(0.0, now - last.at) / constant)
        self._estimates[name] = _Estimate(rate + keep * (last.rate - rate), now)
