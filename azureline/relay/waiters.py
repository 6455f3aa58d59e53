"""Requests that wait for a change of the node's state."""

from typing import Any

from twisted.internet import defer


class Waiters:
    """Waits that end at a change or after a time."""

    def __init__(self, reactor: Any):
        """Creates an instance without waits.

        Args:
          reactor: the Twisted reactor.
        """
        self._reactor = reactor
        self._waiting: set[defer.Deferred[None]] = set()

    def wake(self) -> None:
        """Ends all waits."""
        waiting, self._waiting = self._waiting, set()
        for waiter in waiting:
            waiter.callback(None)

    async def wait(self, seconds: float) -> None:
        """Waits until `wake` is called, at most for some seconds."""
        waiter: defer.Deferred[None] = defer.Deferred()
        self._waiting.add(waiter)

        def expired() -> None:
            self._waiting.discard(waiter)
            waiter.callback(None)

        timer = self._reactor.callLater(max(0.0, seconds), expired)
        try:
            await waiter
        finally:
            self._waiting.discard(waiter)
            if timer.active():
                timer.cancel()
