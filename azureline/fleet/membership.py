"""Group membership and failure detection by probes between the nodes.

The protocol is SWIM (Das, Gupta, Motivala, "SWIM: Scalable weakly-consistent
infection-style process group membership protocol", DSN 2002).  In each period
a node probes one other node, first directly and then through helpers in
different failure domains.  The cost per node therefore does not grow with the
fleet, and a partition between just two nodes makes neither of them dead.

When most nodes of a failure domain stop answering, the loss is handled as one
event: the nodes stay suspect instead of being declared dead one by one, and the
domain becomes reachable as a whole when one of them answers again.
"""

import enum
import math
import random
from typing import NamedTuple

from azureline.core import wire
from azureline.fleet import gossip_store
from azureline.fleet import messages

PERIOD_S = 1.0
ACK_TIMEOUT_S = 0.3
HELPERS = 3
URGENT_FANOUT = 3
GOSSIP_BYTES = 400
SYNC_INTERVAL_S = 5.0
SEED_INTERVAL_S = 10.0
SUSPICION_FACTOR = 3

DEAD_MEMBER_TTL_S = 600
"""Seconds for which a dead member stays in the local view."""

DOMAIN_LOST_RATIO = 0.6
DOMAIN_LOST_MIN_NODES = 2

PRIORITY_PREFIXES = ("config/", "own/", "suspect/", "vm/")
"""Key prefixes of entries that are passed on first and more often."""

URGENT_PREFIXES = (*PRIORITY_PREFIXES, "engine/")
"""Key prefixes of entries that are forwarded as soon as they are received."""

_PREFIX = "member/"
_CODEC = wire.Codec({2: messages.MemberInfo})


