"""Follows the accepted configuration and puts it in force on this node.

A few nodes watch the platform's service.  A change is spread as a rumour that
carries its edits if they are short; nodes that lack a step pull it from a
node that has it, so the service sees a constant number of calls however many
nodes there are.
"""

from collections.abc import Callable
import random
from typing import Any

from absl import logging
from twisted.internet import defer
from twisted.internet import task

from azureline.config import ledger as ledger_lib
from azureline.config import messages
from azureline.config import schema
from azureline.config import store
from azureline.config import version as versions
from azureline.core import clock as clocks
from azureline.core import wire
from azureline.fleet import membership as membership_lib
from azureline.fleet import messages as fleet_messages
from azureline.metrics import counters as metrics
from azureline.nodes import neighbours as neighbours_lib
from azureline.platform import interface
from azureline.platform import vm_poller

TICK_S = 0.5
RETRY_S = 1.0
MAX_EDITS_IN_RUMOUR = 300
KEY = "config/current"
PREFIX = "config/"
_RUMOURS = wire.Codec({1: messages.Offer, 2: messages.Delta})
_MESSAGES = (
    messages.Offer,
    messages.Ask,
    messages.State,
    messages.Pull,
    messages.DeltaBatch,
    messages.Full,
    messages.NothingNewer,
)


