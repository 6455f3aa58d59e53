"""A simulated fleet on a virtual clock whose nodes share quotas."""

import collections
import random
from typing import Any
from typing import NamedTuple

from twisted.internet import defer

from azureline.metrics import counters as metrics
from azureline.quotas import client
from azureline.quotas import local_state
from azureline.quotas import ownership
from azureline.quotas import service
from azureline.relay import keys
from azureline.relay import messages
from azureline.relay import peers
from azureline.relay import routes
from azureline.relay import workspaces
from azureline.util import events
from tests import builders_relay
from tests import builders_serving

# The bound, as the platform checks it.
WINDOW_S = 8.0
OVER = 0.1
SLACK = 110_000
RATE = 288_475
# Time from the loss of a node to the end of its lease, and until nodes know.
LEASE_S = 2.5
VALID_S = 2.0
VIEW_S = 0.1
CONFIRM_S = 0.4
SWEEP_S = 0.5
STEP_S = 0.005


def quota(rate_per_s: float = RATE) -> workspaces.Quota:
    """Returns a quota in tokens with a burst of one second."""
    return workspaces.Quota(rate_per_s, rate_per_s, True, 200)


class Arrival(NamedTuple):
    """A request that reached an engine."""

    at: float
    workspace: str
    amount: int


class _Reactor:
    """Schedules calls of one node, which wait while it is frozen."""

    def __init__(self, clock: builders_serving.Clock):
        self._clock = clock
        self.frozen = False
        self.dead = False
        self._held: list[Any] = []

    def callLater(self, seconds: float, function: Any, *args: Any) -> Any:  # noqa: N802
        return self._clock.callLater(seconds, self.run, function, *args)

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
        fleet.sent[type(message)] += 1
        cut = (self._number in fleet.cut) != (to in fleet.cut)
        if self._number in fleet.alone or to in fleet.alone:
            cut = True
        if cut or fleet.rng.random() < fleet.loss or to not in fleet.nodes:
            return
        node = fleet.nodes[to]
        fleet.clock.callLater(
            fleet.rng.uniform(0.0005, 0.01),
            node.reactor.run,
            node.peers.datagram,
            f"h{self._number}",
            1,
            message,
        )


class Node:
    """The components of one node that deal with quotas."""

    def __init__(self, fleet: "Fleet", number: int):
        """Creates a node that knows no other node."""
        self.reactor = _Reactor(fleet.clock)
        self.counters = metrics.Counters()
        self.confirmed_at = float("-inf")
        record = fleet.record(number)
        self.peers = peers.Peers(record, fleet.clock, self.counters, fleet.rng)
        self.peers._datagrams = _Link(fleet, number)
        self.table = routes.RouteTable(fleet.rng)
        self.ownership = ownership.Ownership(
            record,
            self.peers.nodes,
            lambda: self.peers.is_listed,
            lambda: self.confirmed_at,
            VALID_S,
        )
        self.client = client.QuotaClient(
            self.reactor,
            fleet.clock,
            fleet.rng,
            self.peers,
            self.ownership,
            self.table,
            self.counters,
            events.null_log(),
        )
        self.service = service.QuotaService(
            fleet.clock, self.peers, self.ownership, self.table, self.counters
        )


