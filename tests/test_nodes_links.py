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
    """A transport in memory that notes when it is aborted."""

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


class _End:
    """One node's links, without sockets."""

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


class _Pipe:
    """Joins one stream of two ends; a silent pipe swallows what is sent."""

    def __init__(self, client, server):
        self.silent = False
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
                if data and not self.silent and not other_transport.aborting:
                    other.dataReceived(data)

    def close_aborted(self):
        for proto, transport in self.ends:
            if transport.aborting and transport.connected:
                transport.connected = False
                proto.connectionLost()


def _pair():
    clock = clocks.ManualClock()
    return clock, _End("a", clock), _End("b", clock)


def _beat(clock, ends, pipes, seconds):
    for _ in range(seconds):
        clock.advance(1)
        for end in ends:
            end.links.beat()
        for pipe in pipes:
            pipe.pump()
            pipe.close_aborted()


def test_messages_pass_both_ways_over_one_stream():
    _, a, b = _pair()
    pipe = _Pipe(a, b)
    a.links.send(b.address, MESSAGE)
    b.links.send(a.address, MESSAGE)
    pipe.pump()
    assert b.receiver.messages == [("a", MESSAGE)]
    assert a.receiver.messages == [("b", MESSAGE)]


def test_heartbeats_keep_a_quiet_stream_open():
    clock, a, b = _pair()
    pipe = _Pipe(a, b)
    _beat(clock, [a, b], [pipe], 30)
    assert not a.receiver.lost_names + b.receiver.lost_names


def test_a_stream_that_went_silent_is_ended_within_five_seconds():
    clock, a, b = _pair()
    pipe = _Pipe(a, b)
    pipe.silent = True
    _beat(clock, [a, b], [pipe], 5)
    assert a.receiver.lost_names == ["b"]
    assert b.receiver.lost_names == ["a"]


def test_two_streams_opened_at_once_both_live():
    clock, a, b = _pair()
    pipes = [_Pipe(a, b), _Pipe(b, a)]
    _beat(clock, [a, b], pipes, 10)
    assert not a.receiver.lost_names + b.receiver.lost_names


def test_losing_one_of_two_streams_loses_nobody():
    clock, a, b = _pair()
    pipes = [_Pipe(a, b), _Pipe(b, a)]
    pipes[0].silent = True
    _beat(clock, [a, b], pipes, 6)
    assert not a.receiver.lost_names + b.receiver.lost_names
    a.links.send(b.address, MESSAGE)
    pipes[1].pump()
    assert b.receiver.messages == [("a", MESSAGE)]


def test_malformed_input_costs_its_sender_the_stream_alone():
    clock, a, b = _pair()
    good, bad = _Pipe(a, b), _Pipe(a, b)
    bad.ends[1][0].dataReceived(wire.frame(b"\xc1nonsense"))
    _beat(clock, [a, b], [good, bad], 3)
    assert b.counters.value("links.malformed") == 1
    assert not b.receiver.lost_names
    a.links.send(b.address, MESSAGE)
    good.pump()
    assert b.receiver.messages == [("a", MESSAGE)]


def test_another_protocol_version_is_turned_away():
    _, _, b = _pair()
    proto = b.links.build()
    transport = _Transport()
    proto.makeConnection(transport)
    hello = messages.Hello(messages.PROTOCOL_VERSION + 1, "x", "h", 1)
    proto.dataReceived(wire.frame(messages.codec().pack(hello)))
    assert transport.aborting
    assert not b.receiver.messages


def test_a_message_before_the_hello_is_malformed():
    _, _, b = _pair()
    proto = b.links.build()
    transport = _Transport()
    proto.makeConnection(transport)
    proto.dataReceived(wire.frame(messages.codec().pack(MESSAGE)))
    assert transport.aborting
