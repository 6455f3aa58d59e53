"""Tests of the connections of callers whose requests are relayed."""

import socket

from twisted.internet import defer
from twisted.internet import protocol
from twisted.internet import reactor
from twisted.internet import task
from twisted.trial import unittest

from azureline.callers import relay

PART = b"x" * 50_000
MAX_PARTS = 1000


class _Handler:
    """Answers each request with a stream that does not end."""

    def __init__(self):
        self.parts = 0
        self.gone = defer.Deferred()

    def handle(self, received):
        received.on_disconnect(lambda: self.gone.callback(None))
        received.start_response(200, b"OK", ())
        self._write(received)

    def _write(self, received):
        if received.disconnected or self.parts >= MAX_PARTS:
            return
        self.parts += 1
        received.write_body(PART)
        reactor.callLater(0.001, self._write, received)

    def body_bound(self):
        return 1000

    def closing(self):
        return False


class _Caller(protocol.Protocol):
    """Sends a request; reads the answer or not."""

    def connectionMade(self):  # noqa: N802
        handle = self.transport.getHandle()
        handle.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        self.transport.write(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        if not self.factory.reads:
            self.transport.pauseProducing()


class SlowCallerTest(unittest.TestCase):
    timeout = 20

    def setUp(self):
        self.handler = _Handler()
        factory = relay.make_factory(self.handler, 60.0)
        port = reactor.listenTCP(0, factory, interface="127.0.0.1")
        self.addCleanup(port.stopListening)
        self.port = port.getHost().port

    def _call(self, reads):
        factory = protocol.ClientFactory.forProtocol(_Caller)
        factory.reads = reads
        connector = reactor.connectTCP("127.0.0.1", self.port, factory)
        self.addCleanup(self._close, connector)

    async def _close(self, connector):
        connector.disconnect()
        await task.deferLater(reactor, 0.05)

    async def test_a_caller_that_does_not_read_holds_little_memory(self):
        self._call(reads=False)
        await self.handler.gone
        # The kernel holds a few megabytes for each connection.
        sent = self.handler.parts * len(PART)
        assert sent < relay.MAX_UNSENT_BYTES + (12 << 20)

    async def test_a_caller_that_reads_gets_a_long_answer(self):
        self._call(reads=True)
        while self.handler.parts < MAX_PARTS and not self.handler.gone.called:
            await task.deferLater(reactor, 0.01)
        assert self.handler.parts == MAX_PARTS
