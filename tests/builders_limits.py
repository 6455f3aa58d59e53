"""A simulated fleet on a virtual clock: nodes that send to limited servers."""

import collections
import random
from typing import Any
from typing import NamedTuple

from twisted.internet import defer

from azureline.metrics import counters as metrics
from azureline.platform import names
from azureline.relay import eligibility
from azureline.relay import granter
from azureline.relay import grants
from azureline.relay import keys
from azureline.relay import peers
from azureline.relay import server_choice
from azureline.relay import server_limits
from azureline.relay import server_notices
from azureline.relay import servers
from azureline.util import events
from azureline.util import http1
from tests import builders_relay
from tests import builders_serving

LEASE_S = 2.5
RENEW_S = 0.5
VALID_S = 1.5
OVERLAP_S = 1.9
# Delay of a change in the store until a node has it.
VIEW_S = 0.05
ANSWER_S = 0.02
PATIENCE_S = 1.0
# The rule: from this time after the first naming, in any window of this length.
CONTACT_S = 3.0
WINDOW_S = 4.0
RATIO = 1.5
SLACK = 5
# Calls of a process count once it has known of the limit for this time.
TOLD_S = 0.5


class Arrival(NamedTuple):
    """A call that reached a server, and whether its node knew of the limit."""

    at: float
    node: int
    told: bool


class _NodeReactor:
    """Schedules calls of one node, which wait while it is frozen."""

    def __init__(self, fleet: "Fleet", number: int):
        self._fleet = fleet
        self._number = number
        self.frozen = False
        self.dead = False
        self._held: list[Any] = []

    def callLater(self, seconds: float, function: Any, *args: Any) -> Any:  # noqa: N802
        return self._fleet.clock.callLater(seconds, self.run, function, *args)

    def run(self, function: Any, *args: Any) -> None:
        """Calls a function now, or when the node is thawed."""
        if self.frozen:
            self._held.append((function, args))
        elif not self.dead:
            function(*args)

    def thaw(self) -> None:
        """Ends a freeze and runs the held calls."""
        self.frozen = False
        held, self._held = self._held, []
        for function, args in held:
            self.run(function, *args)


class _Link:
    """Delivers datagrams of one node, with delay, loss and cuts."""

    def __init__(self, fleet: "Fleet", number: int):
        self._fleet = fleet
        self._number = number

    def send(self, host: str, port: int, message: Any) -> None:
        fleet, to = self._fleet, int(host[1:])
        if fleet.is_cut(self._number, to) or fleet.rng.random() < fleet.loss:
            return
        fleet.on_message(self._number, to, message)
        delay_s = fleet.rng.uniform(0.001, fleet.max_delay_s)
        fleet.clock.callLater(
            delay_s, fleet.deliver, to, f"h{self._number}", message
        )


