"""The other nodes: membership, gossip entries and messages in one place.

This is the only owner of a node's sockets to other nodes.  Other parts of the
node subscribe to the messages and gossip entries that concern them.
"""

from collections.abc import Callable
import random
from typing import Any

from absl import logging
from twisted.internet import task

from azureline.core import clock as clocks
from azureline.fleet import membership as membership_lib
from azureline.fleet import messages as fleet_messages
from azureline.metrics import counters as metrics
from azureline.nodes import datagrams
from azureline.nodes import links as links_lib
from azureline.nodes import messages

TICK_S = 0.2

MessageHandler = Callable[[str, Any], None]
EntryHandler = Callable[[fleet_messages.GossipEntry, str], None]
MemberHandler = Callable[[membership_lib.Member], None]


class Neighbours:
    """Sends to, and hears from, the other nodes."""

    def __init__(
        self,
        reactor: Any,
        name: str,
        info: fleet_messages.MemberInfo,
        seeds: tuple[tuple[str, int], ...],
        clock: clocks.Clock,
        rng: random.Random,
        counters: metrics.Counters,
        timing: links_lib.Timing,
    ):
        """Creates the node's view of its neighbours; no socket is opened.

        Args:
          reactor: the Twisted reactor.
          name: name of this node's VM.
          info: what this node says about itself.
          seeds: link addresses to ask for the state of the fleet.
          clock: source of time.
          rng: source of randomness.
          counters: counts messages and failures.
          timing: intervals and timeouts of the streams.
        """
        self._reactor = reactor
        self._clock = clock
        self._counters = counters
        incarnation = int(clock.wall() * 1000)
        self._membership = membership_lib.Membership(
            name, info, incarnation, seeds, rng
        )
        address = links_lib.Address(info.host, info.port)
        self._links = links_lib.Links(
            reactor, name, address, self, clock, counters, timing
        )
        self._datagrams = datagrams.Datagrams(self, counters, messages.codec())
        self._udp: Any = None
        self._ticker = task.LoopingCall(self._on_tick)
        self._ticker.clock = reactor
        self._handlers: dict[type, MessageHandler] = {}
        self._entry_handlers: dict[str, EntryHandler] = {}
        self._member_handlers: list[MemberHandler] = []
        self._lost_handlers: list[Callable[[str], None]] = []
        self._domain_handlers: list[Callable[[frozenset[str]], None]] = []

    @property
    def membership(self) -> membership_lib.Membership:
        """The view of which nodes live."""
        return self._membership

    async def start(self) -> None:
        """Opens the sockets and starts probing."""
        info = self._membership.info
        await self._links.listen()
        self._udp = self._reactor.listenUDP(
            info.port, self._datagrams, interface=info.host
        )
        self._ticker.start(TICK_S, now=True)

    def close(self) -> None:
        """Closes the sockets."""
        if self._ticker.running:
            self._ticker.stop()
        self._links.close()
        if self._udp is not None:
            self._udp.stopListening()

    def on_message(self, cls: type, handler: MessageHandler) -> None:
        """Has messages of a class handed to `handler(sender, message)`."""
        self._handlers[cls] = handler

    def on_entry(self, prefix: str, handler: EntryHandler) -> None:
        """Has new entries for keys with a prefix, such as "vm/", handed over.

        Args:
          prefix: the first part of the keys, with its slash.
          handler: called with each entry and the node that it came from.
        """
        self._entry_handlers[prefix] = handler

    def on_member(self, handler: MemberHandler) -> None:
        """Has every change of a node's state handed over."""
        self._member_handlers.append(handler)

    def on_lost(self, handler: Callable[[str], None]) -> None:
        """Has the names of nodes whose stream ended handed over."""
        self._lost_handlers.append(handler)

    def on_domains(self, handler: Callable[[frozenset[str]], None]) -> None:
        """Has the unreachable failure domains handed over on each change."""
        self._domain_handlers.append(handler)

    def send(self, name: str, message: Any) -> bool:
        """Sends a message to a node by name.

        A message to this node itself is handed over in the next turn.

        Returns:
          Whether the node is known.
        """
        if name == self._membership.name:
            self._reactor.callLater(0, self._hand_over, name, message)
            return True
        member = self._membership.member(name)
        if member is None:
            return False
        address = links_lib.Address(member.info.host, member.info.port)
        self._links.send(address, message)
        return True

    def publish(
        self, key: str, epoch: int, sequence: int, ttl_s: int, value: bytes
    ) -> None:
        """Publishes a gossip entry and hands it over on this node as well."""
        entry = fleet_messages.GossipEntry(key, epoch, sequence, ttl_s, value)
        now = self._clock.now()
        if self._membership.store.get(key) == entry:
            return
        effects = self._membership.publish(now, entry)
        if effects or self._membership.store.get(key) == entry:
            self._entry_received(entry, self._membership.name)
        self._act(effects)

    def announce(self, **changes: Any) -> None:
        """Changes fields of what this node says about itself."""
        info = self._membership.info._replace(**changes)
        self._act(self._membership.announce(self._clock.now(), info))

    def names(self) -> list[str]:
        """Returns the names of the nodes that may live, this one included.

        A suspect counts: most suspicions under packet loss are refuted, and
        choices that follow this list should not flap with them.
        """
        unreachable = self._membership.unreachable_domains
        names = [
            m.name
            for m in self._membership.members
            if m.state is not membership_lib.State.DEAD
            and not m.info.leaving
            and m.info.domain not in unreachable
        ]
        if not self._membership.info.leaving:
            names.append(self._membership.name)
        return sorted(names)

    def message(
        self, sender: str, address: links_lib.Address, message: Any
    ) -> None:
        """Takes a message from a stream."""
        if type(message) in fleet_messages.MESSAGES.values():
            self._act(
                self._membership.received(
                    self._clock.now(), address.host, address.port, message
                )
            )
            return
        self._hand_over(sender, message)

    def lost(self, name: str, address: links_lib.Address) -> None:
        """Learns that a stream has ended."""
        if name:
            for handler in self._lost_handlers:
                handler(name)

    def datagram(self, host: str, port: int, message: Any) -> None:
        """Takes a message from a datagram."""
        self._act(
            self._membership.received(self._clock.now(), host, port, message)
        )

    def _hand_over(self, sender: str, message: Any) -> None:
        handler = self._handlers.get(type(message))
        if handler is None:
            self._counters.count("links.unexpected")
            return
        handler(sender, message)

    def _on_tick(self) -> None:
        self._act(self._membership.tick(self._clock.now()))

    def _act(self, effects: list[membership_lib.Effect]) -> None:
        for effect in effects:
            match effect:
                case membership_lib.Datagram(host, port, message):
                    self._datagrams.send(host, port, message)
                case membership_lib.LinkMessage(host, port, message):
                    self._links.send(links_lib.Address(host, port), message)
                case membership_lib.MemberChanged(member):
                    self._member_changed(member)
                case membership_lib.DomainChanged(domain, reachable):
                    self._domain_changed(domain, reachable)
                case membership_lib.EntryReceived(entry, source):
                    self._entry_received(entry, source)

    def _member_changed(self, member: membership_lib.Member) -> None:
        logging.info(
            "event=member node=%s state=%s leaving=%s",
            member.name,
            member.state.name.lower(),
            member.info.leaving,
        )
        for handler in self._member_handlers:
            handler(member)

    def _domain_changed(self, domain: str, reachable: bool) -> None:
        logging.warning(
            "event=domain_changed domain=%s reachable=%s", domain, reachable
        )
        for handler in self._domain_handlers:
            handler(self._membership.unreachable_domains)

    def _entry_received(
        self, entry: fleet_messages.GossipEntry, source: str
    ) -> None:
        prefix, slash, _ = entry.key.partition("/")
        handler = self._entry_handlers.get(prefix + slash)
        if handler is not None:
            handler(entry, source)
