"""Tests of attempts on a backend server, over real connections.

The server sends an endless answer; the attempt must abort it at the size limit
instead of buffering it.
"""

from twisted.internet import reactor
from twisted.trial import unittest

from azureline.platform import requests as wire
from azureline.relay import attempt
from azureline.relay import stream_events
from azureline.util import http1
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
            reactor.seconds,
            lambda first_s: None,
            lambda head: None,
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
        assert result.reason == http1.TOO_LARGE
        assert received.got == 0 and sent < 4 * http1.MAX_BODY_BYTES

    async def test_an_endless_error_answer_on_a_streaming_route_is_aborted(
        self,
    ):
        kind = builders_relay.routes.Kind.STREAMING
        result, _, sent = await self._attempt(b"500 Oops", kind=kind)
        assert result.end is attempt.End.BROKEN
        assert sent < 4 * http1.MAX_BODY_BYTES

    async def test_an_endless_event_of_a_stream_is_aborted(self):
        kind = builders_relay.routes.Kind.STREAMING
        result, received, sent = await self._attempt(b"200 OK", kind=kind)
        assert result.end is attempt.End.BROKEN
        assert received.got == 0 and sent < 8 * stream_events.MAX_EVENT_BYTES
