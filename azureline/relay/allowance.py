"""Bounds the loads from the weight store over all engines."""

from typing import NamedTuple

# Loads that a window allows beside its rate (the platform's rule).
_SPARE_LOADS = 3.0


class Ceiling(NamedTuple):
    """Bound on loads from the weight store, over all engines.

    Attributes:
      window_s: seconds of the sliding window.
      over: factor on the rate that a window may have.
    """

    window_s: float
    over: float


class LoadAllowance:
    """Loads from the weight store that may begin, over all engines."""

    def __init__(self, per_s: float, ceiling: Ceiling, now: float):
        """Creates an allowance that a predecessor has just used up."""
        self._ceiling = ceiling
        self.set_rate(per_s)
        self._tokens = min(1.0, self._burst)
        self._at = now

    def set_rate(self, per_s: float) -> None:
        """Takes the rate of a newer configuration."""
        self._per_s = per_s
        # What a window allows beyond the rate, less one load that a holder
        # begins a little later than it was planned.
        spare = per_s * self._ceiling.window_s * (self._ceiling.over - 1.0)
        self._burst = max(1.0, _SPARE_LOADS + spare - 1.0)

    def spend(self, now: float) -> bool:
        """Takes one load; False if it must wait."""
        grown = self._tokens + (now - self._at) * self._per_s
        self._tokens = min(self._burst, grown)
        self._at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
