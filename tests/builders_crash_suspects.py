"""A simulated fleet on a virtual clock: nodes and servers that crash."""

import functools
import random
from typing import Any
from typing import NamedTuple

from twisted.internet import defer
from twisted.internet import task

from azureline.core import errors
from azureline.metrics import counters as metrics
from azureline.platform import eras
from azureline.platform import store as store_lib
from azureline.relay import assignment as assignments
from azureline.relay import crash_detection
from azureline.relay import crash_suspects
from azureline.relay import keys
from azureline.relay import peers
from azureline.relay import request_identity
from azureline.relay import requests
from azureline.util import events
from tests import builders_relay
from tests import builders_serving

SERVICE = "ledger"
# Seconds until a node has detected a server crash.
SEEN_S = 0.025
# Seconds until a crashed server runs again.
BACK_S = 1.5
# Seconds that a deadly request runs until its server crashes.
DEADLY_S = 0.05
# Delay of an answer of the store in seconds.
STORE_S = 0.004
# Seconds after which callers leave.
PATIENCE_S = 3.0


class _LossyLink:
    """Delivers datagrams of one node, with delay and loss."""

    def __init__(self, fleet: "Fleet", host: str):
        self._fleet = fleet
        self._host = host

    def send(self, host: str, port: int, message: Any) -> None:
        fleet = self._fleet
        if fleet.rng.random() >= fleet.loss:
            delay_s = fleet.rng.uniform(0.001, 0.03)
            fleet.clock.callLater(
                delay_s, fleet.deliver, host, self._host, port, message
            )


class SharedStore:
    """The platform's store: one key with compare-and-swap, and its watches."""

    def __init__(self, fleet: "Fleet"):
        """Creates an empty store that answers."""
        self._fleet = fleet
        self.item: store_lib.Item | None = None
        self.revision = 10
        self.calls = 0
        self.is_down = False

    def client(self, number: int) -> "StoreClient":
        """Returns the client of a node."""
        return StoreClient(self, self._fleet, number)

    def apply(self, expected: dict[str, int], puts: Any) -> Any:
        """Runs a transaction and tells all nodes that reach the store."""
        self.calls += 1
        ((_, revision),) = expected.items()
        present = self.item.revision if self.item else 0
        if revision != present:
            return store_lib.Conflict((self.item,) if self.item else ())
        self.revision += 1
        self.item = store_lib.Item(puts[0].key, puts[0].value, self.revision)
        for number in range(len(self._fleet.records)):
            if number not in self._fleet.cut:
                self._fleet.clock.callLater(0.01, self.tell, number)
        return store_lib.Committed(self.revision)

    def restore(self, item: store_lib.Item | None) -> None:
        """Returns from a copy with an item; tells the nodes that reach it."""
        era = eras.era_of(self.revision) + 1
        self.revision = eras.position(era, 10)
        if item is not None:
            at = eras.position(era, eras.revision_of(item.revision))
            item = item._replace(revision=at)
            self.revision = at
        self.item = item
        for number, node in enumerate(self._fleet.nodes):
            node.crash_suspects.record.store_returned()
            self.tell(number)

    def tell(self, number: int) -> None:
        """Shows a node what is stored."""
        if self.item is not None and number not in self._fleet.frozen:
            self._fleet.nodes[number].crash_suspects.record.changed(self.item)


class StoreClient(NamedTuple):
    """A node's client of the store."""

    store: SharedStore
    fleet: "Fleet"
    number: int

    async def transact(self, expected: dict[str, int], puts: Any) -> Any:
        """Runs a transaction after the store's delay."""
        await task.deferLater(self.fleet.clock, STORE_S, lambda: None)
        if self.store.is_down or self.number in self.fleet.cut:
            return store_lib.Unavailable("down", may_have_applied=False)
        return self.store.apply(expected, puts)


class Node(NamedTuple):
    """The simulated components of one node."""

    peers: peers.Peers
    crash_suspects: crash_suspects.CrashSuspects


class Run(NamedTuple):
    """The start of a request on a server."""

    at: float
    server: str
    content: bytes


class PartRun(NamedTuple):
    """The start of a prompt with a deadly part on a server."""

    part: str
    at: float
    node: int


