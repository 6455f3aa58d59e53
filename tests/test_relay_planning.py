"""Tests of what the planner is told of engines, without a network."""

import logging

from azureline.metrics import counters as metrics
from azureline.relay import allowance
from azureline.relay import keys
from azureline.relay import messages
from azureline.relay import peers as peers_lib
from azureline.relay import planning
from azureline.relay import servers
from azureline.util import events
from tests import builders_relay as builders
from tests import builders_serving


class _Peers(peers_lib.Peers):
    """Keeps what would be sent."""

    def send(self, record, message):
        self.sent.append(message)


class _Fixture:
    def __init__(self, *names, in_memory=()):
        self.clock = builders_serving.Clock()
        record = keys.NodeRecord("n1", "127.0.0.1", 1, "d1")
        self.peers = _Peers(record, self.clock, metrics.Counters())
        self.peers.sent = []
        catalogue = servers.Catalogue()
        for name in names:
            warm = ("d",) if name in in_memory else ()
            server = builders.server(
                name, "a", "b", "c", on_disk=("d",), in_memory=warm
            )
            catalogue.update(server)
            self.peers.set_holder(name, keys.HolderRecord("n1", "x"))
        self.planning = planning.Planning(
            self.clock,
            catalogue,
            self.peers,
            allowance.Ceiling(5.0, 1.1),
            events.Log(logging.getLogger("planning"), None),
            metrics.Counters(),
        )
        self.kind = builders.kind(*"abcde")
        self.plan()

    def plan(self):
        """Returns the plans that are sent in this round."""
        before = len(self.peers.sent)
        now = self.clock.now()
        self.planning.plan("llm", self.kind, 1, now)
        return self.peers.sent[before:]

    def wait_for(self, name, waiting):
        row = builders.demand(name, 1, waiting=waiting)
        told = messages.Demand((row,))
        self.peers.datagram("127.0.0.1", 2, told)

    def told(self, name, serial, **fields):
        state = builders.engine_state(name, "a", "b", serial=serial, **fields)
        self.planning.state(state)


def test_a_plan_says_when_its_models_should_be_there():
    fixture = _Fixture("e1")
    fixture.wait_for("d", 3)
    (target,) = fixture.plan()
    assert target.models[0] == "d"
    # A load from disk and the unload before it.
    assert target.ready_ms >= 800


def test_an_engine_in_a_long_unload_is_not_waited_for():
    """It looked free in 0.2 s all the while, and nothing was planned."""
    fixture = _Fixture("e1", "e2", in_memory=("e1",))
    fixture.told("e1", 1, busy=True)
    fixture.told("e2", 1)
    fixture.clock.advance(4.0)
    # Told again, still busy with the same unload.
    fixture.told("e1", 2, busy=True, coming="e", coming_ms=0)
    fixture.wait_for("d", 3)
    assert {t.server_id for t in fixture.plan()} == {"e2"}


def test_an_engine_that_was_busy_and_is_free_is_used():
    fixture = _Fixture("e1")
    fixture.told("e1", 1, busy=True)
    fixture.clock.advance(4.0)
    fixture.wait_for("d", 3)
    assert fixture.plan() == []
    fixture.told("e1", 2)
    assert {t.server_id for t in fixture.plan()} == {"e1"}
