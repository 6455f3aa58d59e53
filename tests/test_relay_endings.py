"""Tests of what tells that a backend server has ended."""

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


class _Watched:
    """A watch whose probes find what a test says."""

    def __init__(self, seen=probes.Probe.REFUSED):
        self.clock = builders_serving.Clock()
        self.catalogue = servers.Catalogue()
        self.server = builders_relay.server("e1", "a")
        self.catalogue.update(self.server)
        self.seen = seen
        self.probed = 0
        self.told = []
        self.watch = endings.Endings(
            self.clock,
            self.clock,
            self.catalogue,
            self._probe,
            self.told.append,
            metrics.Counters(),
            events.silent(),
        )

    def _probe(self, address):
        self.probed += 1
        return defer.succeed(self.seen)

    def contents(self):
        return [c for ending in self.told for c in ending.contents]


def test_a_server_whose_port_refuses_has_ended():
    watched = _Watched()
    for content in (b"a", b"b", b"a"):
        watched.watch.broke(watched.server, content)
    watched.clock.advance(0.1)
    assert watched.contents() == [b"a", b"b"] and watched.probed == 1
    watched.watch.broke(watched.server, b"late")
    assert watched.contents() == [b"a", b"b", b"late"]


def test_a_server_that_accepts_connections_has_not_ended():
    watched = _Watched(probes.Probe.ACCEPTED)
    watched.watch.broke(watched.server, b"a")
    watched.clock.advance(0.1)
    watched.seen = probes.Probe.REFUSED
    watched.watch.broke(watched.server, b"b")
    watched.clock.advance(0.1)
    assert watched.contents() == [b"b"]


def test_a_server_that_cannot_be_reached_ends_with_its_next_start():
    watched = _Watched(probes.Probe.SILENT)
    watched.watch.broke(watched.server, b"a")
    watched.clock.advance(1.0)
    watched.watch.started(watched.server._replace(beat=9))
    assert watched.told == []
    watched.watch.started(watched.server._replace(server_id="e9", born_ms=5))
    assert watched.contents() == [b"a"]


def test_a_server_at_which_older_requests_go_on_has_not_ended():
    watched = _Watched()
    request = object()
    watched.watch.began(watched.server, request)
    watched.clock.advance(0.1)
    watched.watch.broke(watched.server, b"a")
    watched.clock.pump([0.1] * 6)
    assert watched.told == [] and watched.probed == 3
    watched.watch.ended(watched.server, request)
    watched.watch.broke(watched.server, b"b")
    watched.clock.advance(0.1)
    assert watched.contents() == [b"a", b"b"]


def test_a_server_that_said_that_it_leaves_did_not_end_by_a_request():
    watched = _Watched()
    watched.watch.broke(watched.server, b"a")
    watched.catalogue.update(watched.server._replace(leaving=True))
    watched.clock.advance(0.1)
    watched.watch.broke(watched.server, b"b")
    watched.clock.advance(0.1)
    assert watched.told == []


def test_those_who_wait_learn_when_it_is_known():
    watched = _Watched()
    assert watched.watch.settled(watched.server).called
    watched.watch.broke(watched.server, b"a")
    settled = watched.watch.settled(watched.server)
    assert not settled.called
    watched.clock.advance(0.1)
    assert settled.called


def test_breaks_of_long_ago_are_forgotten():
    watched = _Watched(probes.Probe.SILENT)
    watched.watch.broke(watched.server, b"a")
    watched.clock.advance(0.1)
    watched.clock.advance(60.0)
    watched.watch.expire()
    watched.watch.started(watched.server._replace(born_ms=5))
    assert watched.told == []


def test_repeats_have_the_content_of_the_first_and_others_have_not():
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
            probes.Probe.ACCEPTED
        )
        assert factory.requests == 0

    async def test_a_port_without_a_listener_refuses(self):
        factory = protocol.Factory.forProtocol(protocol.Protocol)
        port = reactor.listenTCP(0, factory, interface="127.0.0.1")
        address = http1.Address("127.0.0.1", port.getHost().port)
        await port.stopListening()
        assert await probes.probe(reactor, address, 1.0) is (
            probes.Probe.REFUSED
        )
