"""Counts the calls to the platform's store for each return from an older copy.

    python -m tools.returns_bench

Nodes with their followers and store sessions run on a virtual clock; engines
are held by the nodes in turn.  The store's answers take no time.
"""

import collections
import random
from typing import Any

from twisted.internet import defer
from twisted.internet import task
import typer

from azureline.metrics import counters as metrics
from azureline.platform import eras
from azureline.platform import store as store_lib
from azureline.relay import claims
from azureline.relay import follower
from azureline.relay import keys
from azureline.relay import peers as peers_lib
from azureline.relay import store_session
from azureline.util import events
from tests import builders_store

# Nodes, failure domains and engines of the fleets that are played.
SIZES = ((8, 3, 5), (75, 3, 30), (195, 5, 39), (360, 7, 900))
TERMS = claims.LeaseTimes(2.5, 0.5, 1.5, 3.0, 0.4)
PACE = follower.Pace(2.5, 0.25)
PAGE_ITEMS = 500
SETTLE_S = 12.0
AGE_S = 5.0
AFTER_S = 8.0
STEP_S = 0.05


class _Clock:
    def __init__(self, reactor: task.Clock):
        self.now = reactor.seconds


class _Client(builders_store.FakeStoreClient):
    """A client that also lists and watches, and counts its calls."""

    def __init__(self, fleet: "Fleet"):
        super().__init__(fleet.store, fleet.reactor, 0.5)
        self._fleet = fleet

    def learn_era(self, era: int) -> None:
        """Records that the store is in an era."""
        if era > self.era:
            self.era = era
            for callback in self._on_return:
                callback(era)

    async def list(self, prefix: str) -> Any:
        """Lists all items."""
        pages = -(-len(self._fleet.store.items) // PAGE_ITEMS)
        self._fleet.calls["list"] += pages
        self._learn_era()
        items = tuple(self._fleet.store.items.values())
        return store_lib.Listing(items, self._fleet.position())

    async def watch(self, prefix: str, after: int, wait_s: float) -> Any:
        """Waits for changes."""
        if eras.era_of(after) != self.era:
            return store_lib.HistoryGone()
        self._fleet.calls["watch"] += 1
        ends_at = self._fleet.reactor.seconds() + wait_s
        while self._fleet.reactor.seconds() < ends_at:
            await task.deferLater(self._fleet.reactor, STEP_S, lambda: None)
            self._learn_era()
            if eras.era_of(after) != self.era:
                return store_lib.HistoryGone()
            if self._fleet.position() > after:
                break
        found = [
            item
            for item in self._fleet.store.items.values()
            if item.revision > after
        ]
        found.sort(key=lambda item: item.revision)
        return store_lib.Changes(tuple(found), self._fleet.position())

    async def transact(self, *arguments: Any) -> Any:
        """Runs a transaction."""
        self._fleet.calls["write"] += 1
        return await super().transact(*arguments)

    async def grant(self, ttl_s: float) -> Any:
        """Creates a lease."""
        self._fleet.calls["write"] += 1
        return await super().grant(ttl_s)

    async def renew(self, lease_id: int) -> Any:
        """Renews a lease."""
        self._fleet.calls["renewal"] += 1
        return await super().renew(lease_id)


class _Node:
    """Follows the store, and holds its share of the engines."""

    def __init__(self, fleet: "Fleet", record: keys.NodeRecord):
        clock, counters = _Clock(fleet.reactor), metrics.Counters()
        rng = random.Random(record.name)
        self.client = _Client(fleet)
        self.peers = peers_lib.Peers(record, clock, counters, rng)
        self.peers._datagrams.send = fleet.deliver
        self.session = store_session.StoreSession(
            fleet.reactor,
            clock,
            rng,
            self.client,
            record,
            TERMS,
            counters,
            events.null_log(),
        )
        self.follower = follower.Follower(
            fleet.reactor,
            clock,
            rng,
            self.client,
            self.peers,
            self,
            PACE,
            counters,
            events.null_log(),
        )
        self.client.on_return(
            lambda era: self.session.store_returned(era, len(fleet.nodes))
        )
        self.client.on_return(self.follower.store_returned)

    def listed(self, items: tuple[store_lib.Item, ...]) -> None:
        """Applies a listing."""
        for item in items:
            self.changed(item)

    def changed(self, item: store_lib.Item) -> None:
        """Applies the record of a node or of a holder."""
        if item.key.startswith(keys.NODES):
            record = keys.node_record(item.value)
            if record is not None:
                self.peers.set_node(record)
        elif item.key.startswith(keys.HOLDERS):
            name = item.key.removeprefix(keys.HOLDERS)
            record = keys.holder_record(item.value)
            self.session.holder_changed(name, record, item.revision)

    def removed(self, key: str) -> None:
        """Applies a removal; nothing depends on it here."""

    def away(self) -> None:
        """The store never goes away here."""

    def back(self, since: float) -> None:
        """The store never goes away here."""


class Fleet:
    """Nodes and their store."""

    def __init__(self, nodes: int, domains: int, engines: int):
        """Creates a fleet that has not started."""
        self.reactor = task.Clock()
        self.store = builders_store.FakeStore(self.reactor.seconds)
        self.calls: collections.Counter[str] = collections.Counter()
        records = [
            keys.NodeRecord(f"n{i}", f"h{i}", 1, f"d{i % domains}")
            for i in range(nodes)
        ]
        self.nodes = {record.host: _Node(self, record) for record in records}
        ordered = list(self.nodes.values())
        self.engines = [(f"e{i}", ordered[i % nodes]) for i in range(engines)]

    def position(self) -> int:
        """Returns the store's position."""
        return eras.position(self.store.era, self.store._revision)

    def deliver(self, host: str, port: int, message: Any) -> None:
        """Delivers a datagram after a millisecond."""
        node = self.nodes[host]
        self.reactor.callLater(0.001, node.peers.datagram, host, port, message)

    def play(self, seconds: float) -> None:
        """Advances the clock; engines write their entries."""
        for _ in range(round(seconds / STEP_S)):
            self.reactor.advance(STEP_S)
            self.store.run_due()

    def start(self) -> None:
        """Starts the nodes, which claim their engines."""
        for number, (name, _) in enumerate(self.engines):
            value = f"entry {number}".encode()
            put = store_lib.Put(f"servers/{name}", value)
            self.store.change({}, (put,), ())
        for node in self.nodes.values():
            node.session.start()
            node.follower.start()
        for _ in range(4):
            self.play(SETTLE_S / 4)
            for name, node in self.engines:
                node.session.claim(name)


def main() -> None:
    """Prints the calls for each return, by size of the fleet."""
    defer.setDebugging(False)
    for nodes, domains, engines in SIZES:
        fleet = Fleet(nodes, domains, engines)
        fleet.start()
        fleet.play(AGE_S + 3.0)
        fleet.calls.clear()
        fleet.play(AFTER_S)
        quiet = fleet.calls.copy()
        fleet.calls.clear()
        fleet.store.restore(AGE_S)
        fleet.play(AFTER_S)
        added = {k: fleet.calls[k] - quiet[k] for k in sorted(fleet.calls)}
        held = sum(len(n.session.held_terms) for n in fleet.nodes.values())
        print(
            f"{nodes} nodes, {engines} engines, {held} held: "
            + ", ".join(f"{kind} {count:+d}" for kind, count in added.items())
        )


if __name__ == "__main__":
    typer.run(main)
