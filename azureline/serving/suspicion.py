"""Shares with other nodes what this one learns about crashing requests."""

from typing import Any

from twisted.internet import task

from azureline.core import clock as clocks
from azureline.core import wire
from azureline.fleet import messages as fleet_messages
from azureline.metrics import counters as metrics
from azureline.nodes import neighbours as neighbours_lib
from azureline.routing import suspects as suspects_lib

PREFIX = "suspect/"
TICK_S = 0.5
EXPIRE_TICKS = 20
RUMOURS_PER_TICK = 8
TTL_S = 1800
_CODEC = wire.Codec({1: suspects_lib.SuspectSeen, 2: suspects_lib.Crash})


class Suspicion:
    """Carries suspicions between this node's watch and the others'."""

    def __init__(
        self,
        reactor: Any,
        clock: clocks.Clock,
        neighbours: neighbours_lib.Neighbours,
        suspects: suspects_lib.Suspects,
        counters: metrics.Counters,
    ):
        """Subscribes to other nodes' suspicions.

        Args:
          reactor: the Twisted reactor.
          clock: source of time.
          neighbours: carries the rumours.
          suspects: what this node knows.
          counters: counts rumours.
        """
        self._clock = clock
        self._neighbours = neighbours
        self._suspects = suspects
        self._counters = counters
        self._epoch = int(clock.wall() * 1000)
        self._sequence = 0
        self._ticks = 0
        self._loop = task.LoopingCall(self._on_tick)
        self._loop.clock = reactor
        neighbours.on_rumour(PREFIX, self._heard)

    def start(self) -> None:
        """Starts to tell others."""
        self._loop.start(TICK_S, now=False)

    def close(self) -> None:
        """Stops telling others."""
        if self._loop.running:
            self._loop.stop()

    def flush(self) -> None:
        """Tells others at once what has changed."""
        name = self._neighbours.membership.name
        for seen in self._suspects.rumours(RUMOURS_PER_TICK):
            self._sequence += 1
            key = f"{PREFIX}{seen.content.hex()}/{name}"
            self._neighbours.tell(
                key, self._epoch, self._sequence, TTL_S, _CODEC.pack(seen)
            )

    def _on_tick(self) -> None:
        self.flush()
        self._ticks += 1
        if self._ticks % EXPIRE_TICKS == 0:
            self._suspects.expire(self._clock.wall())

    def _heard(self, rumour: fleet_messages.Rumour, source: str) -> None:
        if source == self._neighbours.membership.name:
            return
        try:
            seen = _CODEC.unpack(rumour.value)
        except wire.MalformedError:
            self._counters.count("rumours.malformed")
            return
        self._counters.count("suspects.heard")
        self._suspects.heard([seen], self._clock.wall())
