"""Tests of the pauses and departures of backend servers."""

import math

from hypothesis import stateful
from hypothesis import strategies as st

from azureline.relay import eligibility
from azureline.relay import servers
from tests import builders_relay

_PAUSES = st.floats(0.05, 5.0)
# The users allow this many requests in a pause, from half a second after the
# server asked for it.
_ALLOWED = 2


class Servers(stateful.RuleBasedStateMachine):
    """Requests of one node to servers that pause and leave."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.catalogue = servers.Catalogue()
        self.eligibility = eligibility.Eligibility(self.catalogue)
        self.paused_until = {}
        self.left = set()
        self.servers = [builders_relay.server(f"e{n}") for n in range(3)]
        for server in self.servers:
            self.catalogue.update(server)

    @stateful.rule(index=st.integers(0, 2), seconds=_PAUSES)
    def server_pauses(self, index, seconds):
        server = self.servers[index]
        self.eligibility.pause(server, seconds, self.now)
        until = max(
            self.paused_until.get(server.incarnation, 0), self.now + seconds
        )
        self.paused_until[server.incarnation] = until

    @stateful.rule(index=st.integers(0, 2))
    def server_leaves(self, index):
        server = self.servers[index]
        self.catalogue.set_leaving(server.incarnation)
        self.left.add(server.incarnation)

    @stateful.rule(index=st.integers(0, 2))
    def entry_is_renewed(self, index):
        self.catalogue.update(self.servers[index])

    @stateful.rule(index=st.integers(0, 2))
    def server_restarts(self, index):
        server = self.servers[index]
        server = server._replace(born_ms=server.born_ms + 1)
        self.servers[index] = server
        self.catalogue.update(server)

    @stateful.rule(seconds=st.floats(0.0, 3.0))
    def time_passes(self, seconds):
        self.now += seconds
        self.eligibility.expire(self.now)

    @stateful.rule(index=st.integers(0, 2))
    def a_request_goes_to_an_open_server(self, index):
        server = self.servers[index]
        match self.eligibility.check(server, self.now):
            case eligibility.Open():
                assert self.now >= self.paused_until.get(server.incarnation, 0)
                assert server.incarnation not in self.left
                self.eligibility.record_sent(server, self.now)
            case eligibility.Closed(until=until):
                assert until > self.now

    @stateful.invariant()
    def a_shut_server_opens_again_unless_it_leaves(self):
        for server in self.servers:
            verdict = self.eligibility.check(server, self.now)
            if isinstance(verdict, eligibility.Closed):
                is_leaving = server.incarnation in self.left
                assert (verdict.until == math.inf) == is_leaving
                later = self.eligibility.check(server, verdict.until)
                assert is_leaving or isinstance(later, eligibility.Open)


TestServers = Servers.TestCase


def _paused(seconds=2.0):
    catalogue, server = servers.Catalogue(), builders_relay.server("e1")
    catalogue.update(server)
    state = eligibility.Eligibility(catalogue)
    state.pause(server, seconds, 100.0)
    return state, server


def test_a_shorter_pause_does_not_shorten_the_first():
    state, server = _paused(3.0)
    assert state.pause(server, 1.0, 101.0) == 103.0
    closed = state.check(server, 102.5)
    assert closed == eligibility.Closed(eligibility.Reason.PAUSED, 103.0)


def test_requests_go_through_one_by_one_after_a_pause():
    state, server = _paused()
    sent = 0
    for step in range(200):
        now = 102.0 + step * 0.01
        if isinstance(state.check(server, now), eligibility.Open):
            state.record_sent(server, now)
            sent += now < 103.0
    assert 15 <= sent <= 21
    assert isinstance(state.check(server, 104.0), eligibility.Open)


def test_the_length_of_a_pause_is_bounded():
    state, server = _paused(1e12)
    until = state.check(server, 100.0).until
    assert until == 100.0 + eligibility.MAX_PAUSE_S


def test_a_restart_of_the_server_ends_its_pause():
    state, server = _paused()
    other = server._replace(born_ms=server.born_ms + 1)
    assert state.check(other, 100.0) == eligibility.Open()
