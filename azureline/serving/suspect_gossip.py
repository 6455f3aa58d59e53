"""Exchanges crash suspects with other nodes by gossip."""

from typing import Any

from twisted.internet import task

from azureline.core import clock as clocks
from azureline.core import wire
from azureline.fleet import messages as fleet_messages
from azureline.metrics import counters as metrics
from azureline.nodes import neighbours as neighbours_lib
from azureline.routing import crash_history
from azureline.routing import suspects as suspects_lib

PREFIX = "suspect/"
TICK_S = 0.5
EXPIRE_TICKS = 20
MAX_ENTRIES_PER_TICK = 8
ENTRY_TTL_S = 1800
_CODEC = wire.Codec({1: crash_history.SuspectEntry, 2: crash_history.Crash})


class SuspectGossip:
    """Publishes this node's crash suspects and merges those of other nodes."""

    def __init__(
        self,
        reactor: Any,
        clock: clocks.Clock,
        neighbours: neighbours_lib.Neighbours,
        suspects: suspects_lib.SuspectTable,
        counters: metrics.Counters,
    ):
        """Subscribes to the suspects that other nodes publish.

        Args:
          reactor: the Twisted reactor.
          clock: source of time.
          neighbours: carries the gossip entries.
          suspects: this node's crash suspects.
          counters: counts received and malformed gossip entries.
        """
        self._clock = clock
        self._neighbours = neighbours
        self._suspects = suspects
        self._counters = counters
        self._epoch = int(clock.wall() * 1000)
        self._sequence = 0
        self._ticks = 0
        self._tick_loop = task.LoopingCall(self._on_tick)
        self._tick_loop.clock = reactor
        neighbours.on_entry(PREFIX, self._on_entry)

    def start(self) -> None:
        """Starts publishing."""
        self._tick_loop.start(TICK_S, now=False)

    def close(self) -> None:
        """Stops publishing."""
        if self._tick_loop.running:
            self._tick_loop.stop()

    def flush(self) -> None:
        """Publishes changed suspects now, up to `MAX_ENTRIES_PER_TICK`."""
        name = self._neighbours.membership.name
        for suspect in self._suspects.take_changes(MAX_ENTRIES_PER_TICK):
            self._sequence += 1
            key = f"{PREFIX}{suspect.content.hex()}/{name}"
            self._neighbours.publish(
                key,
                self._epoch,
                self._sequence,
                ENTRY_TTL_S,
                _CODEC.pack(suspect),
            )

    def _on_tick(self) -> None:
        self.flush()
        self._ticks += 1
        if self._ticks % EXPIRE_TICKS == 0:
            self._suspects.expire(self._clock.wall())

    def _on_entry(self, entry: fleet_messages.GossipEntry, source: str) -> None:
        if source == self._neighbours.membership.name:
            return
        try:
            suspect = _CODEC.unpack(entry.value)
        except wire.MalformedError:
            self._counters.count("rumours.malformed")
            return
        self._counters.count("suspects.heard")
        self._suspects.merge([suspect], self._clock.wall())
