"""Tests of messages to all nodes, through some nodes of large domains."""

import collections
import random

from azureline.core import clock as clocks
from azureline.metrics import counters as metrics
from azureline.relay import keys
from azureline.relay import messages
from azureline.relay import peers as peers_lib
from tests import builders_relay as builders

_SIZES = {"a": 12, "b": 12, "c": 2}
_RECORDS = [
    keys.NodeRecord(f"{domain}{i}", f"127.0.{place}.{i + 1}", 7380, domain)
    for place, (domain, size) in enumerate(_SIZES.items())
    for i in range(size)
]


class _Peers(peers_lib.Peers):
    """Hands messages to the other nodes of a network at once."""

    network: "_Network"

    def send(self, record, message):
        self.network.deliver(self.own, record, message)


class _Network:
    def __init__(self):
        self.peers = {}
        self.sent = []
        self.gone = set()
        self.heard = collections.Counter()
        for record in _RECORDS:
            node = _Peers(
                record,
                clocks.SystemClock(),
                metrics.Counters(),
                random.Random(record.name),
            )
            node.network = self
            for other in _RECORDS:
                node.set_node(other)
            node.on(
                messages.EngineState,
                lambda m, h, p, name=record.name: self.heard.update([name]),
            )
            self.peers[record.name] = node

    def deliver(self, sender, record, message):
        if sender.name != record.name:
            self.sent.append((sender, record))
        if record.name not in self.gone:
            node = self.peers[record.name]
            node.datagram(sender.host, sender.port, message)

    @property
    def far(self):
        return sum(a.domain != b.domain for a, b in self.sent)


def test_all_nodes_hear_a_broadcast():
    network = _Network()
    network.peers["a0"].broadcast(builders.engine_state())
    assert set(network.heard) == {r.name for r in _RECORDS}


def test_a_large_domain_is_told_through_few_nodes():
    network = _Network()
    network.peers["a0"].broadcast(builders.engine_state())
    # Two to each of the other domains, and none from those to others.
    assert network.far == 2 * 2


def test_one_node_that_is_gone_leaves_no_domain_out():
    for seed in range(20):
        network = _Network()
        network.gone = {f"b{seed % 12}"}
        network.peers["a1"].broadcast(builders.engine_state())
        others = {r.name for r in _RECORDS} - network.gone
        assert set(network.heard) == others


def test_what_no_node_takes_is_not_passed_on():
    network = _Network()
    odd = messages.ToDomain(messages.ToDomain(builders.engine_state()))
    network.peers["b0"].datagram("127.0.0.1", 7380, odd)
    network.peers["b0"].datagram("127.0.0.1", 7380, messages.ToDomain("x"))
    assert not network.sent


def test_a_passed_on_message_survives_the_wire():
    codec = messages.codec()
    message = messages.ToDomain(builders.engine_state("e1", "m"))
    assert codec.unpack(codec.pack(message)) == message
