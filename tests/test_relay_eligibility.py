"""Tests of the decision whether a server may be sent a request."""

import math

from hypothesis import stateful
from hypothesis import strategies as st

from azureline.relay import eligibility
from azureline.relay import servers
from tests import builders_relay

_PAUSES = st.floats(0.05, 5.0)
# The users allow this many requests in a pause, from half a second after it
# was asked for.
_ALLOWED = 2


class Servers(stateful.RuleBasedStateMachine):
    """Requests of one node to servers that pause and leave."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.catalogue = servers.Catalogue()
        self.eligibility = eligibility.Eligibility(self.catalogue)
        self.asked = {}
        self.left = set()
        self.servers = [builders_relay.server(f"e{n}") for n in range(3)]
        for server in self.servers:
            self.catalogue.update(server)

    @stateful.rule(which=st.integers(0, 2), seconds=_PAUSES)
    def asks_for_a_pause(self, which, seconds):
        server = self.servers[which]
        self.eligibility.pause(server, seconds, self.now)
        until = max(self.asked.get(server.incarnation, 0), self.now + seconds)
        self.asked[server.incarnation] = until

    @stateful.rule(which=st.integers(0, 2))
    def leaves(self, which):
        server = self.servers[which]
        self.catalogue.set_leaving(server.incarnation)
        self.left.add(server.incarnation)

    @stateful.rule(which=st.integers(0, 2))
    def tells_the_store_that_it_is_ready(self, which):
        self.catalogue.update(self.servers[which])

    @stateful.rule(which=st.integers(0, 2))
    def starts_again(self, which):
        server = self.servers[which]
        server = server._replace(born_ms=server.born_ms + 1)
        self.servers[which] = server
        self.catalogue.update(server)

    @stateful.rule(seconds=st.floats(0.0, 3.0))
    def time_passes(self, seconds):
        self.now += seconds
        self.eligibility.expire(self.now)

    @stateful.rule(which=st.integers(0, 2))
    def a_request_goes_where_it_may(self, which):
        server = self.servers[which]
        match self.eligibility.check(server, self.now):
            case eligibility.Open():
                assert self.now >= self.asked.get(server.incarnation, 0)
                assert server.incarnation not in self.left
                self.eligibility.sent(server, self.now)
            case eligibility.Shut(until=until):
                assert until > self.now

    @stateful.invariant()
    def a_shut_server_opens_again_unless_it_leaves(self):
        for server in self.servers:
            verdict = self.eligibility.check(server, self.now)
            if isinstance(verdict, eligibility.Shut):
                leaves = server.incarnation in self.left
                assert (verdict.until == math.inf) == leaves
                later = self.eligibility.check(server, verdict.until)
                assert leaves or isinstance(later, eligibility.Open)


TestServers = Servers.TestCase


def _paused(seconds=2.0):
    catalogue, server = servers.Catalogue(), builders_relay.server("e1")
    catalogue.update(server)
    found = eligibility.Eligibility(catalogue)
    found.pause(server, seconds, 100.0)
    return found, server


def test_a_shorter_pause_does_not_shorten_the_first():
    found, server = _paused(3.0)
    assert found.pause(server, 1.0, 101.0) == 103.0
    shut = found.check(server, 102.5)
    assert shut == eligibility.Shut(eligibility.Reason.PAUSED, 103.0)


def test_requests_that_waited_go_through_one_by_one():
    found, server = _paused()
    went = 0
    for step in range(200):
        now = 102.0 + step * 0.01
        if isinstance(found.check(server, now), eligibility.Open):
            found.sent(server, now)
            went += now < 103.0
    assert 15 <= went <= 21
    assert isinstance(found.check(server, 104.0), eligibility.Open)


def test_an_endless_pause_is_bounded():
    found, server = _paused(1e12)
    until = found.check(server, 100.0).until
    assert until == 100.0 + eligibility.MAX_PAUSE_S


def test_a_pause_ends_with_the_start_that_asked_for_it():
    found, server = _paused()
    other = server._replace(born_ms=server.born_ms + 1)
    assert found.check(other, 100.0) == eligibility.Open()
