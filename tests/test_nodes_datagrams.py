"""Tests of the datagrams between nodes."""

import socket

import msgpack
import pytest
from twisted.internet import defer
from twisted.internet import reactor
from twisted.internet import task
from twisted.trial import unittest

from azureline.core import wire
from azureline.metrics import counters as metrics
from azureline.nodes import datagrams
from azureline.nodes import messages

ADDRESS = ("127.0.0.1", 7380)


class _Receiver:
    def __init__(self):
        self.messages = []

    def datagram(self, host, port, message):
        self.messages.append(message)
        if isinstance(message, messages.Hello):
            raise ValueError("a handler that fails")


class _Flooded:
    """A socket for which datagrams arrive faster than they are read."""

    def __init__(self, datagram):
        self.reads = 0
        self._datagram = datagram

    def recvfrom(self, size):
        self.reads += 1
        assert self.reads < 10_000, "other connections never get their turn"
        return self._datagram, ADDRESS


def _port(receiver):
    handler = datagrams.Datagrams(
        receiver, metrics.Counters(), messages.codec()
    )
    return datagrams.listen(reactor, handler, "127.0.0.1", 0)


class FloodTest(unittest.TestCase):
    async def test_a_node_that_floods_leaves_time_for_others(self):
        # Empty datagrams were read for as long as they came.
        valid = messages.codec().pack(messages.Heartbeat())
        for datagram in (b"", b"x", valid):
            receiver = _Receiver()
            port = _port(receiver)
            opened, port.socket = port.socket, _Flooded(datagram)
            port.doRead()
            assert 0 < port.socket.reads <= datagrams.MAX_PER_TURN
            port.socket = opened
            await defer.maybeDeferred(port.stopListening)

    async def test_datagrams_arrive_after_one_that_fails(self):
        receiver = _Receiver()
        port = _port(receiver)
        self.addCleanup(port.stopListening)
        codec = messages.codec()
        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(sender.close)
        to = ("127.0.0.1", port.getHost().port)
        sender.sendto(codec.pack(messages.Hello(1, "n", "h", 1)), to)
        for _ in range(2 * datagrams.MAX_PER_TURN):
            sender.sendto(codec.pack(messages.Heartbeat()), to)
        await task.deferLater(reactor, 0.1)
        assert len(receiver.messages) == 1 + 2 * datagrams.MAX_PER_TURN


def test_a_deeply_nested_message_is_malformed():
    # One datagram ended the process: the recursion overflowed the C stack.
    data = msgpack.packb([1])
    for _ in range(230):
        data = msgpack.packb([1, msgpack.ExtType(1, data)])
    assert len(data) <= datagrams.MAX_DATAGRAM_BYTES
    codec = messages.codec()
    with pytest.raises(wire.MalformedError):
        codec.unpack(data)
    sent = messages.Hello(1, "n", "h", 1)
    assert codec.unpack(codec.pack(sent)) == sent
