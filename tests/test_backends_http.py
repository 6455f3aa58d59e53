"""Tests of the client for backend servers, over real connections."""

from twisted.internet import defer
from twisted.internet import reactor
from twisted.internet import task
from twisted.trial import unittest

from azureline.backends import http
from azureline.util import bodies
from azureline.util import memory_budget
from tests import builders_http1

HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nX-Request-Id: r1\r\n"
SMALL_CHUNKS = b"1\r\nx\r\n" * 9999


class _Sink:
    """Collects a stream."""

    def __init__(self):
        self.data = b""
        self.transport = None
        self.closed = defer.Deferred()

    def on_opened(self, transport):
        self.transport = transport

    def on_data(self, data):
        self.data += data

    def on_closed(self, reason):
        self.closed.callback(reason)


class BackendClientTest(unittest.TestCase):
    timeout = 20

    def setUp(self):
        self.budget = memory_budget.MemoryBudget(50 << 20, 0.5)
        self.client = http.BackendClient(reactor, 1.0, self.budget)
        self.addCleanup(self._close)

    async def _close(self):
        await self.client.close()
        await task.deferLater(reactor, 0.05)

    def _serve(self, *script):
        address, factory = builders_http1.serve(self, *script)
        return f"http://{address.host}:{address.port}", factory

    async def _call(self, url):
        return await self.client.call_service(
            f"{url}/a?b=c", b"POST", b"{}", {"X-Key": "k"}, 5.0
        )

    async def test_a_call_returns_the_whole_answer(self):
        answer = b"HTTP/1.1 200 OK\r\ncontent-type: a/b\r\n%s\r\n\r\nok"
        url, factory = self._serve([answer % b"content-length: 2"])
        reply = await self._call(url)
        assert reply == http.Reply(200, "a/b", b"ok", True)
        assert self.budget.used_bytes == 0

    async def test_an_answer_without_an_explicit_end_is_a_failure(self):
        url, _ = self._serve([b"HTTP/1.1 200 OK\r\n\r\nok", "close"])
        failed = await self._call(url)
        assert isinstance(failed, http.Failure) and failed.sent

    async def test_a_refused_connection_was_not_sent(self):
        failed = await self._call("http://127.0.0.1:1")
        assert not failed.sent and failed.refused

    async def test_small_chunks_without_an_end_fail_before_the_timeout(self):
        address, served = builders_http1.serve_endless(
            self, HEAD + b"\r\n", SMALL_CHUNKS
        )
        failed = await self._call(f"http://{address.host}:{address.port}")
        assert failed.reason == bodies.TOO_MANY_PARTS and failed.sent
        await served.closed.addTimeout(2.0, reactor)
        assert self.budget.used_bytes == 0

    async def test_a_stream_is_forwarded_and_can_be_paused(self):
        chunks = b"".join(b"4\r\n%04d\r\n" % n for n in range(500))
        url, _ = self._serve([HEAD + b"\r\n" + chunks + b"0\r\n\r\n"])
        stream = await self.client.generate(url, {})
        assert stream.status == 200 and stream.request_id == "r1"
        sink = _Sink()
        self.client.forward_body(stream, sink)
        sink.transport.pauseProducing()
        await task.deferLater(reactor, 0.1)
        paused = sink.data
        assert len(paused) < 2000
        sink.transport.resumeProducing()
        await sink.closed.addTimeout(2.0, reactor)
        assert sink.data == b"".join(b"%04d" % n for n in range(500))

    async def test_the_connection_of_a_stream_that_nobody_reads_is_closed(self):
        address, served = builders_http1.serve_endless(
            self, b"HTTP/1.1 404 No\r\n\r\n", b"x" * 999
        )
        url = f"http://{address.host}:{address.port}"
        stream = await self.client.resume(url, "r1", 3)
        assert stream.status == 404
        await served.closed.addTimeout(2.0, reactor)

    async def test_a_dropped_stream_closes_its_connection(self):
        address, served = builders_http1.serve_endless(
            self, HEAD + b"\r\n", SMALL_CHUNKS
        )
        stream = await self.client.generate(
            f"http://{address.host}:{address.port}", {}
        )
        sink = _Sink()
        self.client.forward_body(stream, sink)
        sink.transport.loseConnection()
        await served.closed.addTimeout(2.0, reactor)
        assert not sink.closed.called

    async def test_a_stream_is_resumed_on_a_new_connection(self):
        # The idle ones of an engine that has just ended are broken, too: each
        # attempt to resume took one, until the stream was given up.
        answer = b"HTTP/1.1 404 No\r\ncontent-length: 0\r\n\r\n"
        url, factory = self._serve(*[[answer]] * 3)
        for _ in range(2):
            await self.client.cancel(url, "r1")
        assert len(factory.connections) == 1
        await self.client.resume(url, "r1", 3)
        assert len(factory.connections) == 2
