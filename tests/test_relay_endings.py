"""Tests of the detection of backend server crashes."""

from twisted.internet import defer
from twisted.internet import protocol
from twisted.internet import reactor
from twisted.trial import unittest

from azureline.metrics import counters as metrics
from azureline.relay import endings
from azureline.relay import identity
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
        self.detector = endings.Endings(
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
        return [c for ending in self.crashes for c in ending.contents]


def test_a_server_whose_port_refuses_connections_has_crashed():
    fixture = _Fixture()
    for content in (b"a", b"b", b"a"):
        fixture.detector.broke(fixture.server, content)
    fixture.clock.advance(0.1)
    assert fixture.contents() == [b"a", b"b"] and fixture.probed == 1
    fixture.detector.broke(fixture.server, b"late")
    assert fixture.contents() == [b"a", b"b", b"late"]


def test_a_server_that_accepts_connections_has_not_crashed():
    fixture = _Fixture(probes.ProbeResult.ACCEPTED)
    fixture.detector.broke(fixture.server, b"a")
    fixture.clock.advance(0.1)
    fixture.seen = probes.ProbeResult.REFUSED
    fixture.detector.broke(fixture.server, b"b")
    fixture.clock.advance(0.1)
    assert fixture.contents() == [b"b"]


def test_a_restart_proves_the_crash_of_an_unreachable_server():
    fixture = _Fixture(probes.ProbeResult.SILENT)
    fixture.detector.broke(fixture.server, b"a")
    fixture.clock.advance(1.0)
    fixture.detector.started(fixture.server._replace(beat=9))
    assert fixture.crashes == []
    fixture.detector.started(fixture.server._replace(server_id="e9", born_ms=5))
    assert fixture.contents() == [b"a"]


def test_a_server_with_older_requests_in_flight_has_not_crashed():
    fixture = _Fixture()
    request = object()
    fixture.detector.began(fixture.server, request)
    fixture.clock.advance(0.1)
    fixture.detector.broke(fixture.server, b"a")
    fixture.clock.pump([0.1] * 6)
    assert fixture.crashes == [] and fixture.probed == 3
    fixture.detector.ended(fixture.server, request)
    fixture.detector.broke(fixture.server, b"b")
    fixture.clock.advance(0.1)
    assert fixture.contents() == [b"a", b"b"]


def test_the_end_of_a_leaving_server_is_no_crash():
    fixture = _Fixture()
    fixture.detector.broke(fixture.server, b"a")
    fixture.catalogue.update(fixture.server._replace(leaving=True))
    fixture.clock.advance(0.1)
    fixture.detector.broke(fixture.server, b"b")
    fixture.clock.advance(0.1)
    assert fixture.crashes == []


def test_settled_fires_after_the_probes():
    fixture = _Fixture()
    assert fixture.detector.settled(fixture.server).called
    fixture.detector.broke(fixture.server, b"a")
    settled = fixture.detector.settled(fixture.server)
    assert not settled.called
    fixture.clock.advance(0.1)
    assert settled.called


def test_old_broken_connections_are_discarded():
    fixture = _Fixture(probes.ProbeResult.SILENT)
    fixture.detector.broke(fixture.server, b"a")
    fixture.clock.advance(0.1)
    fixture.clock.advance(60.0)
    fixture.detector.expire()
    fixture.detector.started(fixture.server._replace(born_ms=5))
    assert fixture.crashes == []


def test_only_repeats_of_a_request_have_its_content():
    first = builders_relay.request(caller="c1", body=b"x")
    content = identity.content(first)
    assert content == identity.content(first._replace(request_id="other"))
    assert identity.outline_of(content) == identity.outline(first)
    for other in (
        first._replace(caller="c2"),
        first._replace(body=b"y"),
        first._replace(target=b"/a/y"),
    ):
        assert content != identity.content(other)


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
