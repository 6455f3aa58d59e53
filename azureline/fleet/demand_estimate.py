"""Estimates the demand per model without bias from upward noise.

An estimate that rises quickly and falls slowly follows every upward swing of
the noise, so the sum over many models far exceeds the offered work.  The
estimate here is a slow moving average.  It jumps to a fast moving average only
when the fast one leaves the range of the mean deviation, similar to the mean
deviation in the estimate of a retransmission timer (Jacobson, 1988).
"""

from collections.abc import Mapping
import math
from typing import NamedTuple

FAST_S = 20.0
"""Time constant in seconds of the fast average, which detects rises."""

SLOW_S = 150.0
"""Time constant in seconds of the estimate between rises."""

RISE_DEVIATIONS = 1.5
"""Number of mean deviations by which the fast average must exceed the estimate
for a jump."""


class _Estimate(NamedTuple):
    rate: float
    fast: float
    deviation: float
    at: float


class DemandEstimator:
    """Smoothed rates per model that jump on a significant rise."""

    def __init__(self, fast_s: float = FAST_S, slow_s: float = SLOW_S):
        self._fast_s = fast_s
        self._slow_s = slow_s
        self._estimates: dict[str, _Estimate] = {}

    @property
    def rates(self) -> Mapping[str, float]:
        """Work per second by model, in the unit that was observed."""
        return {name: est.rate for name, est in self._estimates.items()}

    def observe(self, now: float, rates: Mapping[str, float]) -> None:
        """Adds the rates of the last interval, including refused work.

        Args:
          now: time in seconds at the end of the interval.
          rates: work per second by model; a known model without an entry
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
        slow = _moving_average(last.rate, rate, elapsed / self._slow_s)
        fast = _moving_average(last.fast, rate, elapsed / self._fast_s)
        deviation = _moving_average(
            last.deviation, abs(rate - last.rate), elapsed / self._slow_s
        )
        if fast > slow + RISE_DEVIATIONS * last.deviation:
            slow = fast
        self._estimates[name] = _Estimate(slow, fast, deviation, now)


def _moving_average(old: float, new: float, elapsed_constants: float) -> float:
    decay = math.exp(-elapsed_constants)
    return decay * old + (1.0 - decay) * new
