"""Turns in which connections handle what they have received.

A peer can put thousands of units of work into a few bytes.  What does not fit
into the turn in which it was received waits here, and all that waits gets a
bounded share of the process's time, however many connections it is for.
"""

import collections
from collections.abc import Callable
import time
from typing import Any

# Time of each turn of the reactor that goes to what waits.
TURN_S = 0.004
# Calls of one turn, where the clock is too coarse to tell their time.
MAX_CALLS = 64


class Waiting:
    """A function that waits for a turn."""

    def __init__(self, function: Callable[[], None]):
        """Creates an entry; `Turns.call` adds it."""
        self.function: Callable[[], None] | None = function

    def active(self) -> bool:
        """Returns whether the function has still to be called."""
        return self.function is not None

    def cancel(self) -> None:
        """Drops the function."""
        self.function = None


class Turns:
    """Calls functions in order, for a bounded time in each reactor turn."""

    def __init__(self, reactor: Any, now: Callable[[], float] = time.monotonic):
        """Creates turns for which nothing waits.

        Args:
          reactor: the Twisted reactor.
          now: returns monotonic time in seconds.
        """
        self._reactor = reactor
        self._now = now
        self._waiting: collections.deque[Waiting] = collections.deque()
        self._is_scheduled = False

    def call(self, function: Callable[[], None]) -> Waiting:
        """Calls a function once all that waited before had its turn."""
        waiting = Waiting(function)
        self._waiting.append(waiting)
        self._schedule()
        return waiting

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._reactor.callLater(0, self._run)

    def _run(self) -> None:
        self._is_scheduled = False
        ends_at = self._now() + TURN_S
        calls = 0
        try:
            while self._waiting and calls < MAX_CALLS and self._now() < ends_at:
                function = self._waiting[0].function
                self._waiting.popleft().cancel()
                if function is not None:
                    calls += 1
                    function()
        finally:
            if self._waiting:
                self._schedule()
