"""Tests of the engine states that planners see, without a network."""

import logging

from azureline.metrics import counters as metrics
from azureline.relay import keys
from azureline.relay import load_rate_limit
from azureline.relay import messages
from azureline.relay import peers as peers_lib
from azureline.relay import planning
from azureline.relay import server_limits
from azureline.relay import servers
from azureline.util import events
from tests import builders_relay as builders
from tests import builders_serving


class _RecordingPeers(peers_lib.Peers):
    """Records messages instead of sending them."""

    def send(self, record, message):
        self.sent.append(message)


class _Fixture:
    def __init__(self, *names, in_memory=()):
        self.clock = builders_serving.Clock()
        record = keys.NodeRecord("n1", "127.0.0.1", 1, "d1")
        self.peers = _RecordingPeers(record, self.clock, metrics.Counters())
        self.peers.sent = []
        catalogue = servers.Catalogue()
        for name in names:
            in_host_memory = ("d",) if name in in_memory else ()
            server = builders.server(
                name, "a", "b", "c", on_disk=("d",), in_memory=in_host_memory
            )
            catalogue.update(server)
            self.peers.set_holder(name, keys.HolderRecord("n1", "x"))
        self.limits = server_limits.ServerLimits()
        self.planning = planning.Planning(
            self.clock,
            catalogue,
            self.peers,
            self.limits,
            load_rate_limit.LoadWindowLimit(5.0, 1.1),
            events.Log(logging.getLogger("planning"), None),
            metrics.Counters(),
        )
        self.kind = builders.kind(*"abcde")
        self.plan()

    def plan(self):
        """Plans once and returns the messages that this sends."""
        before = len(self.peers.sent)
        now = self.clock.now()
        self.planning.plan("llm", self.kind, 1, now)
        return self.peers.sent[before:]

    def report_waiting(self, name, waiting):
        row = builders.demand(name, 1, waiting=waiting)
        report = messages.Demand((row,))
        self.peers.datagram("127.0.0.1", 2, report)

    def report_state(self, name, serial, **fields):
        state = builders.engine_state(name, "a", "b", serial=serial, **fields)
        self.planning.state(state)


def test_a_plan_states_when_its_models_should_be_ready():
    fixture = _Fixture("e1")
    fixture.report_waiting("d", 3)
    (target,) = fixture.plan()
    assert target.models[0] == "d"
    # Time for the load from disk and the preceding unload.
    assert target.ready_ms >= 800


def test_the_planner_does_not_wait_for_an_engine_in_a_long_unload():
    """Guards against an engine that counts as free in 0.2 s all the time.

    The planner then waited for it and planned nothing.
    """
    fixture = _Fixture("e1", "e2", in_memory=("e1",))
    fixture.report_state("e1", 1, busy=True)
    fixture.report_state("e2", 1)
    fixture.clock.advance(4.0)
    # The engine's next state: still busy with the same unload.
    fixture.report_state("e1", 2, busy=True, loading="e", loading_ms=0)
    fixture.report_waiting("d", 3)
    assert {t.server_id for t in fixture.plan()} == {"e2"}


def test_an_engine_that_is_no_longer_busy_is_used():
    fixture = _Fixture("e1")
    fixture.report_state("e1", 1, busy=True)
    fixture.clock.advance(4.0)
    fixture.report_waiting("d", 3)
    assert fixture.plan() == []
    fixture.report_state("e1", 2)
    assert {t.server_id for t in fixture.plan()} == {"e1"}
