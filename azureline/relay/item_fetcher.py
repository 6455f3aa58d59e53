"""Reads items of the store that are too large for the change feed."""

from collections.abc import Callable
from typing import Any

from twisted.internet import defer
from twisted.internet import task

from azureline.core import clock as clocks
from azureline.platform import store as store_lib
from azureline.util import backoff
from azureline.util import events

# Minimum interval between reads of one item, which may change in bursts.
_FETCH_INTERVAL_S = 0.4
# Bounds of the exponential backoff after a failed read; the first retry is
# immediate, as a single connection may have failed.
_MIN_RETRY_S = 0.1
_MAX_RETRY_S = 0.4


class ItemFetcher:
    """Reads items one at a time."""

    def __init__(
        self,
        reactor: Any,
        clock: clocks.Clock,
        store: store_lib.StoreClient,
        on_item: Callable[[store_lib.Item], None],
        log: events.Log,
    ):
        """Creates a fetcher without items to read.

        Args:
          reactor: the Twisted reactor.
          clock: source of time.
          store: client of the platform's store.
          on_item: called with each item that was read.
          log: receives a line if a read fails unexpectedly.
        """
        self._reactor = reactor
        self._clock = clock
        self._store = store
        self._on_item = on_item
        self._log = log
        # When each key may be read, in monotonic seconds.
        self._due: dict[str, float] = {}
        self._read_at: dict[str, float] = {}
        self._failures = 0
        self._is_running = False

    def add(self, key: str) -> None:
        """Reads an item as soon as possible."""
        next_read_at = self._read_at.get(key, 0.0) + _FETCH_INTERVAL_S
        self._due[key] = max(self._clock.now(), next_read_at)
        if not self._is_running:
            self._is_running = True
            running = defer.ensureDeferred(self._run())
            running.addErrback(self._log_failure)

    async def _run(self) -> None:
        try:
            while self._due:
                await self._sleep_until(min(self._due.values()))
                await self._fetch(min(self._due, key=self._due.__getitem__))
        finally:
            self._is_running = False

    async def _fetch(self, key: str) -> None:
        del self._due[key]
        now = self._clock.now()
        self._read_at = {
            other: at
            for other, at in self._read_at.items()
            if now < at + _FETCH_INTERVAL_S
        }
        self._read_at[key] = now
        item = await self._store.get(key)
        if isinstance(item, store_lib.Unavailable):
            self._due.setdefault(key, self._clock.now() + self._retry_s())
            self._failures += 1
            return
        self._failures = 0
        if item is not None:
            self._on_item(item)

    def _retry_s(self) -> float:
        if not self._failures:
            return 0.0
        return backoff.pause_s(_MIN_RETRY_S, _MAX_RETRY_S, self._failures)

    async def _sleep_until(self, at: float) -> None:
        delay_s = at - self._clock.now()
        if delay_s > 0:
            await task.deferLater(self._reactor, delay_s, lambda: None)

    def _log_failure(self, failure: Any) -> None:
        self._log.error("fetch_failed", reason=failure.getTraceback())
