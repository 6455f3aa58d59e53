"""A fleet on a virtual clock that knows software versions of servers."""

import random
from typing import Any

from twisted.internet import defer
from twisted.internet import task

from azureline.metrics import counters as metrics
from azureline.relay import keys
from azureline.relay import peers as peers_lib
from azureline.relay import servers
from azureline.relay import service_versions
from azureline.relay import stream_versions
from azureline.util import events
from tests import builders_relay
from tests import builders_store

NODES = tuple(f"n{number}" for number in range(5))
SERVICE = "llm"
STEP_S = 0.1
_SWEEP_STEPS = 5


class _Clock:
    def __init__(self, reactor: task.Clock):
        self.now = reactor.seconds


class Node:
    """One node's process."""

    def __init__(self, fleet: "Fleet", name: str):
        """Creates a process that knows nothing."""
        self.name = name
        self._fleet = fleet
        self.seen_revision = -1
        record = keys.NodeRecord(name, name, 1, "d1")
        clock = _Clock(fleet.reactor)
        counters = metrics.Counters()
        self.peers = peers_lib.Peers(record, clock, counters)
        self.peers._datagrams.send = self._send
        for other in NODES:
            self.peers.set_node(keys.NodeRecord(other, other, 1, "d1"))
        self.catalogue = servers.Catalogue()
        self.client = builders_store.FakeStoreClient(
            fleet.store, fleet.reactor, 0.5
        )
        self.versions = service_versions.ServiceVersions(
            fleet.reactor,
            clock,
            self.client,
            self.peers,
            self.catalogue,
            counters,
            events.null_log(),
        )
        self.client.on_return(lambda era: self.versions.removed())
        self.streams = stream_versions.StreamVersions(
            fleet.reactor,
            clock,
            self.peers,
            self.versions,
            self._is_view_current,
            counters,
        )

    async def _is_view_current(self) -> bool:
        """Follows the store; False if the node does not reach it."""
        if self.name in self._fleet.cut:
            return False
        self.follow()
        return True

    def _send(self, host: str, port: int, message: Any) -> None:
        if self._fleet.rng.random() >= self._fleet.loss:
            self._fleet.reactor.callLater(
                0.005, self._fleet.deliver, self.name, host, message
            )

    def follow(self) -> None:
        """Reads the record and the servers' entries."""
        item = self._fleet.store.items.get(keys.SOFTWARE_VERSIONS)
        revision = item.revision if item else 0
        if revision != self.seen_revision:
            self.seen_revision = revision
            if item is None:
                self.versions.removed()
            else:
                self.versions.changed(item)
        present = set(self._fleet.servers)
        for known in list(self.catalogue):
            if known.server_id not in present:
                self.catalogue.remove(known.server_id, 1e9)
        for entry in self._fleet.servers.values():
            known = self.catalogue.get(entry.server_id)
            self.versions.server_seen(entry)
            if known and known.software_version != entry.software_version:
                self.streams.server_replaced(entry)
            self.catalogue.update(entry)

    def sweep(self) -> None:
        """Runs the periodic removal of what is old."""
        self.versions.expire()
        self.streams.expire()


class Fleet:
    """Nodes, a store and the entries of servers."""

    def __init__(self, seed: int = 1):
        """Creates a fleet without servers."""
        self.reactor = task.Clock()
        self.rng = random.Random(seed)
        self.loss = 0.0
        # Nodes that reach neither the store nor other nodes.
        self.cut: set[str] = set()
        # Nodes that have failed, and whose records have not lapsed yet.
        self.down: set[str] = set()
        self.store = builders_store.FakeStore(self.reactor.seconds)
        self.servers: dict[str, servers.BackendServer] = {}
        self.nodes = {name: Node(self, name) for name in NODES}
        self._steps = 0

    def add_server(self, name: str, version: str, born_ms: int = 1) -> Any:
        """Adds or replaces a server's entry; returns it."""
        entry = builders_relay.server(
            name, "m0", software_version=version, born_ms=born_ms
        )
        self.servers[name] = entry
        return entry

    def restart(self, *names: str) -> None:
        """Replaces the processes of nodes."""
        for name in names:
            self.nodes[name].versions.close()
            self.nodes[name] = Node(self, name)
            self.nodes[name].follow()

    def deliver(self, source: str, host: str, message: Any) -> None:
        """Delivers a datagram to the current process of a node."""
        if (self.cut | self.down) & {source, host}:
            return
        self.nodes[host].peers.datagram(source, 1, message)

    def play(self, seconds: float) -> None:
        """Advances the clock."""
        for _ in range(round(seconds / STEP_S)):
            self.reactor.advance(STEP_S)
            self.store.run_due()
            self._steps += 1
            for node in self.nodes.values():
                if node.name not in self.cut:
                    node.follow()
                if self._steps % _SWEEP_STEPS == 0:
                    node.sweep()

    def find(self, name: str, stream: str, service: str = SERVICE) -> Any:
        """Returns a node's answer for a stream."""
        found = defer.ensureDeferred(
            self.nodes[name].streams.find(stream, service)
        )
        for _ in range(50):
            if not found.called:
                self.reactor.advance(0.01)
        return found.result
