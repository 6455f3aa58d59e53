"""Clocks that are passed into decision code.

Decision code never reads the system clock.  It receives the current time in
seconds as an argument, or an object with the `Clock` interface where one call
must read the time more than once.
"""

import time
from typing import Protocol


class Clock(Protocol):
    """A source of time in seconds."""

    def now(self) -> float:
        """Returns monotonic time in seconds; it never goes back."""

    def wall(self) -> float:
        """Returns seconds since the Unix epoch; it may be stepped."""


class SystemClock:
    """Reads the clocks of the operating system."""

    def now(self) -> float:
        """Returns monotonic time that keeps counting while suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Returns seconds since the Unix epoch."""
        return time.time()


class ManualClock:
    """A clock that moves only when told, for tests and benches."""

    def __init__(self, now: float = 0.0, epoch: float = 1.7e9):
        self._now = now
        self._epoch = epoch

    def now(self) -> float:
        """Returns the time that has been set."""
        return self._now

    def wall(self) -> float:
        """Returns the set time, moved to a plausible Unix time."""
        return self._epoch + self._now

    def advance(self, seconds: float) -> None:
        """Moves the clock forward.

        Args:
          seconds: how far to move; not negative.

        Raises:
          ValueError: if `seconds` is negative.
        """
        if seconds < 0:
            raise ValueError("a clock cannot go back")
        self._now += seconds
