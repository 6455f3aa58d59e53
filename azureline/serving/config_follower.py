"""Follows the accepted configuration and puts it in force on this node.

A few nodes watch the platform's key-value store.  They publish a change as a
gossip entry, which contains the edits if there are few.  Nodes that miss a
version pull it from a node that has it, so the number of calls to the store
does not depend on the number of nodes.
"""

from collections.abc import Callable
import random
from typing import Any

from absl import logging
from twisted.internet import defer
from twisted.internet import task

from azureline.config import messages
from azureline.config import replication
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
MAX_EDITS_IN_ENTRY = 300
CURRENT_KEY = "config/current"
PREFIX = "config/"
_ENTRY_CODEC = wire.Codec({1: messages.Offer, 2: messages.Delta})
_MESSAGES = (
    messages.Offer,
    messages.VersionQuery,
    messages.VersionReply,
    messages.Pull,
    messages.DeltaBatch,
    messages.FullConfiguration,
    messages.NothingNewer,
)


class ConfigFollower:
    """Connects a node's configuration replica to the store and other nodes."""

    def __init__(
        self,
        reactor: Any,
        clock: clocks.Clock,
        rng: random.Random,
        neighbours: neighbours_lib.Neighbours,
        key_value: interface.KeyValue,
        seeds: tuple[tuple[str, int], ...],
        on_in_force: Callable[[int, schema.Configuration], None],
        counters: metrics.Counters,
        watch_s: float,
    ):
        """Creates the follower.

        Args:
          reactor: the Twisted reactor.
          clock: source of time.
          rng: source of randomness.
          neighbours: carries gossip entries and pulls.
          key_value: client of the platform's key-value store.
          seeds: link addresses of the nodes in the settings.
          on_in_force: called with each version that comes into force.
          counters: receives the replica's counters.
          watch_s: upper bound in seconds on a watch of the store.
        """
        self._reactor = reactor
        self._clock = clock
        self._rng = rng
        self._neighbours = neighbours
        self._key_value = key_value
        self._seeds = seeds
        self._apply_configuration = on_in_force
        self._counters = counters
        self._watch_s = watch_s
        self._replica = replication.ConfigReplica(rng)
        self._version = 0
        self._entry_version = 0
        self._reading: defer.Deferred | None = None
        self._closed = False
        self._tick_loop = task.LoopingCall(self._on_tick)
        self._tick_loop.clock = reactor
        neighbours.on_entry(PREFIX, self._on_entry)
        for cls in _MESSAGES:
            neighbours.on_message(cls, self._on_message)

    @property
    def version(self) -> int:
        """The version in force on this node; 0 if none is."""
        return self._version

    def start(self) -> None:
        """Starts following."""
        self._tick_loop.start(TICK_S)

    def close(self) -> None:
        """Stops following."""
        self._closed = True
        if self._tick_loop.running:
            self._tick_loop.stop()
        if self._reading is not None:
            self._reading.cancel()

    def _on_tick(self) -> None:
        now = self._clock.now()
        self._replica.set_peers(now, self._peers())
        self._send(self._replica.tick(now))
        self._pull_newer(now)
        self._apply_replica()
        if self._reading is None and self._is_reader():
            self._reading = defer.ensureDeferred(self._read())
            self._reading.addErrback(lambda f: f.trap(defer.CancelledError))

    def _is_reader(self) -> bool:
        if not self._version:
            return True
        return vm_poller.is_reader(
            self._neighbours.membership.name,
            self._neighbours.names(),
            CURRENT_KEY,
        )

    async def _read(self) -> None:
        """Reads the store, after a change if it was read before."""
        try:
            if self._entry_version:
                found = await self._key_value.watch(
                    versions.KEY, self._entry_version, self._watch_s
                )
                if found is None:
                    return
                if isinstance(found, interface.Unavailable):
                    await self._back_off(found.reason)
                    return
            stored = await store.read(self._key_value)
            if isinstance(
                stored, (interface.Unavailable, store.MalformedValue)
            ):
                await self._back_off(stored.reason)
                return
            self._entry_version = stored.entry_version
            if stored.accepted is None:
                await self._back_off("no configuration is stored")
                return
            self._replica.on_stored(self._clock.now(), stored.accepted)
            self._apply_replica()
        finally:
            self._reading = None

    async def _back_off(self, reason: str) -> None:
        logging.info("event=config_unread reason=%r", reason)
        delay = RETRY_S * self._rng.uniform(0.5, 1.5)
        await task.deferLater(self._reactor, delay, lambda: None)

    def _peers(self) -> frozenset[str]:
        """Returns the members, and the seeds that are not members yet."""
        members = self._neighbours.membership.members
        known = {(m.info.host, m.info.port) for m in members}
        own = self._neighbours.membership.info
        known.add((own.host, own.port))
        unknown_seeds = {
            f"{h}:{p}" for h, p in self._seeds if (h, p) not in known
        }
        return frozenset(m.name for m in members) | unknown_seeds

    def _pull_newer(self, now: float) -> None:
        """Pulls from some node if gossip shows a newer version."""
        entry = self._neighbours.membership.store.get(CURRENT_KEY)
        if entry is None or entry.epoch <= self._version:
            return
        up_to_date = [
            m.name
            for m in self._neighbours.membership.members
            if m.state is membership_lib.State.ALIVE
            and m.info.config_version >= entry.epoch
        ]
        others = [
            n
            for n in self._neighbours.names()
            if n != self._neighbours.membership.name
        ]
        choices = up_to_date or others
        offer = _offer(entry)
        if choices and offer is not None:
            peer = self._rng.choice(choices)
            self._send(self._replica.on_offer(now, peer, *offer))

    def _on_entry(self, entry: fleet_messages.GossipEntry, source: str) -> None:
        if source == self._neighbours.membership.name:
            return
        now = self._clock.now()
        delta = _delta(entry)
        if delta is not None and delta.parent == self._version:
            self._send(self._replica.on_deltas(now, source, (delta,)))
        offer = _offer(entry)
        if offer is not None:
            self._send(self._replica.on_offer(now, source, *offer))
        self._apply_replica()

    def _on_message(self, sender: str, message: messages.Message) -> None:
        now = self._clock.now()
        self._send(self._replica.on_message(now, sender, message))
        self._apply_replica()

    def _send(self, sends: list[messages.Outgoing]) -> None:
        for peer, message in sends:
            self._neighbours.send(peer, message)

    def _apply_replica(self) -> None:
        """Puts the replica's version in force here and publishes it."""
        for name, count in self._replica.take_counts().items():
            self._counters.count(name, count)
        accepted = self._replica.in_force
        config = self._replica.configuration
        if accepted is None or config is None:
            return
        if accepted.version <= self._version:
            return
        self._version = accepted.version
        self._neighbours.publish(
            CURRENT_KEY, accepted.version, 0, 0, self._entry_value(accepted)
        )
        self._apply_configuration(accepted.version, config)

    def _entry_value(self, accepted: versions.Accepted) -> bytes:
        """Returns the last delta if it is short, else only its digest."""
        answer = self._replica.on_pull(messages.Pull(accepted.parent, ""))
        if isinstance(answer, messages.DeltaBatch) and len(answer.deltas) == 1:
            delta = answer.deltas[0]
            if len(delta.edits) <= MAX_EDITS_IN_ENTRY:
                return _ENTRY_CODEC.pack(delta)
        return _ENTRY_CODEC.pack(
            messages.Offer(accepted.version, accepted.digest)
        )


def _unpack(entry: fleet_messages.GossipEntry) -> Any:
    try:
        return _ENTRY_CODEC.unpack(entry.value)
    except wire.MalformedError:
        return None


def _delta(entry: fleet_messages.GossipEntry) -> messages.Delta | None:
    value = _unpack(entry)
    return value if isinstance(value, messages.Delta) else None


def _offer(entry: fleet_messages.GossipEntry) -> messages.Offer | None:
    value = _unpack(entry)
    if isinstance(value, messages.Delta):
        return messages.Offer(value.version, value.digest)
    return value if isinstance(value, messages.Offer) else None
