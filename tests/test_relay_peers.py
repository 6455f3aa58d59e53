"""Tests of broadcasts, which some nodes forward in large domains."""

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
    """Delivers messages to the other nodes of a network at once."""

    network: "_Network"

    def send(self, record, message):
        self.network.deliver(self.own, record, message)


class _Network:
    def __init__(self):
        self.peers = {}
        self.sent = []
        self.failed = set()
        self.received = collections.Counter()
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
                lambda m, h, p, name=record.name: self.received.update([name]),
            )
            self.peers[record.name] = node

    def deliver(self, sender, record, message):
        if sender.name != record.name:
            self.sent.append((sender, record))
        if record.name not in self.failed:
            node = self.peers[record.name]
            node.datagram(sender.host, sender.port, message)

    @property
    def cross_domain_count(self):
        return sum(a.domain != b.domain for a, b in self.sent)


def test_all_nodes_receive_a_broadcast():
    network = _Network()
    network.peers["a0"].broadcast(builders.engine_state())
    assert set(network.received) == {r.name for r in _RECORDS}


def test_broadcast_to_large_domain_goes_to_few_nodes():
    network = _Network()
    network.peers["a0"].broadcast(builders.engine_state())
    # Two messages to each other domain, and none from there to a third one.
    assert network.cross_domain_count == 2 * 2


def test_broadcast_reaches_all_domains_if_one_node_failed():
    for seed in range(20):
        network = _Network()
        network.failed = {f"b{seed % 12}"}
        network.peers["a1"].broadcast(builders.engine_state())
        others = {r.name for r in _RECORDS} - network.failed
        assert set(network.received) == others


def test_messages_without_handler_are_not_forwarded():
    network = _Network()
    nested = messages.ToDomain(messages.ToDomain(builders.engine_state()))
    network.peers["b0"].datagram("127.0.0.1", 7380, nested)
    network.peers["b0"].datagram("127.0.0.1", 7380, messages.ToDomain("x"))
    assert not network.sent


def test_forwarded_message_round_trips_through_the_codec():
    codec = messages.codec()
    message = messages.ToDomain(builders.engine_state("e1", "m"))
    assert codec.unpack(codec.pack(message)) == message
