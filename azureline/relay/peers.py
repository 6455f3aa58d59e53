"""Other nodes: who they are, who holds what, and datagrams to them."""

from collections.abc import Callable
import random
from typing import Any

from azureline.core import clock as clocks
from azureline.metrics import counters as metrics
from azureline.nodes import datagrams
from azureline.relay import keys
from azureline.relay import messages

# A failure domain with more nodes than this is told through some of them:
# bytes within a domain cost nothing.
_FEW = 4
# Nodes that pass one message on in their domain; any of them may be gone.
_PASSED_BY = 2


class Peers:
    """The nodes of the store's list, and the holders among them."""

    def __init__(
        self,
        record: keys.NodeRecord,
        clock: clocks.Clock,
        counters: metrics.Counters,
        rng: random.Random | None = None,
    ):
        """Creates the peers of a node that knows only itself."""
        self._rng = rng or random.Random()
        self._record = record
        self._clock = clock
        self._counters = counters
        self._nodes: dict[str, keys.NodeRecord] = {record.name: record}
        self._holders: dict[str, keys.HolderRecord] = {}
        self._last_turns: dict[str, str] = {}
        self._handlers: dict[type, Callable[[Any, str, int], None]] = {}
        self._datagrams = datagrams.Datagrams(self, counters, messages.codec())

    @property
    def own(self) -> keys.NodeRecord:
        """This node's record."""
        return self._record

    @property
    def name(self) -> str:
        """Name of this node's VM."""
        return self._record.name

    @property
    def domain(self) -> str:
        """This node's failure domain."""
        return self._record.domain

    @property
    def nodes(self) -> dict[str, keys.NodeRecord]:
        """The nodes by name, this one among them."""
        return self._nodes

    @property
    def holders(self) -> dict[str, keys.HolderRecord]:
        """The holders by what they hold."""
        return self._holders

    @property
    def last_turns(self) -> dict[str, str]:
        """Name of the VM whose turn was the last, by what it held."""
        return self._last_turns

    def listen(self, reactor: Any) -> Any:
        """Opens the socket; returns its port."""
        return reactor.listenUDP(
            self._record.port, self._datagrams, interface=self._record.host
        )

    def on(self, kind: type, handler: Callable[[Any, str, int], None]) -> None:
        """Names what takes messages of a kind: (message, host, port)."""
        self._handlers[kind] = handler

    def datagram(self, host: str, port: int, message: Any) -> None:
        """Takes a message of another node."""
        if isinstance(message, messages.ToDomain):
            self._pass_on(message.message)
            message = message.message
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(message, host, port)

    def set_node(self, record: keys.NodeRecord) -> None:
        """Takes a node's record."""
        self._nodes[record.name] = record

    def drop_node(self, name: str) -> None:
        """Forgets a node that is gone."""
        if name != self._record.name:
            self._nodes.pop(name, None)

    def set_holder(self, name: str, record: keys.HolderRecord | None) -> None:
        """Takes who holds something; None if nobody does."""
        if record is None:
            self._holders.pop(name, None)
        else:
            self._holders[name] = record

    def set_last_turn(self, name: str, record: keys.TurnRecord) -> None:
        """Takes whose turn was the last at something."""
        self._last_turns[name] = record.node

    def holder_of(self, name: str) -> keys.NodeRecord | None:
        """Returns the node that holds something, if it is known."""
        holder = self._holders.get(name)
        return self._nodes.get(holder.node) if holder else None

    def is_self(self, record: keys.NodeRecord) -> bool:
        """Returns whether a record is this node's."""
        return record.name == self._record.name

    def send(self, record: keys.NodeRecord, message: Any) -> None:
        """Sends a message to a node, also to this one; it may be lost."""
        if self.is_self(record):
            self.datagram(record.host, record.port, message)
        else:
            self._datagrams.send(record.host, record.port, message)

    def reply(self, host: str, port: int, message: Any) -> None:
        """Answers a message."""
        if (host, port) == (self._record.host, self._record.port):
            self.datagram(host, port, message)
        else:
            self._datagrams.send(host, port, message)

    def broadcast(self, message: Any) -> None:
        """Sends a message to every node.

        Nodes may get it twice, and later than the message after it.
        """
        domains: dict[str, list[keys.NodeRecord]] = {}
        for record in self._nodes.values():
            domains.setdefault(record.domain, []).append(record)
        for domain, records in domains.items():
            if domain == self.domain or len(records) <= _FEW:
                for record in records:
                    self.send(record, message)
                continue
            for record in self._rng.sample(records, _PASSED_BY):
                self.send(record, messages.ToDomain(message))

    def _pass_on(self, message: Any) -> None:
        """Sends a message to the other nodes of this failure domain."""
        if type(message) not in self._handlers:
            self._counters.count("datagrams.not_passed_on")
            return
        for record in list(self._nodes.values()):
            if record.domain == self.domain and not self.is_self(record):
                self.send(record, message)
