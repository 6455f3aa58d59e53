"""Tests of connections that have much to parse."""

import random

from twisted.internet import defer
from twisted.internet import protocol
from twisted.internet import reactor
from twisted.internet import task
from twisted.internet import testing
from twisted.trial import unittest
from twisted.web import http

from azureline.util import bodies
from azureline.util import http_service
from azureline.util import memory_body
from azureline.util import turns
from tests import builders_http1

HEAD = b"POST / HTTP/1.1\r\nhost: a\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"


class _Request(memory_body.MemoryBody, http.Request):
    """Answers with its body, at once or later, as the body's first byte says.

    Attributes:
      received: the number of parts of all bodies.
    """

    received = 0

    def max_body_bytes(self):
        return 1 << 20

    def handleContentChunk(self, data):  # noqa: N802
        type(self).received += 1
        super().handleContentChunk(data)

    def process(self):
        body = self.take_body()
        if body[:1] == b"s":
            self._answer(body)
        else:
            reactor.callLater(0, self._answer, body)

    def _answer(self, body):
        self.setHeader(b"content-length", b"%d" % len(body))
        self.write(body)
        self.finish()


class _Caller(protocol.Protocol):
    def connectionMade(self):  # noqa: N802
        self.received = b""
        self.lost = defer.Deferred()
        self.factory.opened.callback(self)

    def dataReceived(self, data):  # noqa: N802
        self.received += data

    def connectionLost(self, reason):  # noqa: N802
        self.lost.callback(None)


class ChannelTest(unittest.TestCase):
    timeout = 30

    def setUp(self):
        port = reactor.listenTCP(
            0, http_service.Factory(_Request), interface="127.0.0.1"
        )
        self.addCleanup(port.stopListening)
        self.port = port.getHost().port

    async def _open(self):
        factory = protocol.ClientFactory.forProtocol(_Caller)
        factory.opened = defer.Deferred()
        connector = reactor.connectTCP("127.0.0.1", self.port, factory)
        caller = await factory.opened

        async def close():
            connector.disconnect()
            await task.deferLater(reactor, 0.05)

        self.addCleanup(close)
        return caller

    def _encode(self, rng, body):
        if rng.random() < 0.5:
            return HEAD + b"content-length: %d\r\n\r\n%s" % (len(body), body)
        data = CHUNKED
        while body:
            size = rng.choice((1, 7, 100, 3000))
            part, body = body[:size], body[size:]
            data += b"%x\r\n%s\r\n" % (len(part), part)
        return data + b"0\r\n\r\n"

    async def test_requests_on_one_connection_are_answered_whole_in_order(self):
        for seed in range(6):
            rng = random.Random(seed)
            sent = [
                rng.choice((b"s", b"a"))
                + b"%d" % number * rng.choice((1, 10, 1000, 20_000))
                for number in range(60)
            ]
            caller = await self._open()
            data = b"".join(self._encode(rng, body) for body in sent)
            while data:
                size = rng.choice((1, 100, 5000, 200_000))
                caller.transport.write(data[:size])
                data = data[size:]
                await task.deferLater(reactor, 0)
            deadline = reactor.seconds() + 5
            while (
                not caller.received.endswith(sent[-1])
                and reactor.seconds() < deadline
            ):
                await task.deferLater(reactor, 0.01)
            rest = caller.received
            for body in sent:
                head, _, rest = rest.partition(b"\r\n\r\n")
                assert b"200" in head, (seed, head)
                assert rest[: len(body)] == body, seed
                rest = rest[len(body) :]
            assert not rest

    async def test_a_caller_of_many_small_chunks_is_cut_off(self):
        # Four million chunks of a byte took half a minute of processor time.
        caller = await self._open()
        chunks = b"1\r\nx\r\n" * (2 * bodies.MAX_SMALL_PARTS)
        caller.transport.write(CHUNKED + chunks)
        await caller.lost
        assert not caller.received


def test_a_turn_parses_a_bounded_number_of_chunks_however_many_callers_send():
    # What was read at once, 64 KiB, took 70 ms for each such caller.
    turn_reactor = builders_http1.TurnReactor()
    factory = http_service.Factory(_Request)
    factory.turns = turns.Turns(turn_reactor)
    _Request.received = 0
    chunks, callers = 3000, 100
    for _ in range(callers):
        channel = factory.buildProtocol(None)
        channel.callLater = lambda *unused: testing.StringTransport()
        channel.setTimeout = lambda *unused: None
        channel.makeConnection(testing.StringTransport())
        channel.dataReceived(CHUNKED + b"1\r\nx\r\n" * chunks)
    handled = _Request.received
    assert handled < callers * 500
    while turn_reactor.calls:
        turn_reactor.turn()
        assert _Request.received - handled < turns.MAX_CALLS * 500
        handled = _Request.received
    assert handled == callers * chunks
