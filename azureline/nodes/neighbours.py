"""Communication with the other nodes: membership, gossip and messages.

This module alone opens sockets to other nodes.  Other components of the node
subscribe to the messages and gossip entries that they need.
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
    """Sends messages to the other nodes and dispatches those received."""

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
        """Creates the node's links and membership; opens no socket.

        Args:
          reactor: the Twisted reactor.
          name: name of this node's VM.
          info: the node's own entry in the membership.
          seeds: host and link port of the nodes to ask for the state of the
            fleet.
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
        """The membership of the fleet as this node sees it."""
        return self._membership

    async def start(self) -> None:
        """Opens the sockets and starts to probe other nodes."""
        info = self._membership.info
        await self._links.listen()
        self._udp = datagrams.listen(
            self._reactor, self._datagrams, info.host, info.port
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
        """Calls `handler(sender, message)` for each message of a class."""
        self._handlers[cls] = handler

    def on_entry(self, prefix: str, handler: EntryHandler) -> None:
        """Calls a handler for new gossip entries whose keys have a prefix.

        Args:
          prefix: first part of the keys with its slash, such as "vm/".
          handler: called with each entry and the name of the node that sent
            it.
        """
        self._entry_handlers[prefix] = handler

    def on_member(self, handler: MemberHandler) -> None:
        """Calls a handler with each member whose state has changed."""
        self._member_handlers.append(handler)

    def on_lost(self, handler: Callable[[str], None]) -> None:
        """Calls a handler with the name of each node whose stream has ended."""
        self._lost_handlers.append(handler)

    def on_domains(self, handler: Callable[[frozenset[str]], None]) -> None:
        """Calls a handler with the unreachable failure domains on a change."""
        self._domain_handlers.append(handler)

    def send(self, name: str, message: Any) -> bool:
        """Sends a message to a node by name.

        A message to this node itself is dispatched in the next iteration of
        the reactor.

        Returns:
          Whether the node is known.
        """
        if name == self._membership.name:
            self._reactor.callLater(0, self._dispatch, name, message)
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
        """Publishes a gossip entry to all nodes, this one included.

        An entry that equals the stored one is not published again.
        """
        entry = fleet_messages.GossipEntry(key, epoch, sequence, ttl_s, value)
        now = self._clock.now()
        if self._membership.store.get(key) == entry:
            return
        effects = self._membership.publish(now, entry)
        if effects or self._membership.store.get(key) == entry:
            self._entry_received(entry, self._membership.name)
        self._run_effects(effects)

    def announce(self, **changes: Any) -> None:
        """Changes fields of this node's own entry in the membership."""
        info = self._membership.info._replace(**changes)
        self._run_effects(self._membership.announce(self._clock.now(), info))

    def names(self) -> list[str]:
        """Returns the names of the nodes that may be alive, with this one.

        Suspect nodes are included: under packet loss most suspicions are
        refuted, and decisions based on this list must not flap with them.
        Nodes that leave and nodes in unreachable failure domains are not.
        """
        unreachable = self._membership.unreachable_domains
        names = [
            member.name
            for member in self._membership.members
            if member.state is not membership_lib.State.DEAD
            and not member.info.leaving
            and member.info.domain not in unreachable
        ]
        if not self._membership.info.leaving:
            names.append(self._membership.name)
        return sorted(names)

    def message(
        self, sender: str, address: links_lib.Address, message: Any
    ) -> None:
        """Handles a message that was received on a stream."""
        if type(message) in fleet_messages.MESSAGES.values():
            self._run_effects(
                self._membership.received(
                    self._clock.now(), address.host, address.port, message
                )
            )
            return
        self._dispatch(sender, message)

    def lost(self, name: str, address: links_lib.Address) -> None:
        """Handles the end of a stream."""
        if name:
            for handler in self._lost_handlers:
                handler(name)

    def datagram(self, host: str, port: int, message: Any) -> None:
        """Handles a message that was received as a datagram."""
        self._run_effects(
            self._membership.received(self._clock.now(), host, port, message)
        )

    def _dispatch(self, sender: str, message: Any) -> None:
        handler = self._handlers.get(type(message))
        if handler is None:
            self._counters.count("links.unexpected")
            return
        handler(sender, message)

    def _on_tick(self) -> None:
        self._run_effects(self._membership.tick(self._clock.now()))

    def _run_effects(self, effects: list[membership_lib.Effect]) -> None:
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
