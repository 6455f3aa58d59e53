"""Clocks for code that decides by time.

Such code never reads the system clock.  It takes the current time in seconds as
an argument, or a `Clock` where one call must read the time more than once.
"""

import time
from typing import Protocol


class Clock(Protocol):
    """A source of time in seconds."""

    def now(self) -> float:
        """Returns monotonic time in seconds."""

    def wall(self) -> float:
        """Returns seconds since the Unix epoch; the clock can be stepped."""


class SystemClock:
    """Reads the clocks of the operating system."""

    def now(self) -> float:
        """Returns monotonic time that includes time in suspend."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Returns seconds since the Unix epoch."""
        return time.time()


class ManualClock:
    """A clock that moves only on `advance`, for tests and benchmarks."""

    def __init__(self, now: float = 0.0, epoch: float = 1.7e9):
        self._now = now
        self._epoch = epoch

    def now(self) -> float:
        """Returns the manual time in seconds."""
        return self._now

    def wall(self) -> float:
        """Returns the manual time plus a plausible Unix time."""
        return self._epoch + self._now

    def advance(self, seconds: float) -> None:
        """Moves the clock forward.

        Args:
          seconds: how far to move; not negative.

        Raises:
          ValueError: if `seconds` is negative.
        """
        if seconds < 0:
            raise ValueError(f"expected seconds >= 0, got {seconds}")
        self._now += seconds
