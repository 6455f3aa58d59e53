"""Runs the at-most-once slots that this node owns."""

from collections.abc import Callable
import random
from typing import Any

from absl import logging
from twisted.internet import defer

from azureline.at_most_once import messages
from azureline.at_most_once import runner
from azureline.core import clock as clocks
from azureline.fleet import membership as membership_lib
from azureline.metrics import counters as metrics
from azureline.nodes import neighbours as neighbours_lib
from azureline.platform import interface

SLOT_PREFIX = "once/"


class OnceSlots:
    """Runs one `runner.Runner` per slot while this node owns the slot."""

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
        """Creates the collection without any runner.

        Args:
          reactor: the Twisted reactor.
          identity: identity of this process.
          clock: source of time.
          rng: source of jitter.
          neighbours: carries the messages to and from entry nodes.
          key_value: client of the platform's key-value store.
          counters: counts the runners' decisions.
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
        """Sets the handler of each deposed slot: its name and newer epoch.

        A slot is deposed if its log was sealed under a higher epoch.
        """
        self._on_deposed = handler

    def acquired(self, name: str, epoch: int) -> None:
        """Starts the runner of a slot."""
        slot = int(name.removeprefix(SLOT_PREFIX))
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
        """Sends the new end of the lease to the runner of a slot."""
        slot_runner = self._runners.get(int(name.removeprefix(SLOT_PREFIX)))
        if slot_runner is not None:
            slot_runner.post(runner.Lease(until))

    def lost(self, name: str) -> None:
        """Stops the runner of a slot."""
        self._stop(int(name.removeprefix(SLOT_PREFIX)))

    def drain(self) -> defer.Deferred[Any]:
        """Has all runners finish their pending work and accept no new claims.

        Returns:
          A deferred that fires when all writes are done.
        """
        waiting = []
        for slot, slot_runner in self._runners.items():
            drained: defer.Deferred[int] = defer.Deferred()
            waiting.append(drained)
            slot_runner.post(runner.Drain(drained.callback))
            logging.info("event=slot_draining slot=once/%d", slot)
        return defer.DeferredList(waiting)

    def close(self) -> defer.Deferred[Any]:
        """Stops all runners."""
        stopping = [r.stop() for r in self._runners.values()]
        self._runners.clear()
        return defer.DeferredList(stopping)

    def _stop(self, slot: int) -> None:
        slot_runner = self._runners.pop(slot, None)
        if slot_runner is not None:
            slot_runner.stop()

    def _deposed(self, slot: int) -> None:
        """Stops a runner whose slot's log was sealed under a higher epoch."""
        slot_runner = self._runners.get(slot)
        epoch = slot_runner.deposed_by if slot_runner else 0
        self._stop(slot)
        self._on_deposed(f"{SLOT_PREFIX}{slot}", epoch)

    def _on_request(self, sender: str, message: messages.Request) -> None:
        slot_runner = self._runners.get(message.slot)
        if slot_runner is None:
            self._neighbours.send(
                sender, messages.NotOwner(message.slot, message.request_id)
            )
            return
        slot_runner.post(message)

    def _on_member(self, member: membership_lib.Member) -> None:
        if member.state is membership_lib.State.DEAD:
            for slot_runner in self._runners.values():
                slot_runner.post(runner.NodeLost(member.name))
