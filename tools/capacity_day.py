"""Measures operational events: joins, mass starts, losses and partitions."""

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
# Time until the other nodes notice the loss of a failure domain.
NOTICED_S = 20.0
SETTLE_S = 24.0
# Longest measured time until all slots are held again.
LONGEST_S = 60.0
APART_SIZES = (8, 16, 32)
APART_S = 3600.0
JOIN_ENGINES = (100, 300, 900)
BURST_SIZES = (8, 16, 32, 64)
BURST_S = 30.0


class DomainLoss(TypedDict):
    """Cost of the loss of a failure domain.

    Attributes:
      slots: number of slots of the fleet.
      moved: number of slots whose holder was lost.
      calls: calls to the platform's service until all slots are held again.
      extra_calls: calls in that time beyond those of the steady state.
      seconds: time until all slots are held again.
    """

    slots: int
    moved: int
    calls: int
    extra_calls: int
    seconds: float


class Apart(TypedDict):
    """Cost of a network partition of one hour.

    Attributes:
      nodes: size of the fleet.
      bytes_per_s: bytes per second that a node sends during the partition.
      heal_bytes_per_s: bytes per second that a node sends until membership
        has converged again.
      heal_s: time after the partition until every node sees every other as
        alive.
    """

    nodes: int
    bytes_per_s: float
    heal_bytes_per_s: float
    heal_s: float


class Join(TypedDict):
    """State that a new node receives.

    Attributes:
      engines: number of engines whose views the fleet holds.
      state_bytes: size of the reply to the node's first pull.
    """

    engines: int
    state_bytes: int


class Burst(TypedDict):
    """Cost of starting all nodes at once.

    Attributes:
      nodes: size of the fleet.
      bytes_per_s: bytes per second that a node sends in the first 30 s.
    """

    nodes: int
    bytes_per_s: float


def lost_domain(slots: int) -> DomainLoss:
    """Kills one of seven domains; the other nodes notice after 20 s."""
    names = [f"engines/{n}" for n in range(slots)]
    fleet = test_fleet_ownership.Fleet(SEED, NODES, names)
    fleet.run(SETTLE_S)
    fleet.calls.clear()
    fleet.run(SETTLE_S)
    steady_calls_per_s = fleet.calls.total() / SETTLE_S
    held_before = [n for n in names if fleet.holders(n)]
    for number, node in enumerate(fleet.nodes.values()):
        node.dead = number % DOMAINS == 0
    lost = [n for n in held_before if not fleet.holders(n)]
    fleet.calls.clear()
    started = fleet.now
    fleet.run(NOTICED_S)
    fleet.update_live_nodes()
    while fleet.now - started < LONGEST_S:
        if all(fleet.holders(n) for n in lost):
            break
        fleet.run(0.25)
    took_s = fleet.now - started
    calls = fleet.calls.total()
    return DomainLoss(
        slots=slots,
        moved=len(lost),
        calls=calls,
        extra_calls=round(calls - steady_calls_per_s * took_s),
        seconds=round(took_s, 1),
    )


def regions_apart(size: int) -> Apart:
    """Partitions the fleet for an hour and measures until it has healed."""
    network = builders_network.Network(SEED)
    network.add_many(size, DOMAINS)
    network.run(capacity_entry.QUIET_AFTER_S[size])
    side_a = [n for d in range(3) for n in network.in_domain(f"d{d}")]
    side_b = [n for n in network.nodes if n not in side_a]
    network.partition(side_a, side_b)
    before = sum(network.sent_bytes.values())
    network.run(APART_S)
    partition_bytes = sum(network.sent_bytes.values()) - before
    network.effects.clear()
    network.broken_paths = set()
    started, before = network.now, sum(network.sent_bytes.values())
    while not _all_alive(network) and network.now - started < 120.0:
        network.run(0.5)
    heal_s = network.now - started
    heal_bytes = sum(network.sent_bytes.values()) - before
    return Apart(
        nodes=size,
        bytes_per_s=round(partition_bytes / APART_S / size, 1),
        heal_bytes_per_s=round(heal_bytes / heal_s / size, 1),
        heal_s=round(heal_s, 1),
    )


def _all_alive(network: builders_network.Network) -> bool:
    alive = {membership.State.ALIVE}
    return all(network.states(name) == alive for name in network.nodes)


def join(engines: int) -> Join:
    """Measures the state sent to a new node for a number of engine views."""
    network = builders_network.Network(SEED)
    network.add_many(8, DOMAINS)
    network.run(30.0)
    rng = random.Random(SEED)
    codec = wire.Codec({1: directories.EngineView, 2: directories.HeldModel})
    node = network.nodes["n0"]
    for engine in range(engines):
        value = codec.pack(capacity_entry.view(rng, engine))
        node.store.merge(
            network.now,
            messages.GossipEntry(f"engine/{engine}", 1, 1, 0, value),
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
    """Starts all nodes at once and measures the first 30 s."""
    network = builders_network.Network(SEED)
    network.add_many(size, DOMAINS)
    network.run(BURST_S)
    sent = sum(network.sent_bytes.values())
    return Burst(nodes=size, bytes_per_s=round(sent / BURST_S / size, 1))
