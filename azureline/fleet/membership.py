"""Which nodes live, judged by probes among the nodes themselves.

The protocol is SWIM's (Das, Gupta, Motivala, "SWIM: Scalable weakly-consistent
infection-style process group membership protocol", DSN 2002): each period a
node probes one other, directly and then through helpers in other failure
domains, so that the cost per node does not grow with the fleet and a cut
between two nodes alone makes neither of them dead.

A failure domain most of whose nodes stop answering is treated as one event:
its nodes stay suspect instead of being declared dead one by one, and come back
together when one of them answers again.
"""

import enum
import math
import random
from typing import NamedTuple

from azureline.core import wire
from azureline.fleet import messages
from azureline.fleet import rumours

PERIOD_S = 1.0
ACK_TIMEOUT_S = 0.3
HELPERS = 3
URGENT_FANOUT = 3
NEWS_BYTES = 400
SYNC_INTERVAL_S = 5.0
SEED_INTERVAL_S = 10.0
SUSPICION_FACTOR = 3
DEAD_KEPT_S = 600
DOMAIN_LOST_SHARE = 0.6
DOMAIN_LOST_MIN = 2
HURRIED_PREFIXES = ("config/", "own/", "suspect/", "vm/")
URGENT_PREFIXES = (*HURRIED_PREFIXES, "engine/")
_PREFIX = "member/"
_CODEC = wire.Codec({2: messages.MemberInfo})


