"""Rate limit for loads from the weight store, over all engines."""

from typing import NamedTuple

# Loads that the platform permits per window in addition to the rate.
_EXTRA_LOADS = 3.0


class LoadWindowLimit(NamedTuple):
    """Limit of loads from the weight store, over all engines.

    Attributes:
      window_s: length of the sliding window in seconds.
      over: factor by which the rate within a window may exceed the configured
        rate.
    """

    window_s: float
    over: float


class LoadRateLimit:
    """Token bucket for loads from the weight store, over all engines."""

    def __init__(self, per_s: float, ceiling: LoadWindowLimit, now: float):
        """Creates a token bucket with at most one token.

        The previous planner may just have used the whole burst.

        Args:
          per_s: loads per second over all engines.
          ceiling: limit of a sliding window.
          now: monotonic time in seconds.
        """
        self._window_limit = ceiling
        self.set_rate(per_s)
        self._tokens = min(1.0, self._burst)
        self._updated_at = now

    def set_rate(self, per_s: float) -> None:
        """Sets the rate in loads per second."""
        self._per_s = per_s
        # The burst is what a window permits beyond the rate, less one load,
        # since an engine controller may start a load later than planned.
        extra = (
            per_s
            * self._window_limit.window_s
            * (self._window_limit.over - 1.0)
        )
        self._burst = max(1.0, _EXTRA_LOADS + extra - 1.0)

    def try_acquire(self, now: float) -> bool:
        """Takes a token for one load; returns False if there is none."""
        refilled = self._tokens + (now - self._updated_at) * self._per_s
        self._tokens = min(self._burst, refilled)
        self._updated_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