class PartCrash(NamedTuple):
    """A crash that a deadly part caused."""

    part: str
    at: float


class _Disturbance(NamedTuple):
    """A time in which a node was not in touch with others."""

    node: int
    begins: float
    ends: float


class _Running(NamedTuple):
    """A request that a server runs.

    Attributes:
      node: number of the node that sent it.
      request: the request.
      begun: whether its answer has begun; a list, so that it can change.
      ended: fired with whether the run was completed.
    """

    node: int
    request: Any
    begun: list[bool]
    ended: defer.Deferred[bool]


class Fleet:
    """Nodes and servers.

    A `deadly` body and a part in `deadly_parts` crash the server that runs
    them.
    """

    def __init__(
        self, seed: int = 1, nodes: int = 5, servers: int = 6, loss: float = 0.0
    ):
        """Creates a fleet without requests.

        Args:
          seed: seed of all random choices.
          nodes: number of nodes.
          servers: number of servers.
          loss: share of the datagrams that are lost.
        """
        self.clock = builders_serving.Clock()
        self.clock.advance(1000.0 - 2 * crash_suspects.CAREFUL_S)
        self.rng = random.Random(seed)
        self.loss = loss
        self.servers = [f"s{number}" for number in range(servers)]
        self.back_at = dict.fromkeys(self.servers, 0.0)
        self.born = dict.fromkeys(self.servers, 1)
        self.at_servers: dict[str, list[Any]] = {s: [] for s in self.servers}
        self.runs: list[Run] = []
        self.ends: list[float] = []
        self.deadly_parts: set[str] = set()
        self.part_runs: list[PartRun] = []
        self.part_crashes: list[PartCrash] = []
        self.starts = [0] * nodes
        self._disturbances: list[_Disturbance] = []
        self.store = SharedStore(self)
        # Nodes that reach neither the store nor other nodes, and nodes that
        # stand still.
        self.cut: set[int] = set()
        self.frozen: set[int] = set()
        self.records = [
            keys.NodeRecord(f"n{i}", f"h{i}", 1, f"d{i % 2}", 1000)
            for i in range(nodes)
        ]
        self.nodes: list[Node] = []
        for number in range(nodes):
            self.nodes.append(self._node(number))
        self.play(2 * crash_suspects.CAREFUL_S)

    def _node(self, number: int) -> Node:
        record = self.records[number]
        counters = metrics.Counters()
        found = peers.Peers(record, self.clock, counters, self.rng)
        found._datagrams = _LossyLink(self, record.host)
        for other in self.records:
            found.set_node(other)
        part = crash_suspects.CrashSuspects(
            self.clock,
            self.clock,
            self.rng,
            found,
            self.store.client(number),
            lambda server: None,
            lambda server: None,
            self.born.get,
            counters,
            events.null_log(),
        )
        part.start()
        return Node(found, part)

    def restart(self, number: int) -> None:
        """Replaces a node by one that knows what is stored."""
        self._disturb(number, 0.0)
        self.starts[number] += 1
        self.nodes[number].crash_suspects.close()
        self.nodes[number] = self._node(number)
        if number not in self.cut and not self.store.is_down:
            self.store.tell(number)

    def cut_off(self, number: int, seconds: float) -> None:
        """Cuts a node off from the store and all other nodes for a time."""
        self._disturb(number, seconds)
        self.cut.add(number)
        self.clock.callLater(seconds, self._reconnect, self.cut, number)

    def freeze(self, number: int, seconds: float) -> None:
        """Suspends a node for a time."""
        self._disturb(number, seconds)
        self.frozen.add(number)
        self.clock.callLater(seconds, self._reconnect, self.frozen, number)

    def store_down(self, seconds: float) -> None:
        """Stops the store for a time; then no node is in touch."""
        for number in range(len(self.records)):
            self._disturb(number, seconds)
        self.store.is_down = True
        self.clock.callLater(seconds, setattr, self.store, "is_down", False)

    def in_touch(self, number: int, at: float, contact_s: float) -> bool:
        """Returns whether a node was undisturbed for `contact_s` until `at`."""
        return not any(
            one.node == number
            and one.begins <= at
            and one.ends >= at - contact_s
            for one in self._disturbances
        )

    def _disturb(self, number: int, seconds: float) -> None:
        now = self.clock.now()
        self._disturbances.append(_Disturbance(number, now, now + seconds))

    def _reconnect(self, disturbed: set[int], number: int) -> None:
        disturbed.discard(number)
        if number not in self.cut and not self.store.is_down:
            self.store.tell(number)

    def deliver(self, host: str, source: str, port: int, message: Any) -> None:
        """Delivers a datagram to the current node at an address."""
        number = int(host[1:])
        if {number, int(source[1:])} & (self.cut | self.frozen):
            return
        self.nodes[number].peers.datagram(source, port, message)

    def up(self) -> list[str]:
        """Returns the servers that are running."""
        now = self.clock.now()
        return [s for s in self.servers if self.back_at[s] <= now]

    def usable(self) -> assignments.UsableServers:
        """Returns the running servers; all nodes see the same ones."""
        up = self.up()
        return assignments.UsableServers(tuple(up), len(up), len(self.servers))

    def request(self, body: bytes, parts: str = "") -> Any:
        """Returns a request.

        Args:
          body: its body.
          parts: names of the shared parts of its prompt, separated by commas.
        """
        own = f"own-{body.hex()}"
        names = [*parts.split(","), own] if parts else []
        return builders_relay.request(
            body=body,
            parts=tuple(requests.PromptPart(name, 10) for name in names),
        )

    def check(self, number: int, body: bytes, parts: str = "") -> Any:
        """Returns a node's decision on a request, or its deferred."""
        node, request = self.nodes[number], self.request(body, parts)
        deadline = self.clock.now() + PATIENCE_S
        permit = defer.ensureDeferred(
            node.crash_suspects.acquire_permit(
                request, SERVICE, self.usable, deadline
            )
        )
        self.play(2 * STORE_S)
        return permit.result if permit.called else permit

    def end(self, server: str, *bodies: bytes, seen_by: int = 0) -> None:
        """Reports a server crash during requests of one node."""
        contents = (
            request_identity.content_digest(self.request(b)) for b in bodies
        )
        self._report_end(server, tuple(contents), seen_by)

    def end_prompt(self, server: str, body: bytes, parts: str) -> None:
        """Reports a server crash before the answer to a prompt began."""
        self._report_end(server, _accused(self.request(body, parts)), 0)

    def clear(self, parts: str, number: int = 0) -> None:
        """Reports that an answer to a prompt has begun."""
        request = self.request(b"clears", parts)
        self.nodes[number].crash_suspects.answer_begun(request, SERVICE)

    def _report_end(
        self, server: str, signatures: tuple[bytes, ...], seen_by: int
    ) -> None:
        now = self.clock.now()
        crash = crash_detection.ServerCrash(
            builders_relay.server(
                server, service=SERVICE, born_ms=1 + int(1000 * now)
            ),
            now,
            signatures,
        )
        self.nodes[seen_by].crash_suspects.server_crashed(crash)

    async def send(
        self, number: int, body: bytes, parts: str = "", attempts: int = 2
    ) -> str:
        """Sends a request through a node and returns its outcome."""
        deadline = self.clock.now() + PATIENCE_S
        request = self.request(body, parts)
        start = self.starts[number]
        for _ in range(attempts):
            part = self.nodes[number].crash_suspects
            permit = await part.acquire_permit(
                request, SERVICE, self.usable, deadline
            )
            if self.starts[number] != start or number in self.frozen:
                return "lost"
            if isinstance(permit, errors.Refusal):
                return permit.kind.value
            server = permit.server_id or self.rng.choice(self.up() or [""])
            if server not in self.up():
                await task.deferLater(self.clock, 0.05, lambda: None)
                continue
            part.send_started(permit)
            whole = await self._run(server, number, request)
            part.send_ended(permit, None if whole else self._see_crash)
            if self.starts[number] != start:
                return "lost"
            if whole:
                part.request_completed(request, SERVICE)
                return "served"
            if permit.content or parts:
                await task.deferLater(self.clock, SEEN_S, lambda: None)
        return "broken"

    async def _see_crash(self) -> None:
        await task.deferLater(self.clock, SEEN_S, lambda: None)

    async def _run(self, server: str, number: int, request: Any) -> bool:
        running = _Running(number, request, [], defer.Deferred())
        self.at_servers[server].append(running)
        now = self.clock.now()
        content = request_identity.content_digest(request)
        self.runs.append(Run(now, server, content))
        deadly = [
            part.name
            for part in request.shared_parts
            if part.name in self.deadly_parts
        ]
        self.part_runs += [PartRun(name, now, number) for name in deadly]
        if deadly or request.body.startswith(b"deadly"):
            self.clock.callLater(
                DEADLY_S, self._crash_by, server, running, deadly
            )
        else:
            begins_s = self.rng.uniform(0.02, 0.2)
            ends_s = begins_s + self.rng.uniform(0.03, 0.3)
            self.clock.callLater(begins_s, self._begin_answer, server, running)
            self.clock.callLater(ends_s, self._finish, server, running)
        return await running.ended

    def _begin_answer(self, server: str, running: _Running) -> None:
        if running in self.at_servers[server]:
            running.begun.append(True)
            if running.node not in self.frozen:
                part = self.nodes[running.node].crash_suspects
                part.answer_begun(running.request, SERVICE)

    def _finish(self, server: str, running: _Running) -> None:
        if running in self.at_servers[server]:
            self.at_servers[server].remove(running)
            running.ended.callback(True)

    def _crash_by(
        self, server: str, running: _Running, deadly: list[str]
    ) -> None:
        if running in self.at_servers[server]:
            now = self.clock.now()
            self.part_crashes += [PartCrash(name, now) for name in deadly]
            self.crash(server)

    def crash(self, server: str) -> None:
        """Crashes a server with all that it runs; it is back after BACK_S."""
        now = self.clock.now()
        if self.back_at[server] > now:
            return
        born, self.born[server] = self.born[server], int(now * 1000) + 2
        self.back_at[server] = now + BACK_S
        self.ends.append(now)
        entries, self.at_servers[server] = self.at_servers[server], []
        by_node: dict[int, list[bytes]] = {}
        for entry in entries:
            accused = _accused(entry.request)
            if entry.begun:
                accused = accused[:1]
            by_node.setdefault(entry.node, []).extend(accused)
        known = builders_relay.server(server, service=SERVICE, born_ms=born)
        for number, signatures in by_node.items():
            crash = crash_detection.ServerCrash(
                known, now, tuple(dict.fromkeys(signatures))
            )
            self.clock.callLater(
                SEEN_S, self._report_crash, number, self.starts[number], crash
            )
        for entry in entries:
            self.clock.callLater(0.002, entry.ended.callback, False)

    def _report_crash(
        self, number: int, start: int, crash: crash_detection.ServerCrash
    ) -> None:
        if self.starts[number] == start and number not in self.frozen:
            self.nodes[number].crash_suspects.server_crashed(crash)

    def begin(
        self, number: int, body: bytes, answers: list[str], parts: str = ""
    ) -> None:
        """Sends a request and appends its outcome to `answers`."""
        if number in self.frozen:
            answers.append("lost")
            return
        sending = defer.ensureDeferred(self.send(number, body, parts))
        sending.addCallback(answers.append)

    def call(
        self,
        at: float,
        number: int,
        body: bytes,
        answers: list[str],
        parts: str = "",
    ) -> None:
        """Sends a request after `at` seconds."""
        later = functools.partial(self.begin, number, body, answers, parts)
        self.clock.callLater(at, later)

    def play(self, seconds: float) -> None:
        """Advances the clock, call by call."""
        until = self.clock.now() + seconds
        while self.clock.calls and self.clock.calls[0].getTime() <= until:
            due = self.clock.calls[0].getTime()
            self.clock.advance(max(0.0, due - self.clock.now()))
        self.clock.advance(until - self.clock.now())


def _accused(request: requests.CallerRequest) -> tuple[bytes, ...]:
    """Returns what a crash accuses before the answer has begun."""
    content = request_identity.content_digest(request)
    return (content, *request_identity.part_signatures(request))
