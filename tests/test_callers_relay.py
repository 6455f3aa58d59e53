"""Tests of the connections of callers whose requests are relayed."""

import socket

from twisted.internet import defer
from twisted.internet import protocol
from twisted.internet import reactor
from twisted.internet import task
from twisted.trial import unittest

from azureline.callers import relay
from azureline.callers import unread
from azureline.relay import attempt
from azureline.util import http1
from azureline.util import memory_body
from azureline.util import memory_budget

BUDGET_BYTES = 1000
FREE = memory_budget.FREE_BYTES
PART = b"x" * 50_000
MAX_PARTS = 1000


class _Handler:
    """Answers each request with a stream that does not end."""

    def __init__(self):
        self.body_budget = memory_budget.MemoryBudget(BUDGET_BYTES)
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


def _listen(case, handler):
    """Serves callers until the test ends; returns the port."""
    factory = relay.make_factory(handler, 60.0)
    port = reactor.listenTCP(0, factory, interface="127.0.0.1")
    case.addCleanup(port.stopListening)
    return port.getHost().port


class SlowCallerTest(unittest.TestCase):
    timeout = 20

    def setUp(self):
        self.handler = _Handler()
        self.port = _listen(self, self.handler)

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


class _LargeHandler:
    """Answers each request with a large body whose memory is counted."""

    SIZE = 8 << 20

    def __init__(self):
        self.body_budget = memory_budget.MemoryBudget(BUDGET_BYTES)
        self.answer_budget = memory_budget.MemoryBudget(64 << 20)

    def handle(self, received):
        memory = self.answer_budget.reserve("s1")
        assert memory.grow(self.SIZE)
        head = http1.Head(200, b"OK", ())
        attempt.pass_on(received, http1.Answer(head, b"x" * self.SIZE), memory)

    def body_bound(self):
        return 1000

    def closing(self):
        return False


class UnreadAnswerTest(unittest.TestCase):
    """Large answers that callers have not read."""

    timeout = 30

    def setUp(self):
        self.handler = _LargeHandler()
        self.port = _listen(self, self.handler)
        self.budget = self.handler.answer_budget

    def _call(self, reads):
        factory = protocol.ClientFactory.forProtocol(_Caller)
        factory.reads = reads
        return reactor.connectTCP("127.0.0.1", self.port, factory)

    async def test_an_answer_counts_until_its_caller_has_read_it(self):
        # Callers that do not read held their answers beside any budget.
        connectors = [self._call(reads=False) for _ in range(3)]
        await task.deferLater(reactor, 1.0)
        assert self.budget.used_bytes > 2 * _LargeHandler.SIZE
        connectors[0].disconnect()
        await task.deferLater(reactor, 0.5)
        assert self.budget.used_bytes < 2 * _LargeHandler.SIZE
        # The others are cut off.
        await task.deferLater(reactor, unread.UNREAD_TIMEOUT_S)
        assert self.budget.used_bytes == 0

    async def test_an_answer_that_is_read_gives_its_memory_back(self):
        connector = self._call(reads=True)
        await task.deferLater(reactor, 1.0)
        assert self.budget.used_bytes == 0
        connector.disconnect()
        await task.deferLater(reactor, 0.05)


class _HoldingHandler:
    """Keeps the bodies of requests until `release` is called."""

    def __init__(self):
        self.body_budget = memory_budget.MemoryBudget(BUDGET_BYTES)
        self.held = []

    def handle(self, received):
        self.held.append((received, received.take_body()))

    def release(self):
        for received, _ in self.held:
            received.start_response(200, b"OK", ((b"content-length", b"0"),))
            received.finish_response()
            received.release_body()
        self.held.clear()

    def body_bound(self):
        return 10 * FREE

    def closing(self):
        return False


class _Raw(protocol.Protocol):
    """Keeps what it receives."""

    def connectionMade(self):  # noqa: N802
        self.received = b""
        self.factory.opened.callback(self)

    def dataReceived(self, data):  # noqa: N802
        self.received += data


def _post(size, sent=None):
    head = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n" % size
    return head + b"x" * (size if sent is None else sent)


