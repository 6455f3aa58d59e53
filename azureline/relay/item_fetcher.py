"""Reads items of the store that are too large for the change feed."""

from collections.abc import Callable
from typing import Any

from twisted.internet import defer
from twisted.internet import task

from azureline.platform import store as store_lib
from azureline.util import events

# Minimum interval between reads.
_FETCH_INTERVAL_S = 0.4


class ItemFetcher:
    """Reads items one at a time."""

    def __init__(
        self,
        reactor: Any,
        store: store_lib.StoreClient,
        on_item: Callable[[store_lib.Item], None],
        log: events.Log,
    ):
        """Creates a fetcher without items to read.

        Args:
          reactor: the Twisted reactor.
          store: client of the platform's store.
          on_item: called with each item that was read.
          log: receives a line if a read fails unexpectedly.
        """
        self._reactor = reactor
        self._store = store
        self._on_item = on_item
        self._log = log
        self._keys: set[str] = set()
        self._fetching = False

    def add(self, key: str) -> None:
        """Reads an item as soon as possible."""
        self._keys.add(key)
        self.fetch_next()

    def fetch_next(self) -> None:
        """Begins the next read, if one is due."""
        if not self._keys or self._fetching:
            return
        self._fetching = True
        fetching = defer.ensureDeferred(self._fetch(self._keys.pop()))
        fetching.addErrback(self._log_failure)

    async def _fetch(self, key: str) -> None:
        try:
            item = await self._store.get(key)
            if isinstance(item, store_lib.Unavailable):
                self._keys.add(key)
            elif item is not None:
                self._on_item(item)
            await task.deferLater(
                self._reactor, _FETCH_INTERVAL_S, lambda: None
            )
        finally:
            self._fetching = False

    def _log_failure(self, failure: Any) -> None:
        self._log.error("fetch_failed", reason=failure.getTraceback())
