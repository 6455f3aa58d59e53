"""Measures the cost of membership for a node, by size of the fleet.

The decision code of all nodes runs in this process on a virtual clock, over a
simulated network without loss.  Messages are packed and unpacked as on the
wire.
"""

import json
import pathlib
import sys
import time
from typing import TypedDict

from azureline.fleet import messages
from tests import builders_network

RESULTS = pathlib.Path("docs/results/membership.json")
SIZES = (8, 16, 32, 64, 128, 360)
DOMAINS = 7
SETTLE_S = 60.0
WINDOW_S = 60.0
ENTRIES = 5
SEED = 1


class Row(TypedDict):
    """Results at one fleet size.

    Attributes:
      nodes: size of the fleet.
      bytes_per_s: bytes that a node sends per second in a quiet fleet, with
        28 bytes of headers for each message; mean over the nodes.
      busiest_bytes_per_s: the same for the node that sends most.
      cpu_share: processor seconds per node and second of the decision code and
        the codec.
      spread_s: seconds until an gossip entry is on every node; the worst of
        several entries.
      join_bytes: size of the state that a new node receives, in bytes.
      dead_seen_s: seconds until every node sees a killed node as dead.
    """

    nodes: int
    bytes_per_s: float
    busiest_bytes_per_s: float
    cpu_share: float
    spread_s: float
    join_bytes: int
    dead_seen_s: float


def main() -> int:
    """Measures all sizes, writes the results and prints them."""
    rows = [measure(size) for size in SIZES]
    RESULTS.write_text(
        json.dumps({"seed": SEED, "rows": rows}, indent=1) + "\n"
    )
    for row in rows:
        print(json.dumps(row))
    return 0


def measure(size: int) -> Row:
    """Returns the results for one fleet size."""
    network = builders_network.Network(SEED)
    names = network.add_many(size, DOMAINS)
    network.run(SETTLE_S)
    before = dict(network.sent_bytes)
    started = time.process_time()
    network.run(WINDOW_S)
    cpu_s = time.process_time() - started
    rates = [(network.sent_bytes[n] - before[n]) / WINDOW_S for n in names]
    return Row(
        nodes=size,
        bytes_per_s=round(sum(rates) / size, 1),
        busiest_bytes_per_s=round(max(rates), 1),
        cpu_share=round(cpu_s / WINDOW_S / size, 6),
        spread_s=round(
            max(_spread_time(network, i) for i in range(ENTRIES)), 1
        ),
        join_bytes=_join_bytes(network),
        dead_seen_s=round(_failure_detection_time(network, names[-1]), 1),
    )


def _spread_time(network: builders_network.Network, number: int) -> float:
    key = f"config/{number}"
    entry = messages.GossipEntry(key, 1, 0, 0, bytes(200))
    network.act("n1", network.nodes["n1"].publish(network.now, entry))
    started = network.now
    while any(n.store.get(key) is None for n in network.nodes.values()):
        network.run(builders_network.TICK_S)
    return network.now - started


def _join_bytes(network: builders_network.Network) -> int:
    pull = messages.SyncPull("new", "new", 1, b"")
    effects = network.nodes["n0"].received(network.now, "new", 1, pull)
    return network.size_of(effects[0].message)


def _failure_detection_time(
    network: builders_network.Network, name: str
) -> float:
    network.kill(name)
    started = network.now
    while any(
        (member := node.member(name)) is None or member.state.name != "DEAD"
        for node in network.nodes.values()
    ):
        network.run(builders_network.TICK_S)
    return network.now - started


if __name__ == "__main__":
    sys.exit(main())