class Node:
    """The components of one node that deal with limits."""

    def __init__(self, fleet: "Fleet", number: int):
        """Creates a node that knows the other nodes and the servers."""
        self._fleet = fleet
        self.number = number
        self.reactor = _NodeReactor(fleet, number)
        self.counters = metrics.Counters()
        record = fleet.records[number]
        self.peers = peers.Peers(record, fleet.clock, self.counters, fleet.rng)
        self.peers._datagrams = _Link(fleet, number)
        self.catalogue = servers.Catalogue()
        for server in fleet.servers:
            self.catalogue.update(server)
        self.eligibility = eligibility.Eligibility(self.catalogue)
        self.limits = self.eligibility.limits
        self.known_since: dict[server_limits.Incarnation, float] = {}
        log = events.null_log()
        self.notices = server_notices.ServerNotices(
            fleet.clock,
            fleet.rng,
            self.catalogue,
            self.eligibility,
            self.peers,
            lambda: None,
            self.counters,
            log,
        )
        self.grants = grants.GrantClient(
            self.reactor,
            fleet.clock,
            self.peers,
            self.limits,
            self.notices.limit_ended,
            self.counters,
            log,
        )
        self.choice = server_choice.ServerChoice(
            fleet.clock, self.eligibility, self.grants, self.counters
        )
        self.granter = granter.Granter(self.limits)
        self.grant_server = granter.GrantServer(
            fleet.clock,
            self.granter,
            self.limits,
            self.peers,
            self._standing,
            self.counters,
            log,
        )

    def _standing(self, server_id: str) -> granter.Standing:
        return self._fleet.standing(self.number, server_id)

    async def request(self, rank: int = 1) -> str:
        """Sends one request; returns "sent", "refused" or "late"."""
        fleet, began = self._fleet, self._fleet.clock.now()
        latest = began + PATIENCE_S
        while fleet.clock.now() <= latest:
            usable = list(self.catalogue.of_service("ledger"))
            fleet.rng.shuffle(usable)
            route = builders_relay.route(rank=rank, target_s=0.4)
            chosen = await self.choice.choose(usable, route, latest)
            if isinstance(chosen, server_choice.Chosen):
                if not self.choice.may_send(chosen):
                    continue
                fleet.waits.append(fleet.clock.now() - began)
                fleet.send(self, chosen.server)
                return "sent"
            decision = self.choice.decide_wait(chosen, latest, latest)
            if not hasattr(decision, "until"):
                return "refused"
            done: defer.Deferred[None] = defer.Deferred()
            wait_s = max(0.001, decision.until - fleet.clock.now())
            self.reactor.callLater(wait_s, done.callback, None)
            await done
        return "late"


