"""Tests that a slot's holder is known whenever its gossip entry arrives.

A gossip entry is delivered once.  One that arrived before the first
configuration was lost, since its slot was not known yet.
"""

import random

from azureline.fleet import messages as fleet_messages
from azureline.fleet import ownership
from azureline.metrics import counters as metrics
from azureline.nodes import links
from azureline.nodes import neighbours as neighbours_lib
from azureline.serving import slot_manager
from tests import builders_config
from tests import builders_network
from tests import builders_serving

SLOT = "once/0"


class _FakeNeighbours(neighbours_lib.Neighbours):
    """Receives gossip entries from a test; opens no socket."""

    def receive_holder(self, record: ownership.Record) -> None:
        value = slot_manager._RECORD_CODEC.pack(record)
        key = slot_manager.HOLDER_PREFIX + SLOT
        entry = fleet_messages.GossipEntry(key, record.epoch, 1, 0, value)
        gossip = fleet_messages.Gossip("node-1", (entry,))
        self.datagram("127.0.0.1", 1, gossip)


def _make_manager():
    clock = builders_serving.Clock()
    rng = random.Random(1)
    counters = metrics.Counters()
    neighbours = _FakeNeighbours(
        clock,
        "node-2",
        builders_network.member_info("node-2", "d2"),
        (),
        clock,
        rng,
        counters,
        links.Timing(),
    )
    store = builders_config.FakeService()
    return neighbours, slot_manager.SlotManager(
        clock, "id", clock, rng, neighbours, store, None, None, counters, 1.0
    )


def _holder_record(epoch=1):
    return ownership.Record("node-1", epoch, "other", "127.0.0.1:1", 1)


def test_a_holder_received_before_the_first_configuration_is_known():
    neighbours, manager = _make_manager()
    neighbours.receive_holder(_holder_record())
    manager.configure(builders_config.configuration())
    assert manager.holder(SLOT) == "node-1"


def test_a_holder_received_after_the_configuration_is_known():
    neighbours, manager = _make_manager()
    manager.configure(builders_config.configuration())
    neighbours.receive_holder(_holder_record())
    assert manager.holder(SLOT) == "node-1"