class State(enum.IntEnum):
    """The state of a node; the higher value wins within one incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class Member(NamedTuple):
    """Another node in this node's local view.

    Attributes:
      name: name of the node's VM.
      info: the node's latest description of itself.
      incarnation: number that the node increases whenever it announces itself
        again.
      state: its state in the local view.
      since: monotonic time in seconds of the last change of state.
    """

    name: str
    info: messages.MemberInfo
    incarnation: int
    state: State
    since: float


class Datagram(NamedTuple):
    """Effect: sends a message by UDP."""

    host: str
    port: int
    message: object


class LinkMessage(NamedTuple):
    """Effect: sends a message over a stream link to an address."""

    host: str
    port: int
    message: object


class MemberChanged(NamedTuple):
    """Effect: the local view of a member changed."""

    member: Member


class DomainChanged(NamedTuple):
    """Effect: a failure domain became reachable or unreachable as a whole."""

    domain: str
    reachable: bool


class EntryReceived(NamedTuple):
    """Effect: a new gossip entry that is not about a member was received.

    Attributes:
      entry: the gossip entry.
      source: name of the node that sent it.
    """

    entry: messages.GossipEntry
    source: str


Effect = Datagram | LinkMessage | MemberChanged | DomainChanged | EntryReceived


class _Probe(NamedTuple):
    target: str
    sequence: int
    sent_at: float
    helpers_requested: bool


class Membership:
    """The membership state machine of one node.

    Its event handlers return the effects that the caller must carry out.
    """

    def __init__(
        self,
        name: str,
        info: messages.MemberInfo,
        incarnation: int,
        seeds: tuple[tuple[str, int], ...],
        rng: random.Random,
    ):
        """Creates a local view that contains only this node.

        Args:
          name: name of this node's VM.
          info: this node's description of itself.
          incarnation: number that is higher than in any earlier run of the
            node, such as the wall time in milliseconds.
          seeds: addresses from which to fetch the state of the fleet.
          rng: source of randomness.
        """
        self._name = name
        self._info = info
        self._incarnation = incarnation
        self._seeds = seeds
        self._rng = rng
        self._store = gossip_store.GossipStore(PRIORITY_PREFIXES)
        self._members: dict[str, Member] = {}
        self._suspect_names: set[str] = set()
        self._probe_order: list[str] = []
        self._probe: _Probe | None = None
        self._relayed_probes: dict[int, tuple[str, int, float]] = {}
        self._sequence = 0
        self._next_probe = 0.0
        self._next_sync = 0.0
        self._next_seed = 0.0
        self._synced = False
        self._unreachable: set[str] = set()
        self._announce_self(0.0)

    @property
    def name(self) -> str:
        """Name of this node's VM."""
        return self._name

    @property
    def info(self) -> messages.MemberInfo:
        """This node's description of itself."""
        return self._info

    @property
    def synced(self) -> bool:
        """Whether this node received the state of the fleet from another."""
        return self._synced

    @property
    def members(self) -> tuple[Member, ...]:
        """The other known nodes, including dead ones."""
        return tuple(self._members.values())

    @property
    def unreachable_domains(self) -> frozenset[str]:
        """The failure domains that are unreachable as a whole."""
        return frozenset(self._unreachable)

    @property
    def store(self) -> gossip_store.GossipStore:
        """The store of gossip entries."""
        return self._store

    def alive(self) -> list[Member]:
        """Returns the other nodes that are alive and not shutting down."""
        return [
            m
            for m in self._members.values()
            if m.state is State.ALIVE and not m.info.leaving
        ]

    def member(self, name: str) -> Member | None:
        """Returns another node in the local view, or None if it is unknown."""
        return self._members.get(name)

    def announce(self, now: float, info: messages.MemberInfo) -> list[Effect]:
        """Changes this node's description of itself and sends it to others."""
        if info == self._info:
            return []
        self._info = info
        self._incarnation += 1
        self._announce_self(now)
        return self._push_entries(now)

    def publish(self, now: float, entry: messages.GossipEntry) -> list[Effect]:
        """Publishes a gossip entry at once, replacing older versions of it."""
        if not self._store.merge(now, entry):
            return []
        return self._push_entries(now)

    def tick(self, now: float) -> list[Effect]:
        """Advances probes, suspicion time-outs and state exchanges.

        The caller must call it every 100 ms.
        """
        effects = self._advance_probe(now)
        effects += self._expire_suspicions(now)
        effects += self._expire_entries(now)
        if now >= self._next_probe:
            self._next_probe = now + PERIOD_S
            effects += self._start_probe(now)
        if now >= self._next_seed:
            effects += self._pull_from_seed(now)
        return effects

    def received(
        self, now: float, host: str, port: int, message: object
    ) -> list[Effect]:
        """Handles a message from another node.

        Args:
          now: monotonic time in seconds.
          host: IP address of the sender.
          port: port to which replies go.
          message: one of `fleet.messages`.
        """
        match message:
            case messages.Ping():
                return self._on_ping(now, host, port, message)
            case messages.Ack():
                return self._on_ack(now, message)
            case messages.PingRequest():
                return self._on_ping_request(now, host, port, message)
            case messages.Gossip():
                return self._merge_all(now, message.entries, message.sender)
            case messages.SyncPull():
                return self._on_pull(now, message)
            case messages.SyncPush():
                return self._on_push(now, host, port, message)
        return []

    def _announce_self(self, now: float) -> None:
        value = _CODEC.pack(self._info)
        self._store.merge(
            now,
            messages.GossipEntry(
                _PREFIX + self._name,
                self._incarnation,
                State.ALIVE.value,
                0,
                value,
            ),
        )

    def _fleet_size(self) -> int:
        return len(self._members) + 1

    def _next_entries(self, now: float) -> tuple[messages.GossipEntry, ...]:
        return self._store.next_entries(now, self._fleet_size(), GOSSIP_BYTES)

    def _push_entries(self, now: float) -> list[Effect]:
        targets = self.alive()
        self._rng.shuffle(targets)
        effects: list[Effect] = []
        for member in targets[:URGENT_FANOUT]:
            entries = self._next_entries(now)
            if entries:
                effects.append(
                    _to(member, messages.Gossip(self._name, entries))
                )
        return effects

    def _start_probe(self, now: float) -> list[Effect]:
        target = self._next_target()
        if target is None:
            return []
        self._sequence += 1
        self._probe = _Probe(target.name, self._sequence, now, False)
        return [_to(target, self._ping(now, self._sequence))]

    def _ping(self, now: float, sequence: int) -> messages.Ping:
        return messages.Ping(
            sequence, self._name, self._store.digest, self._next_entries(now)
        )

    def _next_target(self) -> Member | None:
        while self._probe_order:
            member = self._members.get(self._probe_order.pop())
            if member is not None and member.state is not State.DEAD:
                return member
        self._probe_order = [
            m.name for m in self._members.values() if m.state != State.DEAD
        ]
        self._rng.shuffle(self._probe_order)
        if not self._probe_order:
            return None
        return self._members[self._probe_order.pop()]

    def _advance_probe(self, now: float) -> list[Effect]:
        probe = self._probe
        if probe is None:
            return []
        waited = now - probe.sent_at
        if waited >= PERIOD_S * 0.95:
            self._probe = None
            return self._suspect(now, probe.target)
        if waited >= ACK_TIMEOUT_S and not probe.helpers_requested:
            self._probe = probe._replace(helpers_requested=True)
            request = messages.PingRequest(
                probe.sequence, self._name, probe.target
            )
            return [_to(m, request) for m in self._helpers(probe.target)]
        return []

    def _helpers(self, target: str) -> list[Member]:
        """Picks helpers from as many different failure domains as possible."""
        others = [m for m in self.alive() if m.name != target]
        self._rng.shuffle(others)
        by_domain: dict[str, Member] = {}
        for member in others:
            by_domain.setdefault(member.info.domain, member)
        picked = list(by_domain.values())
        picked += [m for m in others if m not in picked]
        return picked[:HELPERS]

    def _suspect(self, now: float, name: str) -> list[Effect]:
        member = self._members.get(name)
        if member is None or member.state is not State.ALIVE:
            return []
        return self._publish_state(now, member, State.SUSPECT)

    def _publish_state(
        self, now: float, member: Member, state: State
    ) -> list[Effect]:
        entry = messages.GossipEntry(
            _PREFIX + member.name,
            member.incarnation,
            state.value,
            DEAD_MEMBER_TTL_S if state is State.DEAD else 0,
            _CODEC.pack(member.info),
        )
        return self._merge_all(now, (entry,), self._name)

    def _suspicion_timeout_s(self) -> float:
        size = math.log2(self._fleet_size() + 1)
        return max(3.0, SUSPICION_FACTOR * size / 2) * PERIOD_S

    def _expire_suspicions(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for name in sorted(self._suspect_names):
            member = self._members[name]
            if member.info.domain in self._unreachable:
                continue
            if now - member.since >= self._suspicion_timeout_s():
                effects += self._publish_state(now, member, State.DEAD)
        return effects

    def _expire_entries(self, now: float) -> list[Effect]:
        for entry in self._store.expire(now):
            if entry.key.startswith(_PREFIX):
                name = entry.key.removeprefix(_PREFIX)
                self._members.pop(name, None)
                self._suspect_names.discard(name)
        return []

    def _pull_from_seed(self, now: float) -> list[Effect]:
        """Requests the fleet state from a seed that is not known to be alive.

        Without this, nodes that started while a seed was down would never
        discover it, and parts of the fleet that declared each other dead during
        a partition would never reconnect.
        """
        isolated = not self._synced or not self.alive()
        self._next_seed = now + (
            SYNC_INTERVAL_S if isolated else SEED_INTERVAL_S
        )
        known_addresses = {(m.info.host, m.info.port) for m in self.alive()}
        known_addresses.add((self._info.host, self._info.port))
        unknown_seeds = [
            seed for seed in self._seeds if seed not in known_addresses
        ]
        if not unknown_seeds:
            return []
        host, port = self._rng.choice(unknown_seeds)
        return [LinkMessage(host, port, self._pull(self._store.buckets))]

    def _pull(self, buckets: bytes) -> messages.SyncPull:
        return messages.SyncPull(
            self._name, self._info.host, self._info.port, buckets
        )

    def _on_ping(
        self, now: float, host: str, port: int, ping: messages.Ping
    ) -> list[Effect]:
        effects = self._merge_all(now, ping.entries, ping.sender)
        ack = messages.Ack(
            ping.sequence,
            self._name,
            self._store.digest,
            self._next_entries(now),
        )
        effects.append(Datagram(host, port, ack))
        return effects + self._mark_domain_reachable(now, ping.sender)

    def _on_ack(self, now: float, ack: messages.Ack) -> list[Effect]:
        effects = self._merge_all(now, ack.entries, ack.sender)
        relay = self._relayed_probes.pop(ack.sequence, None)
        if relay is not None:
            requester, sequence, _ = relay
            member = self._members.get(requester)
            if member is not None:
                forwarded = ack._replace(sequence=sequence, entries=())
                effects.append(_to(member, forwarded))
            return effects
        if self._probe is not None and self._probe.sequence == ack.sequence:
            self._probe = None
        effects += self._mark_domain_reachable(now, ack.sender)
        if ack.digest != self._store.digest and now >= self._next_sync:
            self._next_sync = now + SYNC_INTERVAL_S
            effects += self._pull_from(ack.sender)
        return effects

    def _pull_from(self, name: str) -> list[Effect]:
        member = self._members.get(name)
        if member is None:
            return []
        pull = self._pull(self._store.buckets)
        return [LinkMessage(member.info.host, member.info.port, pull)]

    def _mark_domain_reachable(self, now: float, name: str) -> list[Effect]:
        """Marks the failure domain of a node that answered as reachable.

        The node itself may stay suspect: only a new announcement of its own
        clears it on all nodes.  The digests of the exchange make it fetch the
        suspicion, which it then refutes.
        """
        member = self._members.get(name)
        if member is None or member.info.domain not in self._unreachable:
            return []
        self._unreachable.discard(member.info.domain)
        return [DomainChanged(member.info.domain, True)]

    def _on_ping_request(
        self, now: float, host: str, port: int, request: messages.PingRequest
    ) -> list[Effect]:
        target = self._members.get(request.target)
        if target is None:
            return []
        self._sequence += 1
        self._relayed_probes = {
            k: v
            for k, v in self._relayed_probes.items()
            if now - v[2] < PERIOD_S
        }
        self._relayed_probes[self._sequence] = (
            request.sender,
            request.sequence,
            now,
        )
        return [_to(target, self._ping(now, self._sequence))]

    def _on_pull(self, now: float, pull: messages.SyncPull) -> list[Effect]:
        push = messages.SyncPush(
            self._name,
            self._store.differing(now, pull.buckets),
            self._store.buckets,
        )
        return [LinkMessage(pull.host, pull.port, push)]

    def _on_push(
        self, now: float, host: str, port: int, push: messages.SyncPush
    ) -> list[Effect]:
        self._synced = True
        effects = self._merge_all(now, push.entries, push.sender)
        if push.buckets and push.buckets != self._store.buckets:
            own_entries = self._store.differing(now, push.buckets)
            reply = messages.SyncPush(self._name, own_entries, b"")
            effects.append(LinkMessage(host, port, reply))
        return effects

    def _merge_all(
        self,
        now: float,
        received_entries: tuple[messages.GossipEntry, ...],
        source: str,
    ) -> list[Effect]:
        effects: list[Effect] = []
        urgent = False
        for entry in received_entries:
            if entry.key == _PREFIX + self._name:
                urgent |= self._refute_if_newer(now, entry)
            elif self._store.merge(now, entry):
                urgent |= entry.key.startswith(URGENT_PREFIXES)
                effects += self._apply(now, entry, source)
        if urgent:
            effects += self._push_entries(now)
        return effects

    def _refute_if_newer(self, now: float, entry: messages.GossipEntry) -> bool:
        own_entry = self._store.get(entry.key)
        if own_entry is None or entry.version <= own_entry.version:
            return False
        self._incarnation = entry.epoch + 1
        self._announce_self(now)
        return True

    def _apply(
        self, now: float, entry: messages.GossipEntry, source: str
    ) -> list[Effect]:
        if not entry.key.startswith(_PREFIX):
            return [EntryReceived(entry, source)]
        try:
            info = _CODEC.unpack(entry.value)
            state = State(entry.sequence)
        except ValueError:
            return []
        name = entry.key.removeprefix(_PREFIX)
        member = Member(name, info, entry.epoch, state, now)
        self._members[name] = member
        if state is State.SUSPECT:
            self._suspect_names.add(name)
        else:
            self._suspect_names.discard(name)
        return [MemberChanged(member), *self._update_domain(info.domain)]

    def _update_domain(self, domain: str) -> list[Effect]:
        """Updates whether a failure domain is unreachable as a whole."""
        if domain == self._info.domain:
            return []
        inside = [m for m in self._members.values() if m.info.domain == domain]
        suspect_count = sum(1 for m in inside if m.state is State.SUSPECT)
        alive_count = sum(1 for m in inside if m.state is State.ALIVE)
        share = suspect_count / max(1, suspect_count + alive_count)
        lost = (
            suspect_count >= DOMAIN_LOST_MIN_NODES
            and share >= DOMAIN_LOST_RATIO
        )
        if lost and domain not in self._unreachable:
            self._unreachable.add(domain)
            return [DomainChanged(domain, False)]
        if domain in self._unreachable and alive_count and not lost:
            self._unreachable.discard(domain)
            return [DomainChanged(domain, True)]
        return []


def _to(member: Member, message: object) -> Datagram:
    return Datagram(member.info.host, member.info.port, message)
