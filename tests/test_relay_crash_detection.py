"""Tests of the detection of backend server crashes."""

from twisted.internet import defer
from twisted.internet import protocol
from twisted.internet import reactor
from twisted.trial import unittest

from azureline.metrics import counters as metrics
from azureline.relay import crash_detection
from azureline.relay import request_identity
from azureline.relay import server_requests
from azureline.relay import servers
from azureline.util import events
from azureline.util import http1
from azureline.util import probes
from tests import builders_http1
from tests import builders_relay
from tests import builders_serving


class _Fixture:
    """A crash detector with preset probe results and recorded reports."""

    def __init__(self, seen=probes.ProbeResult.REFUSED):
        self.clock = builders_serving.Clock()
        self.catalogue = servers.Catalogue()
        self.server = builders_relay.server("e1", "a")
        self.catalogue.update(self.server)
        self.seen = seen
        self.probed = 0
        self.crashes = []
        self.detector = crash_detection.CrashDetector(
            self.clock,
            self.clock,
            self.catalogue,
            self._probe,
            self.crashes.append,
            metrics.Counters(),
            events.null_log(),
        )

    def _probe(self, address):
        self.probed += 1
        return defer.succeed(self.seen)

    def contents(self):
        return [c for ending in self.crashes for c in ending.signatures]


def test_a_server_whose_port_refuses_connections_has_crashed():
    fixture = _Fixture()
    for content in (b"a", b"b", b"a"):
        fixture.detector.connection_broke(fixture.server, content)
    fixture.clock.advance(0.1)
    assert fixture.contents() == [b"a", b"b"] and fixture.probed == 1
    fixture.detector.connection_broke(fixture.server, b"late")
    assert fixture.contents() == [b"a", b"b", b"late"]


def test_a_server_that_accepts_connections_has_not_crashed():
    fixture = _Fixture(probes.ProbeResult.ACCEPTED)
    fixture.detector.connection_broke(fixture.server, b"a")
    fixture.clock.advance(0.1)
    assert fixture.crashes == []
    fixture.clock.advance(server_requests.RETENTION_S + 0.1)
    fixture.detector.expire()
    fixture.seen = probes.ProbeResult.REFUSED
    fixture.detector.connection_broke(fixture.server, b"b")
    fixture.clock.advance(0.1)
    assert fixture.contents() == [b"b"]


def test_a_crash_soon_after_a_lost_answer_accuses_its_request():
    fixture = _Fixture(probes.ProbeResult.ACCEPTED)
    fixture.detector.connection_broke(fixture.server, b"a")
    fixture.clock.advance(0.1)
    fixture.seen = probes.ProbeResult.REFUSED
    fixture.detector.connection_broke(fixture.server, b"b")
    fixture.clock.advance(0.1)
    assert fixture.contents() == [b"b", b"a"]


def test_a_restart_proves_the_crash_of_an_unreachable_server():
    fixture = _Fixture(probes.ProbeResult.SILENT)
    fixture.detector.connection_broke(fixture.server, b"a")
    fixture.clock.advance(1.0)
    fixture.detector.server_started(fixture.server._replace(beat=9))
    assert fixture.crashes == []
    fixture.detector.server_started(
        fixture.server._replace(server_id="e9", born_ms=5)
    )
    assert fixture.contents() == [b"a"]


def test_a_server_with_older_requests_in_flight_has_not_crashed():
    fixture = _Fixture()
    request = object()
    fixture.detector.request_started(fixture.server, request)
    fixture.clock.advance(0.1)
    fixture.detector.connection_broke(fixture.server, b"a")
    fixture.clock.pump([0.1] * 6)
    assert fixture.crashes == [] and fixture.probed == 3
    fixture.detector.request_ended(fixture.server, request)
    fixture.detector.connection_broke(fixture.server, b"b")
    fixture.clock.advance(0.1)
    assert fixture.contents() == [b"a", b"b"]


def test_the_end_of_a_leaving_server_is_no_crash():
    fixture = _Fixture()
    fixture.detector.connection_broke(fixture.server, b"a")
    fixture.catalogue.update(fixture.server._replace(leaving=True))
    fixture.clock.advance(0.1)
    fixture.detector.connection_broke(fixture.server, b"b")
    fixture.clock.advance(0.1)
    assert fixture.crashes == []


def test_settled_fires_after_the_probes():
    fixture = _Fixture()
    assert fixture.detector.probes_done(fixture.server).called
    fixture.detector.connection_broke(fixture.server, b"a")
    settled = fixture.detector.probes_done(fixture.server)
    assert not settled.called
    fixture.clock.advance(0.1)
    assert settled.called


def test_old_broken_connections_are_discarded():
    fixture = _Fixture(probes.ProbeResult.SILENT)
    fixture.detector.connection_broke(fixture.server, b"a")
    fixture.clock.advance(0.1)
    fixture.clock.advance(60.0)
    fixture.detector.expire()
    fixture.detector.server_started(fixture.server._replace(born_ms=5))
    assert fixture.crashes == []


def test_only_repeats_of_a_request_have_its_content():
    first = builders_relay.request(body=b"x")
    content = request_identity.content_digest(first)
    assert content == request_identity.content_digest(
        first._replace(request_id="other")
    )
    assert request_identity.outline_of(
        content
    ) == request_identity.outline_digest(first)
    for other in (
        first._replace(host="other.example"),
        first._replace(method=b"PUT"),
        first._replace(body=b"y"),
        first._replace(target=b"/a/y"),
    ):
        assert content != request_identity.content_digest(other)


class ProbeTest(unittest.TestCase):
    async def test_a_port_with_a_listener_accepts(self):
        address, factory = builders_http1.serve(self)
        assert await probes.probe(reactor, address, 1.0) is (
            probes.ProbeResult.ACCEPTED
        )
        assert factory.requests == 0

    async def test_a_port_without_a_listener_refuses(self):
        factory = protocol.Factory.forProtocol(protocol.Protocol)
        port = reactor.listenTCP(0, factory, interface="127.0.0.1")
        address = http1.Address("127.0.0.1", port.getHost().port)
        await port.stopListening()
        assert await probes.probe(reactor, address, 1.0) is (
            probes.ProbeResult.REFUSED
        )
