"""Measures an ordinary day's events: joins, restarts, losses and partitions."""

import random
from typing import TypedDict

from azureline.core import wire
from azureline.fleet import directory as directories
from azureline.fleet import membership
from azureline.fleet import messages
from tests import builders_network
from tests import test_fleet_ownership
from tools import capacity_entry

SEED = 1
NODES = 70
DOMAINS = 7
SLOT_SIZES = (64, 128, 256)
NOTICED_S = 20.0
SETTLE_S = 24.0
LONGEST_S = 60.0
APART_SIZES = (8, 16, 32)
APART_S = 3600.0
JOIN_ENGINES = (100, 300, 900)
BURST_SIZES = (8, 16, 32, 64)
BURST_S = 30.0


class DomainLoss(TypedDict):
    """What the loss of a failure domain costs.

    Attributes:
      slots: slots of the fleet.
      moved: slots whose holder was lost.
      calls: calls to the platform's service until all are held again.
      extra_calls: calls above those of the steady state in that time.
      seconds: time until all are held again.
    """

    slots: int
    moved: int
    calls: int
    extra_calls: int
    seconds: float


class Apart(TypedDict):
    """What an hour of two parts out of each other's reach costs.

    Attributes:
      nodes: size of the fleet.
      bytes_per_s: sent by a node while apart.
      heal_bytes_per_s: sent by a node while they find each other.
      heal_s: time until every node sees every other as alive.
    """

    nodes: int
    bytes_per_s: float
    heal_bytes_per_s: float
    heal_s: float


class Join(TypedDict):
    """What a new node receives.

    Attributes:
      engines: engines whose views are held.
      state_bytes: bytes of the answer to its first pull.
    """

    engines: int
    state_bytes: int


class Burst(TypedDict):
    """What a start of all nodes at once costs.

    Attributes:
      nodes: size of the fleet.
      bytes_per_s: sent by a node in the first 30 s.
    """

    nodes: int
    bytes_per_s: float


def lost_domain(slots: int) -> DomainLoss:
    """Kills a seventh of the nodes; the others notice after 20 s."""
    names = [f"engines/{n}" for n in range(slots)]
    fleet = test_fleet_ownership.Fleet(SEED, NODES, names)
    fleet.run(SETTLE_S)
    fleet.calls.clear()
    fleet.run(SETTLE_S)
    usual = fleet.calls.total() / SETTLE_S
    held = [n for n in names if fleet.holders(n)]
    for number, node in enumerate(fleet.nodes.values()):
        node.dead = number % DOMAINS == 0
    lost = [n for n in held if not fleet.holders(n)]
    fleet.calls.clear()
    started = fleet.now
    fleet.run(NOTICED_S)
    fleet.tell_live()
    while fleet.now - started < LONGEST_S:
        if all(fleet.holders(n) for n in lost):
            break
        fleet.run(0.25)
    took = fleet.now - started
    calls = fleet.calls.total()
    return DomainLoss(
        slots=slots,
        moved=len(lost),
        calls=calls,
        extra_calls=round(calls - usual * took),
        seconds=round(took, 1),
    )


def regions_apart(size: int) -> Apart:
    """Cuts the fleet in two for an hour and joins it again."""
    network = builders_network.Network(SEED)
    network.add_many(size, DOMAINS)
    network.run(capacity_entry.QUIET_AFTER_S[size])
    one = [n for d in range(3) for n in network.in_domain(f"d{d}")]
    other = [n for n in network.nodes if n not in one]
    network.partition(one, other)
    before = sum(network.sent_bytes.values())
    network.run(APART_S)
    apart = sum(network.sent_bytes.values()) - before
    network.effects.clear()
    network.cut = set()
    started, before = network.now, sum(network.sent_bytes.values())
    while not _whole(network) and network.now - started < 120.0:
        network.run(0.5)
    heal_s = network.now - started
    healing = sum(network.sent_bytes.values()) - before
    return Apart(
        nodes=size,
        bytes_per_s=round(apart / APART_S / size, 1),
        heal_bytes_per_s=round(healing / heal_s / size, 1),
        heal_s=round(heal_s, 1),
    )


def _whole(network: builders_network.Network) -> bool:
    alive = {membership.State.ALIVE}
    return all(network.states(name) == alive for name in network.nodes)


def join(engines: int) -> Join:
    """Sizes what a new node is told if views of so many engines are held."""
    network = builders_network.Network(SEED)
    network.add_many(8, DOMAINS)
    network.run(30.0)
    rng = random.Random(SEED)
    codec = wire.Codec({1: directories.EngineView, 2: directories.Held})
    node = network.nodes["n0"]
    for engine in range(engines):
        value = codec.pack(capacity_entry.view(rng, engine))
        node.store.merge(
            network.now, messages.Rumour(f"engine/{engine}", 1, 1, 0, value)
        )
    pull = messages.SyncPull("new", "new", 1, b"")
    effects = node.received(network.now, "new", 1, pull)
    size = sum(
        network.size_of(e.message)
        for e in effects
        if isinstance(e, membership.Datagram | membership.LinkMessage)
    )
    return Join(engines=engines, state_bytes=size)


def burst(size: int) -> Burst:
    """Starts all nodes at once."""
    network = builders_network.Network(SEED)
    network.add_many(size, DOMAINS)
    network.run(BURST_S)
    sent = sum(network.sent_bytes.values())
    return Burst(nodes=size, bytes_per_s=round(sent / BURST_S / size, 1))
