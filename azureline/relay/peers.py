"""Other nodes: their records, the lease holders, and datagrams to them."""

from collections.abc import Callable
import random
from typing import Any

from azureline.core import clock as clocks
from azureline.metrics import counters as metrics
from azureline.nodes import datagrams
from azureline.relay import keys
from azureline.relay import messages

# A broadcast to another failure domain with more nodes than this goes to some
# of them, which forward it, because traffic within a domain is free.
_MAX_DIRECT_NODES = 4
# Number of nodes that forward a message in their domain; more than one, since a
# node may have failed.
_FORWARDING_NODES = 2


class Peers:
    """The nodes and lease holders in the store, and messages to nodes."""

    def __init__(
        self,
        record: keys.NodeRecord,
        clock: clocks.Clock,
        counters: metrics.Counters,
        rng: random.Random | None = None,
    ):
        """Creates an instance that knows only this node.

        Args:
          record: this node's record.
          clock: monotonic clock.
          counters: counts messages that could not be forwarded.
          rng: chooses the nodes that forward broadcasts.
        """
        self._rng = rng or random.Random()
        self._record = record
        self._clock = clock
        self._counters = counters
        self._nodes: dict[str, keys.NodeRecord] = {record.name: record}
        self._is_listed = False
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
        """Node records by node name, including this node's."""
        return self._nodes

    @property
    def is_listed(self) -> bool:
        """Whether the store has this node's record, as far as is known."""
        return self._is_listed

    @property
    def holders(self) -> dict[str, keys.HolderRecord]:
        """Lease holder records by resource name."""
        return self._holders

    @property
    def last_turns(self) -> dict[str, str]:
        """Name of the last lease holder's VM by resource name."""
        return self._last_turns

    def listen(self, reactor: Any) -> Any:
        """Opens the UDP socket and returns its listening port."""
        return datagrams.listen(
            reactor, self._datagrams, self._record.host, self._record.port
        )

    def on(self, kind: type, handler: Callable[[Any, str, int], None]) -> None:
        """Sets the handler of a message type: (message, host, port)."""
        self._handlers[kind] = handler

    def datagram(self, host: str, port: int, message: Any) -> None:
        """Handles a message received from another node."""
        if isinstance(message, messages.ToDomain):
            self._forward(message.message)
            message = message.message
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(message, host, port)

    def set_node(self, record: keys.NodeRecord) -> None:
        """Adds or replaces a node's record."""
        self._nodes[record.name] = record
        if self.is_self(record):
            self._is_listed = True

    def drop_node(self, name: str) -> None:
        """Removes a node's record; this node stays in `nodes` without it."""
        if name == self._record.name:
            self._is_listed = False
        else:
            self._nodes.pop(name, None)

    def set_holder(self, name: str, record: keys.HolderRecord | None) -> None:
        """Sets the lease holder of a resource; None if there is none."""
        if record is None:
            self._holders.pop(name, None)
        else:
            self._holders[name] = record

    def set_last_turn(self, name: str, record: keys.TermRecord) -> None:
        """Sets the last term of a resource."""
        self._last_turns[name] = record.node

    def holder_of(self, name: str) -> keys.NodeRecord | None:
        """Returns the node that holds a resource; None if unknown."""
        holder = self._holders.get(name)
        return self._nodes.get(holder.node) if holder else None

    def is_self(self, record: keys.NodeRecord) -> bool:
        """Returns whether a record is this node's."""
        return record.name == self._record.name

    def send(self, record: keys.NodeRecord, message: Any) -> None:
        """Sends a message to a node, without a guarantee of delivery.

        A message to this node is handled at once.
        """
        if self.is_self(record):
            self.datagram(record.host, record.port, message)
        else:
            self._datagrams.send(record.host, record.port, message)

    def reply(self, host: str, port: int, message: Any) -> None:
        """Sends a message to the sender of a received message."""
        if (host, port) == (self._record.host, self._record.port):
            self.datagram(host, port, message)
        else:
            self._datagrams.send(host, port, message)

    def broadcast(self, message: Any) -> None:
        """Sends a message to every node.

        Nodes may receive it twice, or after a later message.
        """
        domains: dict[str, list[keys.NodeRecord]] = {}
        for record in self._nodes.values():
            domains.setdefault(record.domain, []).append(record)
        for domain, records in domains.items():
            if domain == self.domain or len(records) <= _MAX_DIRECT_NODES:
                for record in records:
                    self.send(record, message)
                continue
            for record in self._rng.sample(records, _FORWARDING_NODES):
                self.send(record, messages.ToDomain(message))

    def _forward(self, message: Any) -> None:
        """Sends a message to the other nodes of this failure domain."""
        if type(message) not in self._handlers:
            self._counters.count("datagrams.not_passed_on")
            return
        for record in list(self._nodes.values()):
            if record.domain == self.domain and not self.is_self(record):
                self.send(record, message)