class State(enum.IntEnum):
    """How a node is seen; the value orders claims of one incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class Member(NamedTuple):
    """A node as this node sees it.

    Attributes:
      name: name of the node's VM.
      info: what the node said about itself last.
      incarnation: grows whenever the node speaks for itself anew.
      state: how it is seen.
      since: monotonic time in seconds of the last change of state.
    """

    name: str
    info: messages.MemberInfo
    incarnation: int
    state: State
    since: float


class Datagram(NamedTuple):
    """Effect: send a message by UDP."""

    host: str
    port: int
    message: object


class LinkMessage(NamedTuple):
    """Effect: send a message over a stream to an address."""

    host: str
    port: int
    message: object


class Changed(NamedTuple):
    """Effect: a member is seen otherwise than before."""

    member: Member


class DomainChanged(NamedTuple):
    """Effect: a failure domain became reachable or unreachable as a whole."""

    domain: str
    reachable: bool


class Learned(NamedTuple):
    """Effect: a rumour that is not about a member was news.

    Attributes:
      rumour: the rumour.
      source: name of the node that it was heard from.
    """

    rumour: messages.Rumour
    source: str


Effect = Datagram | LinkMessage | Changed | DomainChanged | Learned


class _Probe(NamedTuple):
    target: str
    sequence: int
    sent_at: float
    asked_helpers: bool


class Membership:
    """The state machine of one node; every method returns effects."""

    def __init__(
        self,
        name: str,
        info: messages.MemberInfo,
        incarnation: int,
        seeds: tuple[tuple[str, int], ...],
        rng: random.Random,
    ):
        """Creates the view of a node that knows only itself.

        Args:
          name: name of this node's VM.
          info: what this node says about itself.
          incarnation: higher than in any earlier run of the node; wall time
            in milliseconds will do.
          seeds: addresses to ask for the state of the fleet.
          rng: source of randomness.
        """
        self._name = name
        self._info = info
        self._incarnation = incarnation
        self._seeds = seeds
        self._rng = rng
        self._store = rumours.RumourStore(HURRIED_PREFIXES)
        self._members: dict[str, Member] = {}
        self._suspects: set[str] = set()
        self._order: list[str] = []
        self._probe: _Probe | None = None
        self._relayed: dict[int, tuple[str, int, float]] = {}
        self._sequence = 0
        self._next_probe = 0.0
        self._next_sync = 0.0
        self._next_seed = 0.0
        self._synced = False
        self._unreachable: set[str] = set()
        self._speak(0.0)

    @property
    def name(self) -> str:
        """Name of this node's VM."""
        return self._name

    @property
    def info(self) -> messages.MemberInfo:
        """What this node says about itself."""
        return self._info

    @property
    def synced(self) -> bool:
        """Whether the state of the fleet was received from another node."""
        return self._synced

    @property
    def members(self) -> tuple[Member, ...]:
        """The other nodes that are known, dead ones included."""
        return tuple(self._members.values())

    @property
    def unreachable_domains(self) -> frozenset[str]:
        """The failure domains that are out of reach as a whole."""
        return frozenset(self._unreachable)

    @property
    def store(self) -> rumours.RumourStore:
        """The rumours held."""
        return self._store

    def alive(self) -> list[Member]:
        """Returns the other nodes that are seen alive and not leaving."""
        return [
            m
            for m in self._members.values()
            if m.state is State.ALIVE and not m.info.leaving
        ]

    def member(self, name: str) -> Member | None:
        """Returns what is known of a node, or None."""
        return self._members.get(name)

    def announce(self, now: float, info: messages.MemberInfo) -> list[Effect]:
        """Changes what this node says about itself and tells others."""
        if info == self._info:
            return []
        self._info = info
        self._incarnation += 1
        self._speak(now)
        return self._push(now)

    def tell(self, now: float, rumour: messages.Rumour) -> list[Effect]:
        """Spreads a fact at once; an older version of it is replaced."""
        if not self._store.merge(now, rumour):
            return []
        return self._push(now)

    def tick(self, now: float) -> list[Effect]:
        """Advances probes, suspicions and repairs; call every 100 ms."""
        effects = self._advance_probe(now)
        effects += self._end_suspicions(now)
        effects += self._forget(now)
        if now >= self._next_probe:
            self._next_probe = now + PERIOD_S
            effects += self._start_probe(now)
        if now >= self._next_seed:
            effects += self._ask_seed(now)
        return effects

    def received(
        self, now: float, host: str, port: int, message: object
    ) -> list[Effect]:
        """Handles a message of another node.

        Args:
          now: monotonic time in seconds.
          host: where the message came from.
          port: the port to answer to.
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
                return self._merge_all(now, message.rumours, message.sender)
            case messages.SyncPull():
                return self._on_pull(now, message)
            case messages.SyncPush():
                return self._on_push(now, host, port, message)
        return []

    def _speak(self, now: float) -> None:
        value = _CODEC.pack(self._info)
        self._store.merge(
            now,
            messages.Rumour(
                _PREFIX + self._name,
                self._incarnation,
                State.ALIVE.value,
                0,
                value,
            ),
        )

    def _fleet_size(self) -> int:
        return len(self._members) + 1

    def _news(self, now: float) -> tuple[messages.Rumour, ...]:
        return self._store.news(now, self._fleet_size(), NEWS_BYTES)

    def _push(self, now: float) -> list[Effect]:
        targets = self.alive()
        self._rng.shuffle(targets)
        effects: list[Effect] = []
        for member in targets[:URGENT_FANOUT]:
            news = self._news(now)
            if news:
                effects.append(_to(member, messages.Gossip(self._name, news)))
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
            sequence, self._name, self._store.digest, self._news(now)
        )

    def _next_target(self) -> Member | None:
        while self._order:
            member = self._members.get(self._order.pop())
            if member is not None and member.state is not State.DEAD:
                return member
        self._order = [
            m.name for m in self._members.values() if m.state != State.DEAD
        ]
        self._rng.shuffle(self._order)
        if not self._order:
            return None
        return self._members[self._order.pop()]

    def _advance_probe(self, now: float) -> list[Effect]:
        probe = self._probe
        if probe is None:
            return []
        waited = now - probe.sent_at
        if waited >= PERIOD_S * 0.95:
            self._probe = None
            return self._suspect(now, probe.target)
        if waited >= ACK_TIMEOUT_S and not probe.asked_helpers:
            self._probe = probe._replace(asked_helpers=True)
            request = messages.PingRequest(
                probe.sequence, self._name, probe.target
            )
            return [_to(m, request) for m in self._helpers(probe.target)]
        return []

    def _helpers(self, target: str) -> list[Member]:
        """Picks helpers, from as many failure domains as there are."""
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
        return self._claim(now, member, State.SUSPECT)

    def _claim(self, now: float, member: Member, state: State) -> list[Effect]:
        rumour = messages.Rumour(
            _PREFIX + member.name,
            member.incarnation,
            state.value,
            DEAD_KEPT_S if state is State.DEAD else 0,
            _CODEC.pack(member.info),
        )
        return self._merge_all(now, (rumour,), self._name)

    def _suspicion_s(self) -> float:
        size = math.log2(self._fleet_size() + 1)
        return max(3.0, SUSPICION_FACTOR * size / 2) * PERIOD_S

    def _end_suspicions(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for name in sorted(self._suspects):
            member = self._members[name]
            if member.info.domain in self._unreachable:
                continue
            if now - member.since >= self._suspicion_s():
                effects += self._claim(now, member, State.DEAD)
        return effects

    def _forget(self, now: float) -> list[Effect]:
        for rumour in self._store.expire(now):
            if rumour.key.startswith(_PREFIX):
                name = rumour.key.removeprefix(_PREFIX)
                self._members.pop(name, None)
                self._suspects.discard(name)
        return []

    def _ask_seed(self, now: float) -> list[Effect]:
        """Asks a seed for the state of the fleet unless all are known to live.

        Nodes that started while a seed was down would otherwise never meet
        it, nor would parts of the fleet that have given each other up.
        """
        alone = not self._synced or not self.alive()
        self._next_seed = now + (SYNC_INTERVAL_S if alone else SEED_INTERVAL_S)
        met = {(m.info.host, m.info.port) for m in self.alive()}
        met.add((self._info.host, self._info.port))
        unmet = [seed for seed in self._seeds if seed not in met]
        if not unmet:
            return []
        host, port = self._rng.choice(unmet)
        return [LinkMessage(host, port, self._pull(self._store.buckets))]

    def _pull(self, buckets: bytes) -> messages.SyncPull:
        return messages.SyncPull(
            self._name, self._info.host, self._info.port, buckets
        )

    def _on_ping(
        self, now: float, host: str, port: int, ping: messages.Ping
    ) -> list[Effect]:
        effects = self._merge_all(now, ping.rumours, ping.sender)
        ack = messages.Ack(
            ping.sequence, self._name, self._store.digest, self._news(now)
        )
        effects.append(Datagram(host, port, ack))
        return effects + self._heard(now, ping.sender)

    def _on_ack(self, now: float, ack: messages.Ack) -> list[Effect]:
        effects = self._merge_all(now, ack.rumours, ack.sender)
        relay = self._relayed.pop(ack.sequence, None)
        if relay is not None:
            asker, sequence, _ = relay
            member = self._members.get(asker)
            if member is not None:
                passed = ack._replace(sequence=sequence, rumours=())
                effects.append(_to(member, passed))
            return effects
        if self._probe is not None and self._probe.sequence == ack.sequence:
            self._probe = None
        effects += self._heard(now, ack.sender)
        if ack.digest != self._store.digest and now >= self._next_sync:
            self._next_sync = now + SYNC_INTERVAL_S
            effects += self._repair(ack.sender)
        return effects

    def _repair(self, name: str) -> list[Effect]:
        member = self._members.get(name)
        if member is None:
            return []
        pull = self._pull(self._store.buckets)
        return [LinkMessage(member.info.host, member.info.port, pull)]

    def _heard(self, now: float, name: str) -> list[Effect]:
        """Revokes this node's own suspicion of a node that answered.

        A suspect must speak for itself to be cleared everywhere; the digest in
        the exchange makes it learn of the suspicion.
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
        self._relayed = {
            k: v for k, v in self._relayed.items() if now - v[2] < PERIOD_S
        }
        self._relayed[self._sequence] = (
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
        effects = self._merge_all(now, push.rumours, push.sender)
        if push.buckets and push.buckets != self._store.buckets:
            mine = self._store.differing(now, push.buckets)
            back = messages.SyncPush(self._name, mine, b"")
            effects.append(LinkMessage(host, port, back))
        return effects

    def _merge_all(
        self, now: float, heard: tuple[messages.Rumour, ...], source: str
    ) -> list[Effect]:
        effects: list[Effect] = []
        urgent = False
        for rumour in heard:
            if rumour.key == _PREFIX + self._name:
                urgent |= self._refute(now, rumour)
            elif self._store.merge(now, rumour):
                urgent |= rumour.key.startswith(URGENT_PREFIXES)
                effects += self._apply(now, rumour, source)
        if urgent:
            effects += self._push(now)
        return effects

    def _refute(self, now: float, rumour: messages.Rumour) -> bool:
        mine = self._store.get(rumour.key)
        if mine is None or rumour.version <= mine.version:
            return False
        self._incarnation = rumour.epoch + 1
        self._speak(now)
        return True

    def _apply(
        self, now: float, rumour: messages.Rumour, source: str
    ) -> list[Effect]:
        if not rumour.key.startswith(_PREFIX):
            return [Learned(rumour, source)]
        try:
            info = _CODEC.unpack(rumour.value)
            state = State(rumour.sequence)
        except ValueError:
            return []
        name = rumour.key.removeprefix(_PREFIX)
        member = Member(name, info, rumour.epoch, state, now)
        self._members[name] = member
        if state is State.SUSPECT:
            self._suspects.add(name)
        else:
            self._suspects.discard(name)
        return [Changed(member), *self._judge_domain(info.domain)]

    def _judge_domain(self, domain: str) -> list[Effect]:
        """Decides whether a failure domain is out of reach as a whole."""
        if domain == self._info.domain:
            return []
        inside = [m for m in self._members.values() if m.info.domain == domain]
        silent = sum(1 for m in inside if m.state is State.SUSPECT)
        living = sum(1 for m in inside if m.state is State.ALIVE)
        share = silent / max(1, silent + living)
        lost = silent >= DOMAIN_LOST_MIN and share >= DOMAIN_LOST_SHARE
        if lost and domain not in self._unreachable:
            self._unreachable.add(domain)
            return [DomainChanged(domain, False)]
        if domain in self._unreachable and living and not lost:
            self._unreachable.discard(domain)
            return [DomainChanged(domain, True)]
        return []


def _to(member: Member, message: object) -> Datagram:
    return Datagram(member.info.host, member.info.port, message)
