"""Requests adapter loads before calls that need the adapters are sent."""

from collections.abc import Callable
from typing import Any

from azureline.core import clock as clocks
from azureline.fleet import directory as directories
from azureline.fleet import engine_messages
from azureline.metrics import counters as metrics
from azureline.nodes import neighbours as neighbours_lib

LOAD_TIMEOUT_S = 1.0
RESEND_INTERVAL_S = 0.25
LoadedCallback = Callable[[bool], None]
_Key = tuple[str, str]


class AdapterLoader:
    """Caches which engine has which adapter loaded; requests missing ones.

    The cache may be out of date: an engine that has unloaded an adapter
    refuses the call, which is then retried after `invalidate`.
    """

    def __init__(
        self,
        reactor: Any,
        clock: clocks.Clock,
        neighbours: neighbours_lib.Neighbours,
        owner_of: Callable[[str], str],
        directory: directories.Directory,
        counters: metrics.Counters,
    ):
        """Creates an empty cache and subscribes to the owners' answers.

        Args:
          reactor: the Twisted reactor.
          clock: source of time.
          neighbours: carries the messages to and from owners.
          owner_of: returns the node that sends an engine's orders, or "".
          directory: the incarnations of engines.
          counters: counts requested loads and failures by reason.
        """
        self._reactor = reactor
        self._clock = clock
        self._neighbours = neighbours
        self._owner_of = owner_of
        self._directory = directory
        self._counters = counters
        self._loaded_incarnations: dict[_Key, str] = {}
        self._waiting: dict[_Key, list[LoadedCallback]] = {}
        neighbours.on_message(engine_messages.AdapterReply, self._on_state)

    def ensure(self, engine: str, adapter: str, done: LoadedCallback) -> None:
        """Calls `done` with whether an adapter is loaded on an engine.

        Requests the load if needed.

        Args:
          engine: name of the engine.
          adapter: name of the adapter, or "" for none.
          done: called immediately if the adapter is cached as loaded, and
            otherwise when the owner answers, or with False after
            `LOAD_TIMEOUT_S` seconds.
        """
        if not adapter or self._is_loaded(engine, adapter):
            done(True)
            return
        key = (engine, adapter)
        callbacks = self._waiting.setdefault(key, [])
        callbacks.append(done)
        if len(callbacks) == 1:
            self._counters.count("adapters.wanted")
            self._request(key, self._clock.now() + LOAD_TIMEOUT_S)

    def invalidate(self, engine: str, adapter: str) -> None:
        """Removes an engine's adapter from the cache."""
        self._loaded_incarnations.pop((engine, adapter), None)

    def _is_loaded(self, engine: str, adapter: str) -> bool:
        incarnation = self._loaded_incarnations.get((engine, adapter))
        return (
            incarnation is not None
            and incarnation == self._directory.incarnation(engine)
        )

    def _request(self, key: _Key, give_up_at: float) -> None:
        if key not in self._waiting:
            return
        if self._clock.now() >= give_up_at:
            self._finish(key, False, "timeout")
            return
        owner = self._owner_of(key[0])
        if owner:
            self._neighbours.send(owner, engine_messages.AdapterRequest(*key))
        self._reactor.callLater(
            RESEND_INTERVAL_S, self._request, key, give_up_at
        )

    def _on_state(
        self, sender: str, state: engine_messages.AdapterReply
    ) -> None:
        key = (state.engine, state.adapter)
        if state.ready:
            self._loaded_incarnations[key] = state.incarnation
            self._finish(key, True, "")
        elif state.reason != "transit_full":
            # "transit_full" means that the limit of adapter loads in transit is
            # reached.  That clears in milliseconds, so the next request may
            # succeed.
            self._finish(key, False, state.reason)

    def _finish(self, key: _Key, ready: bool, reason: str) -> None:
        if reason:
            self._counters.count(f"adapters.failed.{reason}")
        for done in self._waiting.pop(key, []):
            done(ready)
