"""Checks that this node has every change that the store has made so far.

The store names its current revision, and the check waits until this node has
followed it there: the read index of Raft (Ongaro, "Consensus: Bridging Theory
and Practice", 2014, section 6.4).  It needs no other node, so it tells a node
that is out of step from one whose peers have failed.
"""

from collections.abc import Callable
from typing import Any

from twisted.internet import defer
from twisted.internet import task

from azureline.core import clock as clocks
from azureline.metrics import counters as metrics
from azureline.platform import store as store_lib
from azureline.relay import keys

# Time in which a node that follows the store reaches its current revision.
_CATCH_UP_S = 1.0
_POLL_INTERVAL_S = 0.02
# Read for the store's revision; the item does not matter.
_SMALL_ITEM = keys.SOFTWARE_VERSIONS


class ViewCheck:
    """Compares this node's view with the store, once for all that wait."""

    def __init__(
        self,
        reactor: Any,
        clock: clocks.Clock,
        store: store_lib.StoreClient,
        revision: Callable[[], int | None],
        counters: metrics.Counters,
    ):
        """Creates a check.

        Args:
          reactor: the Twisted reactor.
          clock: source of time.
          store: client of the platform's store.
          revision: returns the revision up to which this node has all changes,
            if it has any.
          counters: counts the checks by result.
        """
        self._reactor = reactor
        self._clock = clock
        self._store = store
        self._revision = revision
        self._counters = counters
        self._waiting: list[defer.Deferred[bool]] = []
        self._is_running = False

    def is_current(self) -> defer.Deferred[bool]:
        """Returns whether this node has all changes made before this call.

        It is False if the store does not answer, or if this node lags behind.
        """
        waiter: defer.Deferred[bool] = defer.Deferred()
        self._waiting.append(waiter)
        if not self._is_running:
            self._is_running = True
            defer.ensureDeferred(self._run())
        return waiter

    async def _run(self) -> None:
        # A read that has begun says nothing about calls that come after it.
        while self._waiting:
            waiting, self._waiting = self._waiting, []
            current = await self._check()
            result = "current" if current else "behind"
            self._counters.count(f"view_checks.{result}")
            for waiter in waiting:
                waiter.callback(current)
        self._is_running = False

    async def _check(self) -> bool:
        listing = await self._store.list(_SMALL_ITEM)
        if isinstance(listing, store_lib.Unavailable):
            return False
        give_up_at = self._clock.now() + _CATCH_UP_S
        while not self._has_reached(listing.revision):
            if self._clock.now() >= give_up_at:
                return False
            await task.deferLater(self._reactor, _POLL_INTERVAL_S, lambda: None)
        return True

    def _has_reached(self, revision: int) -> bool:
        reached = self._revision()
        return reached is not None and reached >= revision
