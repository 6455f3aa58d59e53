"""Tests of the stored copy of a configuration that the store has forgotten."""

import pytest
from twisted.internet import task

from azureline.metrics import counters as counters_lib
from azureline.platform import store as store_lib
from azureline.relay import config_copy
from azureline.relay import keys
from azureline.relay import peers as peers_lib
from azureline.util import events
from tests import builders_store

RECORDS = [keys.NodeRecord(f"n{n}", "127.0.0.1", n, "d1") for n in range(4)]


class _Fleet:
    """Nodes that share a store; each sees every change of the copy."""

    def __init__(self):
        self.reactor = task.Clock()
        self.state = builders_store.FakeStore(self.reactor.seconds)
        self.sides = [self._side(record) for record in RECORDS]

    def _side(self, record):
        counters = counters_lib.Counters()
        peers = peers_lib.Peers(record, None, counters)
        for other in RECORDS:
            peers.set_node(other)
        return config_copy.ConfigCopy(
            self.reactor,
            builders_store.FakeStoreClient(self.state, self.reactor, 0.5),
            peers,
            counters,
            events.null_log(),
        )

    @property
    def copy(self):
        return self.state.items.get(keys.CONFIG_COPY)

    def tell(self, call, *arguments):
        for side in self.sides:
            getattr(side, call)(*arguments)

    def play(self, seconds):
        for _ in range(int(seconds / 0.1)):
            self.reactor.advance(0.1)
            if self.copy is None:
                self.tell("copy_removed")
            else:
                self.tell("copy_changed", 8, self.copy.revision)


@pytest.fixture
def fleet():
    made = _Fleet()
    made.tell("operators_changed", 8)
    made.tell("put_in_force", 8, b"eight")
    return made


def test_nothing_is_stored_while_the_operators_key_has_the_version(fleet):
    fleet.play(5.0)
    assert fleet.copy is None


def test_one_node_stores_a_configuration_that_the_store_forgot(fleet):
    fleet.tell("store_returned")
    fleet.tell("operators_changed", 7)
    fleet.play(6.0)
    assert fleet.copy.value == b"eight"
    revision = fleet.copy.revision
    fleet.play(6.0)
    assert fleet.copy.revision == revision


def test_the_copy_is_removed_once_the_operators_have_written_again(fleet):
    fleet.tell("operators_changed", 7)
    fleet.play(6.0)
    fleet.tell("operators_changed", 8)
    fleet.play(8.0)
    assert fleet.copy is None


def test_the_next_node_stores_it_if_the_first_cannot(fleet):
    ranks = [side._writer.rank for side in fleet.sides]
    first = fleet.sides[ranks.index(0)]
    first._store.fault = builders_store.Fault.REFUSED
    fleet.tell("operators_changed", 7)
    fleet.play(3.0)
    assert isinstance(fleet.copy, store_lib.Item)
