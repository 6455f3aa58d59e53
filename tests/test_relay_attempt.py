"""Tests of attempts on a backend server, over real connections.

The server sends an endless answer; the attempt must abort it at the size limit
instead of buffering it.
"""

from twisted.internet import reactor
from twisted.trial import unittest

from azureline.platform import requests as wire
from azureline.relay import attempt
from azureline.relay import stream_events
from azureline.util import bodies
from tests import builders_http1
from tests import builders_relay


class _ReceivedRequest:
    """A fake caller connection that counts the bytes it receives."""

    response_started = False

    def __init__(self):
        self.got = 0

    def start_response(self, status, reason, headers):
        self.response_started = True

    def write_body(self, data):
        self.got += len(data)


_ID = b"9c41d07be2a35f68"
_SEAL = b"Azureline-Server-Seal: x\r\n"
_ECHO = b"Azureline-Request-Id: %s\r\n" % _ID
_EVENTS = b"id: 0\ndata: a\n\nid: 1\ndata: b\n\n"


class _Caller(_ReceivedRequest):
    """A fake caller connection that keeps what it receives."""

    def __init__(self):
        super().__init__()
        self.statuses = []
        self.body = b""
        self.finished = False

    def start_response(self, status, reason, headers):
        super().start_response(status, reason, headers)
        self.statuses.append(status)

    def write_body(self, data):
        self.body += data

    def finish_response(self):
        self.finished = True


class ReportedFaultsTest(unittest.TestCase):
    """Faults of backend servers that other operators reported."""

    def setUp(self):
        self.received = _Caller()
        self.reader = stream_events.EventReader("")
        self.client = builders_http1.client(self)

    async def _attempt(self, address, fresh=True, **fields):
        one_attempt = attempt.Attempt(
            self.received,
            _ID.decode(),
            builders_relay.route(**fields),
            self.reader,
            None,
            reactor.seconds,
            lambda first_s: None,
            lambda head: None,
            lambda: None,
            lambda: None,
        )
        caller = builders_relay.request(headers=((b"host", b"x"),))
        request = wire.build_request(caller, 5.0, "e1", None, None)
        one_attempt.begin(self.client, address, request, fresh=fresh)
        return await one_attempt.done.addTimeout(5.0, reactor)

    async def test_an_error_in_the_middle_of_a_stream_is_not_passed_on(self):
        kind = builders_relay.routes.Kind.STREAMING
        for status in (b"400 Bad", b"404 None", b"429 Many", b"302 Found"):
            self.setUp()
            head = b"HTTP/1.1 200 OK\r\n%s%sContent-Length: 999\r\n\r\n"
            error = b"HTTP/1.1 %s\r\n%sContent-Length: 5\r\n\r\nerror"
            address, _ = builders_http1.serve(
                self,
                [head % (_SEAL, _ECHO) + _EVENTS, "reset"],
                [error % (status, _ECHO)],
            )
            first = await self._attempt(address, kind=kind)
            second = await self._attempt(address, kind=kind)
            assert first.end is attempt.End.BROKEN
            assert second.end is attempt.End.BROKEN, status
            assert self.received.body == _EVENTS, status
            assert self.received.statuses == [200]
            assert not self.received.finished, status

    async def test_an_answer_that_ends_within_its_head_is_broken(self):
        for kind in builders_relay.routes.Kind:
            self.setUp()
            address, _ = builders_http1.serve(
                self, [b"HTTP/1.1 200 OK\r\n" + _SEAL + _ECHO, "close"]
            )
            result = await self._attempt(address, kind=kind)
            assert result.end is attempt.End.BROKEN and result.lost
            assert self.received.statuses == []

    async def test_a_stream_without_a_length_and_events_is_broken(self):
        kind = builders_relay.routes.Kind.STREAMING
        address, _ = builders_http1.serve(
            self, [b"HTTP/1.1 200 OK\r\n%s%s\r\n" % (_SEAL, _ECHO), "close"]
        )
        result = await self._attempt(address, kind=kind)
        assert result.end is attempt.End.BROKEN and result.lost
        assert self.received.statuses == []

    async def test_a_repeated_refusal_without_an_id_promises_nothing(self):
        refusal = (
            b"HTTP/1.1 503 Full\r\nAzureline-Not-Executed: 1\r\n"
            b"%sContent-Length: 0\r\n\r\n"
        )
        address, served = builders_http1.serve(
            self, [refusal % _ECHO], [refusal % b""]
        )
        first = await self._attempt(address, fresh=False)
        second = await self._attempt(address, fresh=False)
        assert first.end is attempt.End.NOT_RUN
        assert len(served.connections) == 1
        assert second.end is attempt.End.BROKEN


class EndlessAnswerTest(unittest.TestCase):
    async def _attempt(self, status, **fields):
        seal = b"Azureline-Server-Seal: x\r\n"
        echo = b"Azureline-Request-Id: 9c41d07be2a35f68\r\n"
        start = b"HTTP/1.1 %s\r\n%s%s\r\n" % (status, seal, echo)
        address, factory = builders_http1.serve_endless(
            self, start, b"x" * 65536
        )
        received = _ReceivedRequest()
        one_attempt = attempt.Attempt(
            received,
            "9c41d07be2a35f68",
            builders_relay.route(**fields),
            stream_events.EventReader(""),
            None,
            reactor.seconds,
            lambda first_s: None,
            lambda head: None,
            lambda: None,
            lambda: None,
        )
        caller = builders_relay.request(headers=((b"host", b"x"),))
        request = wire.build_request(caller, 5.0, "e1", None, None)
        client = builders_http1.client(self)
        one_attempt.begin(client, address, request, fresh=True)
        result = await one_attempt.done.addTimeout(5.0, reactor)
        await factory.closed.addTimeout(2.0, reactor)
        return result, received, factory.sent

    async def test_an_endless_plain_answer_is_aborted(self):
        result, received, sent = await self._attempt(b"200 OK")
        assert result.end is attempt.End.BROKEN
        assert result.reason == bodies.TOO_LARGE
        assert received.got == 0 and sent < 4 * bodies.MAX_BODY_BYTES

    async def test_an_endless_error_answer_on_a_streaming_route_is_aborted(
        self,
    ):
        kind = builders_relay.routes.Kind.STREAMING
        result, _, sent = await self._attempt(b"500 Oops", kind=kind)
        assert result.end is attempt.End.BROKEN
        assert sent < 4 * bodies.MAX_BODY_BYTES

    async def test_an_endless_event_of_a_stream_is_aborted(self):
        kind = builders_relay.routes.Kind.STREAMING
        result, received, sent = await self._attempt(b"200 OK", kind=kind)
        assert result.end is attempt.End.BROKEN
        assert received.got == 0 and sent < 8 * stream_events.MAX_EVENT_BYTES
