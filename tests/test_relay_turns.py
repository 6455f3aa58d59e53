"""One holder's orders at a time, under faults of the store and of nodes.

Engines of the users do not compare fencing tokens, and orders of two VMs must
lie apart by the platform's `lease_ms`.
"""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
from twisted.internet import task

from azureline.metrics import counters as metrics
from azureline.relay import claims
from azureline.relay import keys
from azureline.relay import tenancy as tenancies
from azureline.util import events
from tests import builders_store

NODES = ("n1", "n2", "n3")
ENGINE = "e1"
TERMS = claims.Terms(2.5, 0.5, 1.5, 3.0, 0.4)
CALL_S = 0.5
STEP_S = 0.1


class _Clock:
    """Counts suspensions, as CLOCK_BOOTTIME does."""

    def __init__(self):
        self.seconds = 0.0

    def now(self) -> float:
        return self.seconds


class _Node:
    """A process on a VM; while it is frozen its timers wait."""

    def __init__(self, name, clock, backing):
        self.name = name
        self.frozen = False
        self.blind = False
        self._clock = clock
        self._backing = backing
        self._reactor = task.Clock()
        self.client = builders_store.Client(backing, self._reactor, CALL_S)
        self.tenancy = tenancies.Tenancy(
            self._reactor,
            clock,
            random.Random(name),
            self.client,
            keys.NodeRecord(name, "127.0.0.1", 1, "d1"),
            TERMS,
            metrics.Counters(),
            events.silent(),
        )
        self.tenancy.start()

    def step(self, seconds):
        """Runs the timers, follows the store and claims what is vacant."""
        self._reactor.advance(seconds)
        item = self._backing.items.get(keys.HOLDERS + ENGINE)
        record = keys.holder_record(item.value) if item else None
        if not self.blind:
            revision = item.revision if item else 0
            self.tenancy.taken(ENGINE, record, revision)
            left_behind = (
                record is not None
                and record.node == self.name
                and record.identity != self.tenancy.identity
            )
            if record is None or left_behind:
                self.tenancy.claim(ENGINE)


class Turns(stateful.RuleBasedStateMachine):
    """Nodes that order whenever they may."""

    def __init__(self):
        super().__init__()
        self.clock = _Clock()
        self.backing = builders_store.Backing(self.clock.now)
        self.nodes = {n: self._started(n) for n in NODES}
        self.owed = dict.fromkeys(NODES, 0.0)
        self.last: tuple[str, float, int] | None = None

    def _started(self, name):
        return _Node(name, self.clock, self.backing)

    @stateful.rule(steps=st.integers(1, 30))
    def time_passes(self, steps):
        for _ in range(steps):
            self.clock.seconds += STEP_S
            self.backing.step()
            for name, node in self.nodes.items():
                self.owed[name] += STEP_S
                if not node.frozen:
                    # Orders first: a node that thaws may be about to send one.
                    self._order(node)
                    node.step(self.owed[name])
                    self.owed[name] = 0.0
                    self._order(node)

    def _order(self, node):
        if not node.tenancy.may_act(ENGINE):
            return
        now = self.clock.now()
        token = node.tenancy.held[ENGINE].token
        if self.last is not None and self.last[0] != node.name:
            _, at, before = self.last
            assert now - at >= TERMS.turn_s, (self.last, node.name, now)
            assert token > before
        self.last = (node.name, now, token)

    @stateful.rule(
        name=st.sampled_from(NODES),
        fault=st.sampled_from(builders_store.Fault),
        late_s=st.floats(0.1, 12.0),
    )
    def the_store_fails_a_node(self, name, fault, late_s):
        self.nodes[name].client.fault = fault
        self.nodes[name].client.late_s = late_s

    @stateful.rule(name=st.sampled_from(NODES), blind=st.booleans())
    def a_watch_hangs(self, name, blind):
        self.nodes[name].blind = blind

    @stateful.rule(name=st.sampled_from(NODES), frozen=st.booleans())
    def a_node_is_frozen_or_thawed(self, name, frozen):
        self.nodes[name].frozen = frozen

    @stateful.rule(name=st.sampled_from(NODES))
    def a_node_is_killed_and_started(self, name):
        self.nodes[name] = self._started(name)
        self.owed[name] = 0.0

    @stateful.rule()
    def all_leases_are_revoked(self):
        self.backing.revoke_all()


TestTurns = Turns.TestCase
TestTurns.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40, deadline=None
)


def _machine():
    machine = Turns()
    machine.time_passes(30)
    return machine


def test_a_calm_holder_orders_at_every_step():
    machine = _machine()
    name = machine.last[0]
    machine.time_passes(30)
    assert machine.last[:2] == (name, machine.clock.now())


def test_another_node_takes_over_after_a_kill():
    machine = _machine()
    name = machine.last[0]
    machine.nodes[name].frozen = True
    machine.time_passes(90)
    assert machine.last[0] != name


def test_a_holder_that_thaws_sends_nothing():
    machine = _machine()
    name = machine.last[0]
    machine.nodes[name].frozen = True
    machine.time_passes(90)
    machine.nodes[name].frozen = False
    machine.time_passes(60)
    assert machine.last[0] != name
