"""Followers of one failure domain on a virtual clock, and their store."""

import random
from typing import Any

from twisted.internet import defer
from twisted.internet import task

from azureline.metrics import counters as metrics
from azureline.platform import eras
from azureline.platform import store as store_lib
from azureline.relay import follower
from azureline.relay import keys
from azureline.relay import peers as peers_lib
from azureline.util import events
from tests import builders_serving

DELAY_S = 0.004
WATCH_S = 0.4
PAUSE_S = 0.25
STEP_S = 0.01
_WATCH_MARGIN_S = 0.5
_READ_TIMEOUT_S = 1.0
_MAX_DELAY_S = 5.0


class Store:
    """A store that keeps a history of writes."""

    def __init__(self, reactor: task.Clock):
        """Creates a store without items."""
        self._reactor = reactor
        self.history: list[store_lib.Item] = []
        self._watches: list[defer.Deferred[None]] = []

    @property
    def revision(self) -> int:
        """The current revision."""
        return 10 + len(self.history)

    def write(self, key: str, value: bytes = b"x") -> None:
        """Writes an item and wakes the watches."""
        self.history.append(store_lib.Item(key, value, self.revision + 1))
        watches, self._watches = self._watches, []
        for watch in watches:
            if not watch.called:
                watch.callback(None)

    def after(self, revision: int) -> tuple[store_lib.Item, ...]:
        """Returns the writes after a revision."""
        return tuple(i for i in self.history if i.revision > revision)

    def wait(self, wait_s: float) -> defer.Deferred[None]:
        """Waits for a write, for some seconds at most."""
        watch: defer.Deferred[None] = defer.Deferred()
        self._watches.append(watch)
        self._reactor.callLater(
            wait_s, lambda: watch.called or watch.callback(None)
        )
        return watch


class _Client:
    """The store as one node reaches it."""

    def __init__(self, domain: "Domain", name: str):
        self._domain = domain
        self._name = name
        self.era = eras.FIRST_ERA
        # Reads of single items, and which of them get no answer.
        self.reads = 0
        self.lost_reads: set[int] = set()
        self.lost_keys: set[str] = set()

    def learn_era(self, era: int) -> None:
        """All is of one era."""

    async def list(self, prefix: str) -> Any:
        await self._travel()
        store = self._domain.store
        items = {item.key: item for item in store.history}
        revision = store.revision
        await self._travel()
        return store_lib.Listing(tuple(items.values()), revision)

    async def watch(self, prefix: str, after: int, wait_s: float) -> Any:
        return await self._within(
            wait_s + _WATCH_MARGIN_S, self._watch(after, wait_s)
        )

    async def _watch(self, after: int, wait_s: float) -> Any:
        await self._travel()
        store = self._domain.store
        if not store.after(after):
            await store.wait(wait_s)
        changes = store_lib.Changes(store.after(after), store.revision)
        await self._travel()
        return changes

    async def get(self, key: str) -> Any:
        self.reads += 1
        if self.reads in self.lost_reads or key in self.lost_keys:
            return await self._within(_READ_TIMEOUT_S, defer.Deferred())
        await self._travel()
        found = [i for i in self._domain.store.history if i.key == key]
        await self._travel()
        return found[-1] if found else None

    async def _travel(self) -> None:
        """Waits for a message to arrive; for ever if the node is cut off."""
        await task.deferLater(self._domain.clock, DELAY_S, lambda: None)
        if self._name in self._domain.cut:
            await defer.Deferred()

    async def _within(self, seconds: float, call: Any) -> Any:
        running = call
        if not isinstance(call, defer.Deferred):
            running = defer.ensureDeferred(call)
        running.addTimeout(seconds, self._domain.clock)
        try:
            return await running
        except defer.TimeoutError:
            return store_lib.Unavailable("timeout", may_have_applied=True)


class _Receiver:
    """Records when each key was seen first, and its latest value."""

    def __init__(self, clock: task.Clock):
        self._clock = clock
        self.seen_at: dict[str, float] = {}
        self.values: dict[str, bytes] = {}

    def listed(self, items: tuple[store_lib.Item, ...]) -> None:
        for item in items:
            self.changed(item)

    def changed(self, item: store_lib.Item) -> None:
        self.seen_at.setdefault(item.key, self._clock.seconds())
        self.values[item.key] = item.value

    def removed(self, key: str) -> None:
        """Nothing is removed."""

    def away(self) -> None:
        """The store does not answer."""

    def back(self, since: float) -> None:
        """The store answers."""


class Node:
    """A node of the domain."""

    def __init__(self, domain: "Domain", name: str, names: tuple[str, ...]):
        """Creates and starts a node."""
        counters = metrics.Counters()
        record = keys.NodeRecord(name, name, 1, "d1")
        self.peers = peers_lib.Peers(record, domain.clock, counters)
        self.peers._datagrams.send = domain.sender(name)
        for other in names:
            self.peers.set_node(keys.NodeRecord(other, other, 1, "d1"))
        self.client = _Client(domain, name)
        self.receiver = _Receiver(domain.clock)
        self.follower = follower.Follower(
            domain.clock,
            domain.clock,
            random.Random(name),
            self.client,
            self.peers,
            self.receiver,
            follower.Pace(WATCH_S, PAUSE_S),
            counters,
            events.null_log(),
        )
        self.follower.start()


class Domain:
    """The nodes of a failure domain; servers renew their entries."""

    def __init__(
        self, names: tuple[str, ...], seed: int, renewals_per_s: float = 7.0
    ):
        """Creates a domain and plays until the roles are settled."""
        self.clock = builders_serving.Clock()
        self.rng = random.Random(seed)
        self.store = Store(self.clock)
        # Nodes without a path to the store, and those that have failed.
        self.cut: set[str] = set()
        self.down: set[str] = set()
        self._renewals_per_s = renewals_per_s
        self._next_renewal_at = 0.0
        self.nodes = {name: Node(self, name, names) for name in names}
        self.play(4.0 + self.rng.random())

    def sender(self, source: str) -> Any:
        """Returns the function that sends the datagrams of a node."""

        def send(host: str, port: int, message: Any) -> None:
            if source not in self.down:
                self.clock.callLater(0.001, deliver, host, message)

        def deliver(host: str, message: Any) -> None:
            if host not in self.down:
                self.nodes[host].peers.datagram(source, 1, message)

        return send

    def with_role(self, *roles: Any) -> list[str]:
        """Returns the names of the nodes with one of these roles."""
        return [n for n, o in self.nodes.items() if o.follower.role in roles]

    def play(self, seconds: float) -> None:
        """Advances the clock."""
        ends_at = self.clock.seconds() + seconds
        while self.clock.seconds() < ends_at:
            self.clock.advance(STEP_S)
            if self._renewals_per_s and (
                self.clock.seconds() >= self._next_renewal_at
            ):
                self._next_renewal_at = (
                    self.clock.seconds()
                    + self.rng.expovariate(self._renewals_per_s)
                )
                self.store.write(f"servers/i-{self.rng.randrange(9)}")

    def delay_of(self, name: str, key: str, value: bytes = b"x") -> float:
        """Writes an item; returns the seconds until a node has it."""
        written_at = self.clock.seconds()
        self.store.write(key, value)
        self.play(_MAX_DELAY_S)
        seen_at = self.nodes[name].receiver.seen_at.get(key, float("inf"))
        return seen_at - written_at
