"""Demand per model, smoothed without the bias of a plain fast rise.

A rate that rises quickly and falls slowly follows every upward swing of the
noise; over many models the sum then lies far above the work that is offered.
The estimate here is a slow average, which jumps to a fast one only when that
has left the range of the usual deviation, as a retransmission timer weighs
its mean deviation (Jacobson, 1988).
"""

from collections.abc import Mapping
import math
from typing import NamedTuple

FAST_S = 20.0
"""Time constant in seconds of the average that detects a rise."""

SLOW_S = 150.0
"""Time constant in seconds of the estimate between rises."""

DEVIATIONS = 1.5
"""Mean deviations by which the fast average must exceed the estimate."""


class _Estimate(NamedTuple):
    rate: float
    fast: float
    deviation: float
    at: float


class Demand:
    """Smoothed rates that jump up on a significant rise."""

    def __init__(self, fast_s: float = FAST_S, slow_s: float = SLOW_S):
        self._fast_s = fast_s
        self._slow_s = slow_s
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
            self._estimates[name] = _Estimate(rate, rate, rate / 2, now)
            return
        elapsed = max(0.0, now - last.at)
        slow = _blend(last.rate, rate, elapsed / self._slow_s)
        fast = _blend(last.fast, rate, elapsed / self._fast_s)
        deviation = _blend(
            last.deviation, abs(rate - last.rate), elapsed / self._slow_s
        )
        if fast > slow + DEVIATIONS * last.deviation:
            slow = fast
        self._estimates[name] = _Estimate(slow, fast, deviation, now)


def _blend(old: float, new: float, part: float) -> float:
    keep = math.exp(-part)
    return keep * old + (1.0 - keep) * new
