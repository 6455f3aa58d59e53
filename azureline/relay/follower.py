"""Follows the platform's store: one listing, then one watch after another."""

import random
from typing import Any
from typing import NamedTuple
from typing import Protocol

from twisted.internet import defer
from twisted.internet import task

from azureline.core import clock as clocks
from azureline.metrics import counters as metrics
from azureline.platform import store as store_lib
from azureline.util import events

# After a failed call, with jitter, growing to the longest: a store that is
# overloaded or turns this VM away is not asked more often for it.
_SHORTEST_RETRY_S = 0.1
_LONGEST_RETRY_S = 0.8


class Pace(NamedTuple):
    """How often the store is asked.

    Attributes:
      watch_s: seconds that a watch waits at most.
      pause_s: seconds from a watch's answer to the next watch.
    """

    watch_s: float
    pause_s: float


class Receiver(Protocol):
    """What is told of the items under one prefix."""

    def listed(self, items: tuple[store_lib.Item, ...]) -> None:
        """Takes all items; others that were known are gone."""

    def changed(self, item: store_lib.Item) -> None:
        """Takes an item that was written."""

    def removed(self, key: str) -> None:
        """Learns that a key is gone."""

    def away(self) -> None:
        """Learns that the store gives no answers."""

    def back(self) -> None:
        """Learns that the store answers again."""


class Follower:
    """Owns one loop of watches over a prefix."""

    def __init__(
        self,
        reactor: Any,
        clock: clocks.Clock,
        rng: random.Random,
        store: store_lib.Store,
        prefix: str,
        receiver: Receiver,
        pace: Pace,
        counters: metrics.Counters,
        log: events.Log,
    ):
        """Creates a follower that has not begun."""
        self._reactor = reactor
        self._clock = clock
        self._rng = rng
        self._store = store
        self._prefix = prefix
        self._receiver = receiver
        self._pace = pace
        self._counters = counters
        self._log = log
        self._revision: int | None = None
        self._failures = 0
        self._running: defer.Deferred[Any] | None = None
        self.listed_once = False

    @property
    def failing(self) -> bool:
        """Whether the last call to the store got no answer."""
        return self._failures > 0

    def start(self) -> None:
        """Begins to follow."""
        self._running = defer.ensureDeferred(self._run())
        self._running.addErrback(self._ended)

    def close(self) -> None:
        """Stops following."""
        if self._running is not None:
            self._running.cancel()

    def _ended(self, failure: Any) -> None:
        if not failure.check(defer.CancelledError):
            self._log.error(
                "follower_failed", prefix=self._prefix, reason=repr(failure)
            )

    async def _run(self) -> None:
        while True:
            if self._revision is None:
                done = await self._list()
            else:
                done = await self._watch(self._revision)
            await self._sleep(self._pace.pause_s if done else self._retry_s())

    async def _list(self) -> bool:
        listing = await self._store.listing(self._prefix)
        if isinstance(listing, store_lib.Unavailable):
            self._failed(listing)
            return False
        self._answered()
        self._revision = listing.revision
        self._receiver.listed(listing.items)
        self.listed_once = True
        return True

    async def _watch(self, revision: int) -> bool:
        seen = await self._store.watch(
            self._prefix, revision, self._pace.watch_s
        )
        match seen:
            case store_lib.Unavailable():
                self._failed(seen)
                return False
            case store_lib.HistoryGone():
                self._counters.count("store.history_gone")
                self._log.warning(
                    "store_history_gone", prefix=self._prefix, after=revision
                )
                self._revision = None
                return True
            case store_lib.Changes():
                self._answered()
                self._take(seen)
        return True

    def _take(self, seen: store_lib.Changes) -> None:
        for event in seen.events:
            match event:
                case store_lib.Item():
                    self._receiver.changed(event)
                case store_lib.Removed(key=key):
                    self._receiver.removed(key)
        self._revision = max(self._revision or 0, seen.revision)

    def _failed(self, reason: store_lib.Unavailable) -> None:
        self._counters.count("store.unavailable")
        if not self._failures:
            self._log.warning(
                "store_lost",
                prefix=self._prefix,
                reason=reason.reason,
                revision=self._revision,
            )
            self._receiver.away()
        self._failures += 1

    def _answered(self) -> None:
        if self._failures:
            self._log.info(
                "store_regained",
                prefix=self._prefix,
                failures=self._failures,
                revision=self._revision,
            )
        self._failures = 0
        self._receiver.back()

    def _retry_s(self) -> float:
        longest = min(_LONGEST_RETRY_S, _SHORTEST_RETRY_S * 2.0**self._failures)
        return self._rng.uniform(0.5, 1.0) * longest

    async def _sleep(self, seconds: float) -> None:
        await task.deferLater(self._reactor, seconds, _nothing)


def _nothing() -> None:
    return None
