"""Has adapters loaded before calls that need them are sent."""

from collections.abc import Callable
from typing import Any

from azureline.core import clock as clocks
from azureline.fleet import directory as directories
from azureline.fleet import engine_messages
from azureline.metrics import counters as metrics
from azureline.nodes import neighbours as neighbours_lib

WAIT_S = 1.0
RESEND_S = 0.25
Done = Callable[[bool], None]
_Key = tuple[str, str]


class Adapters:
    """Remembers which engine holds which adapter, and asks owners for more.

    What is remembered is a hint: an engine that has dropped an adapter
    refuses the call, which then is sent again after `forget`.
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
        """Creates an empty memory and subscribes to the owners' answers.

        Args:
          reactor: the Twisted reactor.
          clock: source of time.
          neighbours: carries the messages to owners.
          owner_of: returns the node that owns an engine's orders, or "".
          directory: knows the incarnations of engines.
          counters: counts what is asked for and what fails.
        """
        self._reactor = reactor
        self._clock = clock
        self._neighbours = neighbours
        self._owner_of = owner_of
        self._directory = directory
        self._counters = counters
        self._held: dict[_Key, str] = {}
        self._waiting: dict[_Key, list[Done]] = {}
        neighbours.on_message(engine_messages.AdapterState, self._on_state)

    def ensure(self, engine: str, adapter: str, done: Done) -> None:
        """Calls `done` with whether an engine holds an adapter.

        Args:
          engine: name of the engine.
          adapter: name of the adapter, or "" for none.
          done: called at once if the adapter is known to be there, and
            within `WAIT_S` seconds otherwise.
        """
        if not adapter or self._knows(engine, adapter):
            done(True)
            return
        key = (engine, adapter)
        waiting = self._waiting.setdefault(key, [])
        waiting.append(done)
        if len(waiting) == 1:
            self._counters.count("adapters.wanted")
            self._ask(key, self._clock.now() + WAIT_S)

    def forget(self, engine: str, adapter: str) -> None:
        """Forgets that an engine holds an adapter."""
        self._held.pop((engine, adapter), None)

    def _knows(self, engine: str, adapter: str) -> bool:
        held = self._held.get((engine, adapter))
        return held is not None and held == self._directory.incarnation(engine)

    def _ask(self, key: _Key, give_up_at: float) -> None:
        if key not in self._waiting:
            return
        if self._clock.now() >= give_up_at:
            self._finish(key, False, "timeout")
            return
        owner = self._owner_of(key[0])
        if owner:
            self._neighbours.send(owner, engine_messages.AdapterWanted(*key))
        self._reactor.callLater(RESEND_S, self._ask, key, give_up_at)

    def _on_state(
        self, sender: str, state: engine_messages.AdapterState
    ) -> None:
        key = (state.engine, state.adapter)
        if state.ready:
            self._held[key] = state.incarnation
            self._finish(key, True, "")
        elif state.reason != "transit_full":
            # A full transit clears in milliseconds; the next question may
            # find room.
            self._finish(key, False, state.reason)

    def _finish(self, key: _Key, ready: bool, reason: str) -> None:
        if reason:
            self._counters.count(f"adapters.failed.{reason}")
        for done in self._waiting.pop(key, []):
            done(ready)
