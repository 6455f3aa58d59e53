"""The room learns who holds a slot, in whatever order that is heard."""

import random

from azureline.fleet import messages as fleet_messages
from azureline.fleet import ownership
from azureline.metrics import counters as metrics
from azureline.nodes import links
from azureline.nodes import neighbours as neighbours_lib
from azureline.serving import engine_room
from tests import builders_config
from tests import builders_network
from tests import builders_serving

SLOT = "once/0"


class _Network(neighbours_lib.Neighbours):
    """Hears what a test says; nothing is sent."""

    def hears_of_holder(self, record: ownership.Record) -> None:
        value = engine_room._RECORDS.pack(record)
        key = engine_room.OWNERS + SLOT
        rumour = fleet_messages.Rumour(key, record.epoch, 1, 0, value)
        gossip = fleet_messages.Gossip("node-1", (rumour,))
        self.datagram("127.0.0.1", 1, gossip)


def _room():
    clock = builders_serving.Clock()
    rng = random.Random(1)
    counters = metrics.Counters()
    network = _Network(
        clock,
        "node-2",
        builders_network.info("node-2", "d2"),
        (),
        clock,
        rng,
        counters,
        links.Timing(),
    )
    store = builders_config.FakeService()
    return network, engine_room.EngineRoom(
        clock, "id", clock, rng, network, store, None, None, counters, 1.0
    )


def _holder_of(epoch=1):
    return ownership.Record("node-1", epoch, "other", "127.0.0.1:1", 1)


def test_a_holder_heard_of_before_the_first_configuration_is_known():
    network, room = _room()
    network.hears_of_holder(_holder_of())
    room.configure(builders_config.configuration())
    assert room.holder(SLOT) == "node-1"


def test_a_holder_heard_of_after_the_configuration_is_known():
    network, room = _room()
    room.configure(builders_config.configuration())
    network.hears_of_holder(_holder_of())
    assert room.holder(SLOT) == "node-1"
