"""Tests of the streams between nodes."""

from twisted.internet import testing

from azureline.core import clock as clocks
from azureline.core import wire
from azureline.fleet import engine_messages
from azureline.metrics import counters as metrics
from azureline.nodes import links as links_lib
from azureline.nodes import messages

MESSAGE = engine_messages.AdapterRequest("engine-1", "can-330")


class _Transport(testing.StringTransport):
    """An in-memory transport that records whether it was aborted."""

    aborting = False

    def abortConnection(self):  # noqa: N802
        self.aborting = True

    def setTcpNoDelay(self, enabled):  # noqa: N802
        pass


class _Receiver:
    def __init__(self):
        self.messages = []
        self.lost_names = []

    def message(self, sender, address, message):
        self.messages.append((sender, message))

    def lost(self, name, address):
        self.lost_names.append(name)


class _Node:
    """The links of one node, without sockets."""

    def __init__(self, name, clock):
        self.receiver = _Receiver()
        self.counters = metrics.Counters()
        self.address = links_lib.Address("127.0.0.1", ord(name))
        self.links = links_lib.Links(
            testing.MemoryReactorClock(),
            name,
            self.address,
            self.receiver,
            clock,
            self.counters,
            links_lib.Timing(),
        )


class _Connection:
    """One stream between two nodes; loses all data if `drops_data` is set."""

    def __init__(self, client, server):
        self.drops_data = False
        self.ends = [
            (client.links.build(server.address), _Transport()),
            (server.links.build(), _Transport()),
        ]
        for proto, transport in self.ends:
            proto.makeConnection(transport)
        self.pump()

    def pump(self):
        for _ in range(6):
            for i, (_, transport) in enumerate(self.ends):
                data = transport.value()
                transport.clear()
                other, other_transport = self.ends[1 - i]
                if (
                    data
                    and not self.drops_data
                    and not other_transport.aborting
                ):
                    other.dataReceived(data)

    def close_aborted(self):
        for proto, transport in self.ends:
            if transport.aborting and transport.connected:
                transport.connected = False
                proto.connectionLost()


def _nodes():
    clock = clocks.ManualClock()
    return clock, _Node("a", clock), _Node("b", clock)


def _run_heartbeats(clock, nodes, connections, seconds):
    for _ in range(seconds):
        clock.advance(1)
        for node in nodes:
            node.links.beat()
        for connection in connections:
            connection.pump()
            connection.close_aborted()


def test_one_stream_carries_messages_in_both_directions():
    _, a, b = _nodes()
    connection = _Connection(a, b)
    a.links.send(b.address, MESSAGE)
    b.links.send(a.address, MESSAGE)
    connection.pump()
    assert b.receiver.messages == [("a", MESSAGE)]
    assert a.receiver.messages == [("b", MESSAGE)]


def test_heartbeats_keep_a_stream_without_messages_open():
    clock, a, b = _nodes()
    connection = _Connection(a, b)
    _run_heartbeats(clock, [a, b], [connection], 30)
    assert not a.receiver.lost_names + b.receiver.lost_names


def test_a_stream_that_went_silent_is_ended_within_five_seconds():
    clock, a, b = _nodes()
    connection = _Connection(a, b)
    connection.drops_data = True
    _run_heartbeats(clock, [a, b], [connection], 5)
    assert a.receiver.lost_names == ["b"]
    assert b.receiver.lost_names == ["a"]


def test_two_streams_opened_at_the_same_time_stay_open():
    clock, a, b = _nodes()
    connections = [_Connection(a, b), _Connection(b, a)]
    _run_heartbeats(clock, [a, b], connections, 10)
    assert not a.receiver.lost_names + b.receiver.lost_names


def test_a_node_with_one_stream_left_is_not_reported_lost():
    clock, a, b = _nodes()
    connections = [_Connection(a, b), _Connection(b, a)]
    connections[0].drops_data = True
    _run_heartbeats(clock, [a, b], connections, 6)
    assert not a.receiver.lost_names + b.receiver.lost_names
    a.links.send(b.address, MESSAGE)
    connections[1].pump()
    assert b.receiver.messages == [("a", MESSAGE)]


def test_malformed_input_closes_only_its_stream():
    clock, a, b = _nodes()
    good, bad = _Connection(a, b), _Connection(a, b)
    bad.ends[1][0].dataReceived(wire.frame(b"\xc1nonsense"))
    _run_heartbeats(clock, [a, b], [good, bad], 3)
    assert b.counters.get("links.malformed") == 1
    assert not b.receiver.lost_names
    a.links.send(b.address, MESSAGE)
    good.pump()
    assert b.receiver.messages == [("a", MESSAGE)]


def test_another_protocol_version_is_rejected():
    _, _, b = _nodes()
    proto = b.links.build()
    transport = _Transport()
    proto.makeConnection(transport)
    hello = messages.Hello(messages.PROTOCOL_VERSION + 1, "x", "h", 1)
    proto.dataReceived(wire.frame(messages.codec().pack(hello)))
    assert transport.aborting
    assert not b.receiver.messages


def test_a_message_before_the_hello_is_malformed():
    _, _, b = _nodes()
    proto = b.links.build()
    transport = _Transport()
    proto.makeConnection(transport)
    proto.dataReceived(wire.frame(messages.codec().pack(MESSAGE)))
    assert transport.aborting


def test_a_node_that_sends_many_messages_leaves_time_for_others():
    # All messages of one read, 64 KiB, were handled in one turn.
    _, a, b = _nodes()
    receiving, _ = _Connection(a, b).ends[0]
    sent = 3000
    receiving.dataReceived(b.links.pack(MESSAGE) * sent)
    assert len(a.receiver.messages) == links_lib.MESSAGES_PER_TURN
    receiving.connectionLost()
    assert len(a.receiver.messages) == sent