class Fleet:
    """Nodes, servers that name limits, and the leases of the store."""

    def __init__(self, nodes: int = 4, servers: int = 1, seed: int = 1):
        """Creates a fleet in which no server names a limit."""
        self.clock = builders_serving.Clock()
        self.clock.advance(1000.0)
        self.rng = random.Random(seed)
        self.loss = 0.0
        self.max_delay_s = 0.02
        # Called with the sender, the receiver and each message between nodes.
        self.on_message: Any = lambda sender, receiver, message: None
        # Seconds from the arrival of each request until its call.
        self.waits: list[float] = []
        self.store_up = True
        self.servers = [
            builders_relay.server(f"s{n}", service="ledger")
            for n in range(servers)
        ]
        self.named: dict[str, float | None] = {}
        self.limits: dict[str, list[tuple[float, float | None]]] = (
            collections.defaultdict(list)
        )
        self.arrivals: dict[str, list[Arrival]] = collections.defaultdict(list)
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.records = [
            keys.NodeRecord(f"n{i}", f"h{i}", 1, f"d{i % 3}", 1000)
            for i in range(nodes)
        ]
        self.node_cuts: set[int] = set()
        self.store_cuts: set[int] = set()
        self._holder: dict[str, int] = {}
        self._claimed_at: dict[str, float] = {}
        self._renewed_at = dict.fromkeys(range(nodes), self.clock.now())
        self.nodes = [self._node(number) for number in range(nodes)]
        self._step()

    def _node(self, number: int) -> Node:
        node = Node(self, number)
        for other in self.records:
            node.peers.set_node(other)
        for name, holder in self._holder.items():
            node.peers.set_holder(name, self._holder_record(holder))
        return node

    def holder_of(self, server_id: str) -> int:
        """Returns the number of the node that holds a server's lease."""
        return self._holder[server_id]

    def is_cut(self, one: int, other: int) -> bool:
        """Returns whether two nodes cannot reach each other."""
        return one != other and bool({one, other} & self.node_cuts)

    def deliver(self, number: int, source: str, message: Any) -> None:
        """Delivers a datagram to the current process of a node."""
        node = self.nodes[number]
        node.reactor.run(node.peers.datagram, source, 1, message)

    def standing(self, number: int, server_id: str) -> granter.Standing:
        """Returns what a node itself takes its standing for."""
        node, now = self.nodes[number], self.clock.now()
        held = node.peers.holders.get(server_id)
        if held is None or held.node != node.peers.name:
            return granter.Standing.NONE
        alone_from = self._claimed_at[server_id] + OVERLAP_S
        is_alone = (
            now >= alone_from + granter.HORIZON_S
            and now < self._renewed_at[number] + VALID_S
        )
        return (
            granter.Standing.CERTAIN if is_alone else granter.Standing.UNCERTAIN
        )

    def restart(self, number: int) -> None:
        """Replaces a process by one that knows no limit."""
        self.nodes[number].reactor.dead = True
        self.nodes[number] = self._node(number)
        for _ in range(3):
            self.nodes[number].notices.request_limits()

    def name_limit(self, server_id: str, per_s: float | None) -> None:
        """Sets what a server's answers name from now on."""
        self.named[server_id] = per_s
        self.limits[server_id].append((self.clock.now(), per_s))

    def restart_server(self, index: int) -> None:
        """Replaces a server by a new start that names no limit."""
        server = self.servers[index]
        server = server._replace(born_ms=server.born_ms + 1)
        self.servers[index] = server
        if self.named.get(server.server_id) is not None:
            self.name_limit(server.server_id, None)
        for node in self.nodes:
            node.catalogue.update(server)

    def call(self, number: int, count: int = 1, rank: int = 1) -> None:
        """Lets callers send requests to a node."""
        node = self.nodes[number]
        for _ in range(count):
            node.reactor.run(self._start_request, node, rank)

    def _start_request(self, node: Node, rank: int) -> None:
        done = defer.ensureDeferred(node.request(rank))
        done.addCallback(lambda outcome: self.outcomes.update([outcome]))

    def send(self, node: Node, server: servers.BackendServer) -> None:
        """Carries a call to its server and the answer back."""
        sent_at = self.clock.now()
        known_at = node.known_since.get(server.incarnation, float("inf"))
        told = sent_at >= known_at + TOLD_S
        self.arrivals[server.server_id].append(
            Arrival(sent_at, node.number, told)
        )
        per_s = self.named.get(server.server_id)
        headers = () if per_s is None else ((names.LIMIT, b"%g" % per_s),)
        head = http1.Head(200, b"OK", headers)

        def answered() -> None:
            if per_s is None:
                node.known_since.pop(server.incarnation, None)
            else:
                node.known_since.setdefault(
                    server.incarnation, self.clock.now()
                )
            node.notices.heard(server, head, sent_at)

        node.reactor.callLater(ANSWER_S, answered)

    def advance(self, seconds: float) -> None:
        """Lets time pass."""
        ends_at = self.clock.now() + seconds
        while self.clock.now() < ends_at:
            self.clock.advance(min(0.01, ends_at - self.clock.now()))

    def _step(self) -> None:
        """Renews leases, lets them lapse and claims servers without one."""
        self.clock.callLater(0.1, self._step)
        if not self.store_up:
            return
        now = self.clock.now()
        for number, node in enumerate(self.nodes):
            if number not in self.store_cuts and not node.reactor.frozen:
                self._renewed_at[number] = now
        for server in self.servers:
            self._update_holder(server.server_id, now)

    def _update_holder(self, server_id: str, now: float) -> None:
        holder = self._holder.get(server_id)
        if (
            holder is not None
            and now < self._renewed_at[holder] + LEASE_S + RENEW_S
        ):
            return
        able = [
            number
            for number, node in enumerate(self.nodes)
            if number not in self.store_cuts
            and not node.reactor.frozen
            and any(name == server_id for (name, _), _ in node.limits)
        ]
        if not able:
            return
        number = self.rng.choice(able)
        had_holder = holder is not None
        self._holder[server_id] = number
        overlap_s = 0.0 if had_holder else -OVERLAP_S - granter.HORIZON_S
        self._claimed_at[server_id] = now + overlap_s
        for other in range(len(self.nodes)):
            self.clock.callLater(VIEW_S, self._view, other, server_id, number)

    def _view(self, number: int, server_id: str, holder: int) -> None:
        node = self.nodes[number]
        if number in self.store_cuts and number in self.node_cuts:
            # Neither the store nor a node that reads it tells this node.
            self.clock.callLater(VIEW_S, self._view, number, server_id, holder)
        elif self._holder[server_id] == holder:
            node.reactor.run(
                node.peers.set_holder, server_id, self._holder_record(holder)
            )

    def _holder_record(self, number: int) -> keys.HolderRecord:
        return keys.HolderRecord(f"n{number}", "x")

    def calls_in(self, server_id: str, begins: float, ends: float) -> int:
        """Returns the calls that reached a server between two times."""
        return sum(begins <= a.at < ends for a in self.arrivals[server_id])

    def violations(self) -> list[str]:
        """Returns the windows in which a server got more than it allows."""
        return [
            text
            for server in self.servers
            for text in self._violations_of(server.server_id)
        ]

    def _violations_of(self, server_id: str) -> list[str]:
        found = []
        changes = [*self.limits[server_id], (float("inf"), None)]
        first = None
        for (at, per_s), (until, _) in zip(changes, changes[1:], strict=False):
            if per_s is None:
                first = None
                continue
            first = at if first is None else first
            rows = [
                a.at
                for a in self.arrivals[server_id]
                if a.told and first + CONTACT_S <= a.at < until
            ]
            for row in rows:
                limit = self._highest(changes, max(first, row), row + WINDOW_S)
                allowed = RATIO * WINDOW_S * limit + SLACK
                count = sum(row <= other < row + WINDOW_S for other in rows)
                if count > allowed:
                    found.append(
                        f"{server_id}: {count} calls in {WINDOW_S:g} s from "
                        f"{row - first:.2f} s, {allowed:g} allowed"
                    )
        return found

    def _highest(
        self,
        changes: list[tuple[float, float | None]],
        begins: float,
        ends: float,
    ) -> float:
        """Returns the highest limit named in a period.

        A lower limit binds once the nodes have had time to hear of it.
        """
        return max(
            per_s
            for (at, per_s), (until, _) in zip(
                changes, changes[1:], strict=False
            )
            if per_s is not None and at < ends and until + CONTACT_S > begins
        )