class ConfigFollower:
    """Binds a node's ledger of versions to the service and to other nodes."""

    def __init__(
        self,
        reactor: Any,
        clock: clocks.Clock,
        rng: random.Random,
        neighbours: neighbours_lib.Neighbours,
        key_value: interface.KeyValue,
        seeds: tuple[tuple[str, int], ...],
        in_force: Callable[[int, schema.Configuration], None],
        counters: metrics.Counters,
        watch_s: float,
    ):
        """Creates the follower.

        Args:
          reactor: the Twisted reactor.
          clock: source of time.
          rng: source of randomness.
          neighbours: spreads new versions and carries pulls.
          key_value: the platform's service.
          seeds: link addresses of nodes that are known to exist.
          in_force: called with each version that comes into force.
          counters: counts versions.
          watch_s: seconds that a watch on the service waits at most.
        """
        self._reactor = reactor
        self._clock = clock
        self._rng = rng
        self._neighbours = neighbours
        self._key_value = key_value
        self._seeds = seeds
        self._in_force = in_force
        self._counters = counters
        self._watch_s = watch_s
        self._ledger = ledger_lib.ConfigLedger(rng)
        self._version = 0
        self._entry_version = 0
        self._reading: defer.Deferred | None = None
        self._closed = False
        self._loop = task.LoopingCall(self._on_tick)
        self._loop.clock = reactor
        neighbours.on_rumour(PREFIX, self._on_rumour)
        for cls in _MESSAGES:
            neighbours.on_message(cls, self._on_message)

    @property
    def version(self) -> int:
        """The version in force on this node; 0 if none is."""
        return self._version

    def start(self) -> None:
        """Starts to follow."""
        self._loop.start(TICK_S)

    def close(self) -> None:
        """Stops following."""
        self._closed = True
        if self._loop.running:
            self._loop.stop()
        if self._reading is not None:
            self._reading.cancel()

    def _on_tick(self) -> None:
        now = self._clock.now()
        self._ledger.known(now, self._peers())
        self._send(self._ledger.tick(now))
        self._seek(now)
        self._settle()
        if self._reading is None and self._is_reader():
            self._reading = defer.ensureDeferred(self._read())
            self._reading.addErrback(lambda f: f.trap(defer.CancelledError))

    def _is_reader(self) -> bool:
        if not self._version:
            return True
        return vm_poller.is_reader(
            self._neighbours.membership.name,
            self._neighbours.names(),
            KEY,
        )

    async def _read(self) -> None:
        """Waits for the service to hold another version than was read."""
        try:
            if self._entry_version:
                found = await self._key_value.watch(
                    versions.KEY, self._entry_version, self._watch_s
                )
                if found is None:
                    return
                if isinstance(found, interface.Unavailable):
                    await self._pause(found.reason)
                    return
            stored = await store.read(self._key_value)
            if isinstance(stored, (interface.Unavailable, store.Unreadable)):
                await self._pause(stored.reason)
                return
            self._entry_version = stored.entry_version
            if stored.accepted is None:
                await self._pause("nothing is stored")
                return
            self._ledger.confirmed(self._clock.now(), stored.accepted)
            self._settle()
        finally:
            self._reading = None

    async def _pause(self, reason: str) -> None:
        logging.info("event=config_unread reason=%r", reason)
        delay = RETRY_S * self._rng.uniform(0.5, 1.5)
        await task.deferLater(self._reactor, delay, lambda: None)

    def _peers(self) -> frozenset[str]:
        """Returns the nodes known from others and from the settings."""
        members = self._neighbours.membership.members
        known = {(m.info.host, m.info.port) for m in members}
        own = self._neighbours.membership.info
        known.add((own.host, own.port))
        unmet = {f"{h}:{p}" for h, p in self._seeds if (h, p) not in known}
        return frozenset(m.name for m in members) | unmet

    def _seek(self, now: float) -> None:
        """Looks for a node to pull from if a newer version is known of."""
        rumour = self._neighbours.membership.store.get(KEY)
        if rumour is None or rumour.epoch <= self._version:
            return
        holders = [
            m.name
            for m in self._neighbours.membership.members
            if m.state is membership_lib.State.ALIVE
            and m.info.config_version >= rumour.epoch
        ]
        others = [
            n
            for n in self._neighbours.names()
            if n != self._neighbours.membership.name
        ]
        choices = holders or others
        offer = _offer(rumour)
        if choices and offer is not None:
            peer = self._rng.choice(choices)
            self._send(self._ledger.offered(now, peer, *offer))

    def _on_rumour(self, rumour: fleet_messages.Rumour, source: str) -> None:
        if source == self._neighbours.membership.name:
            return
        now = self._clock.now()
        step = _step(rumour)
        if step is not None and step.parent == self._version:
            self._send(self._ledger.deltas_received(now, source, (step,)))
        offer = _offer(rumour)
        if offer is not None:
            self._send(self._ledger.offered(now, source, *offer))
        self._settle()

    def _on_message(self, sender: str, message: messages.Message) -> None:
        now = self._clock.now()
        self._send(self._ledger.received(now, sender, message))
        self._settle()

    def _send(self, sends: list[messages.Send]) -> None:
        for peer, message in sends:
            self._neighbours.send(peer, message)

    def _settle(self) -> None:
        """Puts the ledger's version in force here and tells others."""
        for name, count in self._ledger.take_counts().items():
            self._counters.count(name, count)
        accepted = self._ledger.in_force
        config = self._ledger.configuration
        if accepted is None or config is None:
            return
        if accepted.version <= self._version:
            return
        self._version = accepted.version
        self._neighbours.tell(
            KEY, accepted.version, 0, 0, self._rumour_value(accepted)
        )
        self._in_force(accepted.version, config)

    def _rumour_value(self, accepted: versions.Accepted) -> bytes:
        """Returns the last step if it is short, else only its digest."""
        answer = self._ledger.pulled(messages.Pull(accepted.parent, ""))
        if isinstance(answer, messages.DeltaBatch) and len(answer.deltas) == 1:
            step = answer.deltas[0]
            if len(step.edits) <= MAX_EDITS_IN_RUMOUR:
                return _RUMOURS.pack(step)
        return _RUMOURS.pack(messages.Offer(accepted.version, accepted.digest))


def _unpack(rumour: fleet_messages.Rumour) -> Any:
    try:
        return _RUMOURS.unpack(rumour.value)
    except wire.MalformedError:
        return None


def _step(rumour: fleet_messages.Rumour) -> messages.Delta | None:
    value = _unpack(rumour)
    return value if isinstance(value, messages.Delta) else None


def _offer(rumour: fleet_messages.Rumour) -> messages.Offer | None:
    value = _unpack(rumour)
    if isinstance(value, messages.Delta):
        return messages.Offer(value.version, value.digest)
    return value if isinstance(value, messages.Offer) else None
