"""Membership state machines on a virtual clock and a simulated network."""

import heapq
import itertools
import random
from typing import NamedTuple

from azureline.fleet import membership
from azureline.fleet import messages
from azureline.nodes import messages as node_messages

TICK_S = 0.1
DELAY_S = 0.005
HEADER_BYTES = 28


class _Event(NamedTuple):
    at: float
    number: int
    target: str
    source: str
    message: object


class Network:
    """Simulates nodes on a network with partitions, losses and freezes.

    Attributes:
      now: virtual time in seconds.
      loss: probability that a datagram is lost.
      nodes: the running nodes by name.
      frozen: names of the nodes that neither run nor receive.
      cut: (source, target) pairs between which nothing is delivered.
      effects: time, node and effect of each effect so far.
      sent_bytes: bytes that each node has sent.
    """

    def __init__(self, seed: int, loss: float = 0.0):
        self.now = 0.0
        self.loss = loss
        self.nodes: dict[str, membership.Membership] = {}
        self.frozen: set[str] = set()
        self.broken_paths: set[tuple[str, str]] = set()
        self.effects: list[tuple[float, str, membership.Effect]] = []
        self.sent_bytes: dict[str, int] = {}
        self._codec = node_messages.codec()
        self._rng = random.Random(seed)
        self._queue: list[_Event] = []
        self._numbers = itertools.count()
        self._starts = itertools.count(1)

    def add(self, name: str, domain: str, seeds: tuple[str, ...]) -> None:
        """Starts or restarts a node."""
        self.nodes[name] = membership.Membership(
            name,
            member_info(name, domain),
            incarnation=next(self._starts) * 1000,
            seeds=tuple((seed, 1) for seed in seeds),
            rng=random.Random(self._rng.random()),
        )
        self.sent_bytes.setdefault(name, 0)

    def add_many(self, count: int, domains: int) -> list[str]:
        """Starts nodes spread over failure domains; the first is the seed."""
        names = [f"n{i}" for i in range(count)]
        for i, name in enumerate(names):
            self.add(name, f"d{i % domains}", ("n0",))
        return names

    def kill(self, name: str) -> None:
        """Stops a node without a message to the others."""
        del self.nodes[name]

    def in_domain(self, domain: str) -> list[str]:
        """Returns the names of the nodes in a failure domain."""
        return [n for n, m in self.nodes.items() if m.info.domain == domain]

    def partition(self, one: list[str], other: list[str]) -> None:
        """Partitions two groups of nodes from each other in both directions."""
        self.broken_paths |= {(a, b) for a in one for b in other}
        self.broken_paths |= {(b, a) for a in one for b in other}

    def run(self, seconds: float) -> None:
        """Advances the virtual time."""
        end = self.now + seconds
        while self.now < end:
            self.now = round(self.now + TICK_S, 6)
            self._deliver()
            for name in list(self.nodes):
                if name not in self.frozen:
                    self._run_effects(name, self.nodes[name].tick(self.now))

    def act(self, name: str, effects: list[membership.Effect]) -> None:
        """Runs the effects that a method of a node returned."""
        self._run_effects(name, effects)

    def states(self, target: str) -> set[membership.State | None]:
        """Returns the states in which the other running nodes have a node."""
        return {
            self._state(node, target)
            for name, node in self.nodes.items()
            if name != target and name not in self.frozen
        }

    def size_of(self, message: object) -> int:
        """Returns the size of a message on the wire in bytes."""
        return len(self._codec.pack(message)) + HEADER_BYTES

    def _state(self, node, target: str) -> membership.State | None:
        member = node.member(target)
        return member.state if member else None

    def _run_effects(
        self, source: str, effects: list[membership.Effect]
    ) -> None:
        for effect in effects:
            self.effects.append((self.now, source, effect))
            match effect:
                case membership.Datagram(host, _, message):
                    self._send(source, host, message, self.loss)
                case membership.LinkMessage(host, _, message):
                    self._send(source, host, message, 0.0)

    def _send(
        self, source: str, target: str, message: object, loss: float
    ) -> None:
        self.sent_bytes[source] += self.size_of(message)
        if (source, target) in self.broken_paths or self._rng.random() < loss:
            return
        at = self.now + DELAY_S * self._rng.uniform(1, 3)
        event = _Event(at, next(self._numbers), target, source, message)
        heapq.heappush(self._queue, event)

    def _deliver(self) -> None:
        while self._queue and self._queue[0].at <= self.now:
            event = heapq.heappop(self._queue)
            node = self.nodes.get(event.target)
            if node is None or event.target in self.frozen:
                continue
            message = self._codec.unpack(self._codec.pack(event.message))
            self._run_effects(
                event.target,
                node.received(self.now, event.source, 1, message),
            )


def member_info(name: str, domain: str) -> messages.MemberInfo:
    """Returns the member info of a node whose host is its name."""
    return messages.MemberInfo(name, 1, 2, domain, "r", 0, False)


def entry(key: str, epoch: int = 1) -> messages.GossipEntry:
    """Returns a gossip entry with a short value."""
    return messages.GossipEntry(key, epoch, 0, 0, b"value")