def walk(seed: int, seconds: float = 60.0, nodes: int = 4) -> Fleet:
    """Plays steady demand and overlapping faults; returns the fleet."""
    rng = random.Random(seed)
    fleet = Fleet(nodes, seed=seed)
    fleet.name_limit("s0", rng.choice([1.0, 5.0, 10.0]))
    ends_at = fleet.clock.now() + seconds
    while fleet.clock.now() < ends_at:
        _inject(fleet, rng)
        callers = rng.choice([range(nodes), [rng.randrange(nodes)]])
        for _ in range(rng.randint(4, 60)):
            for node in callers:
                fleet.call(node, rng.choice([1, 1, 1, 5]))
            fleet.advance(0.05)
    return fleet


def _inject(fleet: Fleet, rng: random.Random) -> None:
    node = fleet.nodes[rng.randrange(len(fleet.nodes))]
    match rng.choice(
        ("freeze", "freeze", "cut", "store_cut", "restart", "limit", "network")
        + ("heal",) * 3
    ):
        case "freeze":
            node.reactor.frozen = True
        case "cut":
            fleet.node_cuts.add(node.number)
        case "store_cut":
            fleet.store_cuts.add(node.number)
        case "restart":
            fleet.restart(node.number)
        case "limit":
            fleet.name_limit("s0", rng.choice([0.5, 1.0, 5.0, 10.0, None]))
        case "network":
            fleet.loss = rng.choice([0.0, 0.1, 0.4])
            fleet.max_delay_s = rng.choice([0.02, 0.1, 1.0])
        case "heal":
            fleet.node_cuts.clear()
            fleet.store_cuts.clear()
            for frozen in fleet.nodes:
                frozen.reactor.thaw()