def _chunked(size):
    head = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
    return (
        head + b"64\r\n%s\r\n" % (b"x" * 100) * (size // 100) + (b"0\r\n\r\n")
    )


class BodyMemoryTest(unittest.TestCase):
    """Bodies of requests that need more memory together than there is."""

    timeout = 20

    def setUp(self):
        self.handler = _HoldingHandler()
        self.port = _listen(self, self.handler)

    async def _open(self):
        factory = protocol.ClientFactory.forProtocol(_Raw)
        factory.opened = defer.Deferred()
        connector = reactor.connectTCP("127.0.0.1", self.port, factory)
        self.addCleanup(self._close, connector)
        return await factory.opened

    async def _close(self, connector):
        connector.disconnect()
        await task.deferLater(reactor, 0.05)

    async def _send(self, data, caller=None):
        caller = caller or await self._open()
        caller.received = b""
        caller.transport.write(data)
        await task.deferLater(reactor, 0.1)
        return caller

    def _assert_refused(self, caller):
        assert caller.received.startswith(b"HTTP/1.1 429")
        assert b"Retry-After" in caller.received

    async def test_a_body_without_room_is_refused_as_not_run(self):
        await self._send(_post(FREE + 600))
        assert len(self.handler.held) == 1
        second = await self._send(_post(FREE + 600))
        self._assert_refused(second)
        # Small bodies have room in any case, and the caller may come back.
        await self._send(_post(FREE + 400))
        await self._send(_post(FREE))
        self._assert_refused(await self._send(_post(FREE + 1)))
        assert len(self.handler.held) == 3
        self.handler.release()
        await self._send(_post(FREE + 600), second)
        assert len(self.handler.held) == 1
        assert self.handler.held[0][1] == b"x" * (FREE + 600)

    async def test_a_body_that_outgrows_the_room_is_refused(self):
        caller = await self._send(_chunked(FREE + 2 * BUDGET_BYTES))
        self._assert_refused(caller)
        assert not self.handler.held
        assert self.handler.body_budget.used_bytes == 0

    async def test_a_caller_that_leaves_gives_its_memory_back(self):
        caller = await self._send(_post(FREE + 600, sent=FREE + 500))
        assert self.handler.body_budget.used_bytes == 500
        caller.transport.loseConnection()
        await task.deferLater(reactor, 0.1)
        assert self.handler.body_budget.used_bytes == 0

    async def test_memory_is_given_back_once(self):
        for _ in range(3):
            await self._send(_post(FREE + 900))
            received, _ = self.handler.held[0]
            self.handler.release()
            received.release_body()
        assert self.handler.body_budget.used_bytes == 0


class _Endless(protocol.Protocol):
    """Sends the same bytes until the node closes the connection."""

    def connectionMade(self):  # noqa: N802
        self.sent = 0
        self.transport.write(self.factory.start)
        self.transport.registerProducer(self, streaming=False)

    def resumeProducing(self):  # noqa: N802
        self.sent += len(self.factory.again)
        self.transport.write(self.factory.again)

    def stopProducing(self):  # noqa: N802
        pass

    def connectionLost(self, reason):  # noqa: N802
        self.factory.closed.callback(self.sent)


class EndlessCallerTest(unittest.TestCase):
    """Callers that send without an end until the node closes."""

    timeout = 20

    def setUp(self):
        self.handler = _HoldingHandler()
        self.port = _listen(self, self.handler)

    async def _assert_closed(self, start, again, limit=8 << 20):
        factory = protocol.ClientFactory.forProtocol(_Endless)
        factory.start, factory.again = start, again
        factory.closed = defer.Deferred()
        connector = reactor.connectTCP("127.0.0.1", self.port, factory)
        factory.closed.addTimeout(5.0, reactor)
        try:
            # The kernel takes some megabytes before the node reads them.
            assert await factory.closed < limit
        finally:
            connector.disconnect()
            await task.deferLater(reactor, 0.05)
        assert not self.handler.held
        assert self.handler.body_budget.used_bytes == 0

    HEAD = b"POST / HTTP/1.1\r\nhost: a\r\n"
    CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"
    MAX_BODY_BYTES = memory_body.MAX_DISCARDED_BYTES + (8 << 20)

    async def test_a_request_line_without_an_end(self):
        await self._assert_closed(b"GET /", b"x" * 8192)

    async def test_a_header_without_an_end(self):
        await self._assert_closed(self.HEAD + b"a: ", b"x" * 8192)

    async def test_headers_without_an_end(self):
        await self._assert_closed(self.HEAD, b"a: b\r\n" * 999)

    async def test_a_chunk_size_without_an_end(self):
        await self._assert_closed(self.CHUNKED, b"0" * 8192)

    async def test_a_chunk_extension_without_an_end(self):
        await self._assert_closed(self.CHUNKED + b"1;", b"x" * 8192)

    async def test_trailers_without_an_end(self):
        await self._assert_closed(self.CHUNKED + b"0\r\n", b"a: b\r\n" * 999)

    async def test_chunks_without_an_end(self):
        chunk = b"2000\r\n%s\r\n" % (b"x" * 8192)
        await self._assert_closed(self.CHUNKED, chunk, self.MAX_BODY_BYTES)

    async def test_a_body_of_a_length_far_over_the_limit(self):
        length = b"content-length: 99999999999\r\n\r\n"
        start = self.HEAD + length
        await self._assert_closed(start, b"x" * 8192, self.MAX_BODY_BYTES)
