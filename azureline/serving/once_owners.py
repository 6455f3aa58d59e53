"""The at-most-once slots that this node owns."""

from collections.abc import Callable
import random
from typing import Any

from absl import logging
from twisted.internet import defer

from azureline.core import clock as clocks
from azureline.fleet import membership as membership_lib
from azureline.metrics import counters as metrics
from azureline.nodes import neighbours as neighbours_lib
from azureline.once import messages
from azureline.once import runner
from azureline.platform import interface

PREFIX = "once/"


class OnceOwners:
    """Starts and stops the runner of each slot with its ownership."""

    def __init__(
        self,
        reactor: Any,
        identity: str,
        clock: clocks.Clock,
        rng: random.Random,
        neighbours: neighbours_lib.Neighbours,
        key_value: interface.KeyValue,
        counters: metrics.Counters,
    ):
        """Creates the owners; none runs yet.

        Args:
          reactor: the Twisted reactor.
          identity: identity of this process.
          clock: source of time.
          rng: source of jitter.
          neighbours: carries the messages of entry nodes.
          key_value: the platform's service.
          counters: counts what the owners decide.
        """
        self._reactor = reactor
        self._identity = identity
        self._clock = clock
        self._rng = rng
        self._neighbours = neighbours
        self._key_value = key_value
        self._counters = counters
        self._on_deposed: Callable[[str, int], None] = lambda name, epoch: None
        self._runners: dict[int, runner.Runner] = {}
        for cls in (messages.Claim, messages.Withdraw, messages.Outcome):
            neighbours.on_message(cls, self._on_request)
        neighbours.on_member(self._on_member)

    def on_deposed(self, handler: Callable[[str, int], None]) -> None:
        """Has each slot found sealed, and by which epoch, handed over."""
        self._on_deposed = handler

    def acquired(self, name: str, epoch: int) -> None:
        """Starts the owner of a slot."""
        slot = int(name.removeprefix(PREFIX))
        self._stop(slot)
        self._runners[slot] = runner.Runner(
            slot,
            epoch,
            self._identity,
            self._key_value,
            self._neighbours.send,
            self._deposed,
            self._counters.count,
            self._clock,
            self._reactor,
            self._rng,
        )
        self._runners[slot].start()

    def renewed(self, name: str, until: float) -> None:
        """Passes the end of the lease on to the owner of a slot."""
        owner = self._runners.get(int(name.removeprefix(PREFIX)))
        if owner is not None:
            owner.post(runner.Lease(until))

    def lost(self, name: str) -> None:
        """Stops the owner of a slot."""
        self._stop(int(name.removeprefix(PREFIX)))

    def drain(self) -> defer.Deferred[Any]:
        """Has all owners finish what they have begun and take no more.

        Returns:
          A deferred that fires when nothing is left to be written.
        """
        waiting = []
        for slot, owner in self._runners.items():
            drained: defer.Deferred[int] = defer.Deferred()
            waiting.append(drained)
            owner.post(runner.Drain(drained.callback))
            logging.info("event=slot_draining slot=once/%d", slot)
        return defer.DeferredList(waiting)

    def close(self) -> defer.Deferred[Any]:
        """Stops all owners."""
        stopping = [r.stop() for r in self._runners.values()]
        self._runners.clear()
        return defer.DeferredList(stopping)

    def _stop(self, slot: int) -> None:
        owner = self._runners.pop(slot, None)
        if owner is not None:
            owner.stop()

    def _deposed(self, slot: int) -> None:
        """Stops an owner whose log belongs to a higher epoch."""
        owner = self._runners.get(slot)
        epoch = owner.deposed_by if owner else 0
        self._stop(slot)
        self._on_deposed(f"{PREFIX}{slot}", epoch)

    def _on_request(self, sender: str, message: messages.Request) -> None:
        owner = self._runners.get(message.slot)
        if owner is None:
            self._neighbours.send(
                sender, messages.NotOwner(message.slot, message.request_id)
            )
            return
        owner.post(message)

    def _on_member(self, member: membership_lib.Member) -> None:
        if member.state is membership_lib.State.DEAD:
            for owner in self._runners.values():
                owner.post(runner.NodeLost(member.name))