class Fleet:
    """Nodes, their view of the store, and engines that count tokens.

    Attributes:
      nodes: the processes by number.
      cut: nodes without contact to the store and to nodes outside this set.
      alone: nodes that reach the store but no other node.
      leaving: nodes that have removed their records and still take requests.
      store_up: whether the store answers.
      loss: part of the datagrams that are lost.
      granted: tokens granted by workspace.
      refused: requests refused by workspace.
      sent: datagrams sent, by type.
    """

    def __init__(
        self,
        nodes: int = 8,
        quotas: dict[str, workspaces.Quota] | None = None,
        seed: int = 1,
        warm_s: float = 5.0,
    ):
        """Creates a fleet whose buckets have had time to fill."""
        self.clock = builders_serving.Clock()
        self.clock.advance(1000.0)
        self.rng = random.Random(seed)
        self.loss = 0.0
        self.cut: set[int] = set()
        self.alone: set[int] = set()
        self.leaving: set[int] = set()
        self.store_up = True
        self.arrivals: list[Arrival] = []
        self.granted: collections.Counter[str] = collections.Counter()
        self.refused: collections.Counter[str] = collections.Counter()
        self.sent: collections.Counter[type] = collections.Counter()
        self.nodes: dict[int, Node] = {}
        self._lost_at: dict[int, float] = {}
        self._listed: set[int] = set()
        self._version = 1
        self._quotas = {"w0": quota()} if quotas is None else quotas
        for number in range(nodes):
            self.start(number)
        self._step()
        self.advance(warm_s)

    def record(self, number: int) -> keys.NodeRecord:
        """Returns the record of a node."""
        return keys.NodeRecord(f"n{number}", f"h{number}", 1, "d0", 1000)

    def start(self, number: int) -> None:
        """Starts the process of a node, which enters itself in the store."""
        if number in self.nodes:
            self.nodes[number].reactor.dead = True
        self._lost_at.pop(number, None)
        node = self.nodes[number] = Node(self, number)
        self._configure(node)
        self._sweep(node)
        self._confirm(number, node)

    def kill(self, number: int) -> None:
        """Ends a node without a planned stop."""
        self.nodes.pop(number).reactor.dead = True

    def owner(self, workspace: str = "w0") -> int:
        """Returns the number of a workspace's owner in the latest view."""
        node = next(
            self.nodes[n] for n in sorted(self._listed) if n in self.nodes
        )
        return int(node.ownership.owner_of(workspace).name[1:])

    def set_quotas(self, quotas: dict[str, workspaces.Quota]) -> None:
        """Puts another configuration in force."""
        self._quotas = quotas
        self._version += 1
        for node in self.nodes.values():
            delay_s = self.rng.uniform(0.01, VIEW_S)
            node.reactor.callLater(delay_s, self._configure, node)

    def call(
        self, number: int, amount: int, workspace: str = "w0", ran: bool = True
    ) -> None:
        """Lets a caller send a request to a node."""
        if number in self.nodes:
            node = self.nodes[number]
            node.reactor.run(self._call, node, workspace, amount, ran)

    def demand(
        self,
        seconds: float,
        nodes: list[int],
        per_s: float,
        workspace: str = "w0",
        amount: int = 1000,
    ) -> None:
        """Lets callers want tokens at a steady rate, spread over nodes."""
        began, made = self.clock.now(), 0

        def step() -> None:
            # Only the next step is scheduled, since the test clock sorts all
            # its calls at each one.
            nonlocal made
            elapsed_s = min(self.clock.now() - began, seconds)
            while made < elapsed_s * per_s / amount:
                self.call(self.rng.choice(nodes), amount, workspace)
                made += 1
            if elapsed_s < seconds:
                self.clock.callLater(STEP_S, step)

        step()

    def advance(self, seconds: float) -> None:
        """Lets time pass."""
        self.clock.pump([STEP_S] * round(seconds / STEP_S))

    def heaviest(self, workspace: str = "w0", since: float = 0.0) -> float:
        """Returns the most tokens that arrived in any window of the bound."""
        rows = [
            a
            for a in self.arrivals
            if a.workspace == workspace and a.at >= since
        ]
        most, total, first = 0, 0, 0
        for row in rows:
            total += row.amount
            while rows[first].at < row.at - WINDOW_S:
                total -= rows[first].amount
                first += 1
            most = max(most, total)
        return most

    def allowed(self, of: workspaces.Quota, slack: float = SLACK) -> float:
        """Returns the most tokens that the bound allows in a window."""
        return (of.rate_per_s * WINDOW_S + of.burst) * (1 + OVER) + slack

    def tokens(self, workspace: str, since: float = 0.0) -> int:
        """Returns the tokens that arrived since a time."""
        return sum(
            a.amount
            for a in self.arrivals
            if a.workspace == workspace and a.at >= since
        )

    def count(self, name: str) -> int:
        """Returns a counter's sum over the nodes."""
        return sum(n.counters.get(name) for n in self.nodes.values())

    def _call(self, node: Node, workspace: str, amount: int, ran: bool) -> None:
        of = node.client.quota_of(workspace)
        if of is None:
            self._decided(True, node, workspace, amount, ran)
            return
        done = defer.ensureDeferred(node.client.acquire(workspace, of, amount))
        done.addCallback(self._decided, node, workspace, amount, ran)

    def _decided(
        self, decision: Any, node: Node, workspace: str, amount: int, ran: bool
    ) -> None:
        if not decision:
            self.refused[workspace] += 1
        elif ran:
            self.granted[workspace] += amount
            self.arrivals.append(Arrival(self.clock.now(), workspace, amount))
        elif isinstance(decision, local_state.Grant):
            node.client.give_back(decision)

    def _configure(self, node: Node) -> None:
        config = builders_relay.config(self._version)._replace(
            workspaces=tuple(
                workspaces.Workspace(name, frozenset(), None, of)
                for name, of in self._quotas.items()
            )
        )
        node.table.put_in_force(config)

    def _sweep(self, node: Node) -> None:
        node.reactor.callLater(SWEEP_S, self._sweep, node)
        node.client.expire()
        node.service.update()

    def _reaches_store(self, number: int) -> bool:
        node = self.nodes.get(number)
        return (
            self.store_up
            and node is not None
            and number not in self.cut
            and not node.reactor.frozen
        )

    def _step(self) -> None:
        """Renews leases, lets them end and spreads the list of nodes."""
        self.clock.callLater(0.1, self._step)
        if not self.store_up:
            self._lost_at.clear()
            return
        now = self.clock.now()
        before = set(self._listed)
        for number in self._listed | set(self.nodes):
            if number in self.leaving:
                self._listed.discard(number)
            elif self._reaches_store(number):
                self._lost_at.pop(number, None)
                self._listed.add(number)
            elif now - self._lost_at.setdefault(number, now) > LEASE_S:
                self._listed.discard(number)
        if self._listed != before:
            for number, node in self.nodes.items():
                delay_s = self.rng.uniform(0.01, VIEW_S)
                self.clock.callLater(delay_s, self._view, number, node)

    def _view(self, number: int, node: Node) -> None:
        if not self._reaches_store(number):
            return
        for other in self._listed:
            node.peers.set_node(self.record(other))
        for name in list(node.peers.nodes):
            if int(name[1:]) not in self._listed:
                node.peers.drop_node(name)

    def _confirm(self, number: int, node: Node) -> None:
        """Confirms the view of a node that reaches the store."""
        node.reactor.callLater(CONFIRM_S, self._confirm, number, node)
        if self.nodes.get(number) is node and self._reaches_store(number):
            self._view(number, node)
            node.confirmed_at = self.clock.now()


def charge_request(
    amount: int,
    number: int = 1,
    of: workspaces.Quota | None = None,
    **fields: Any,
) -> messages.QuotaRequest:
    """Returns a request to an owner."""
    of = of or quota()
    values = {
        "number": number,
        "workspace": "w0",
        "amount": amount,
        "rate_per_s": of.rate_per_s,
        "burst": of.burst,
        "version": 1,
        **fields,
    }
    return messages.QuotaRequest(**values)
