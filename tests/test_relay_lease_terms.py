"""Only one lease holder sends orders, despite faults of the store and nodes.

Users' engines do not compare fencing tokens, so orders of two VMs must be
separated by at least the platform's `lease_ms`.
"""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
from twisted.internet import defer
from twisted.internet import task

from azureline.metrics import counters as metrics
from azureline.relay import claims
from azureline.relay import keys
from azureline.relay import store_session
from azureline.util import events
from tests import builders_store

NODES = ("n1", "n2", "n3")
ENGINE = "e1"
TERMS = claims.LeaseTimes(2.5, 0.5, 1.5, 3.0, 0.4)
CALL_S = 0.5
STEP_S = 0.1


class _Clock:
    """Advances during suspensions, as CLOCK_BOOTTIME does."""

    def __init__(self):
        self.seconds = 0.0

    def now(self) -> float:
        return self.seconds


class _Node:
    """A process on a VM; its timers do not run while it is suspended."""

    def __init__(self, name, clock, backing):
        self.name = name
        self.suspended = False
        self.watch_stalled = False
        self._seen_revision = -1
        self._clock = clock
        self._store_state = backing
        self._reactor = task.Clock()
        self.client = builders_store.FakeStoreClient(
            backing, self._reactor, CALL_S
        )
        self.session = store_session.StoreSession(
            self._reactor,
            clock,
            random.Random(name),
            self.client,
            keys.NodeRecord(name, "127.0.0.1", 1, "d1"),
            TERMS,
            metrics.Counters(),
            events.null_log(),
        )
        self.client.on_return(self.session.store_returned)
        self.session.start()

    def step(self, seconds):
        """Runs the timers, follows the store and claims the engine if possible.

        Args:
          seconds: time since the last step.
        """
        self._reactor.advance(seconds)
        item = self._store_state.items.get(keys.HOLDERS + ENGINE)
        record = keys.holder_record(item.value) if item else None
        if not self.watch_stalled:
            revision = item.revision if item else 0
            if revision != self._seen_revision:
                self._seen_revision = revision
                self.session.holder_changed(ENGINE, record, revision)
            of_earlier_process = (
                record is not None
                and record.node == self.name
                and record.identity != self.session.identity
            )
            if record is None or of_earlier_process:
                self.session.claim(ENGINE)


class LeaseTermMachine(stateful.RuleBasedStateMachine):
    """Nodes that send an order whenever the lease allows it."""

    def __init__(self):
        super().__init__()
        self.clock = _Clock()
        self.backing = builders_store.FakeStore(self.clock.now)
        self.backing.run_due()
        self.nodes = {n: self._start_node(n) for n in NODES}
        self.elapsed_s = dict.fromkeys(NODES, 0.0)
        self.last_order: tuple[str, float, int] | None = None

    def _start_node(self, name):
        return _Node(name, self.clock, self.backing)

    @stateful.rule(steps=st.integers(1, 30))
    def time_passes(self, steps):
        for _ in range(steps):
            self.clock.seconds += STEP_S
            self.backing.run_due()
            for name, node in self.nodes.items():
                self.elapsed_s[name] += STEP_S
                if not node.suspended:
                    # A resumed node may send an order before its timers run.
                    self._send_order(node)
                    node.step(self.elapsed_s[name])
                    self.elapsed_s[name] = 0.0
                    self._send_order(node)

    def _send_order(self, node):
        if not node.session.may_send_orders(ENGINE):
            return
        now = self.clock.now()
        token = node.session.held_terms[ENGINE].token
        if self.last_order is not None and self.last_order[0] != node.name:
            _, sent_at, last_token = self.last_order
            assert now - sent_at >= TERMS.turn_s, (
                self.last_order,
                node.name,
                now,
            )
            assert token > last_token
        self.last_order = (node.name, now, token)

    @stateful.rule(
        name=st.sampled_from(NODES),
        fault=st.sampled_from(builders_store.Fault),
        late_s=st.floats(0.1, 12.0),
    )
    def store_calls_of_a_node_fail(self, name, fault, late_s):
        self.nodes[name].client.fault = fault
        self.nodes[name].client.apply_delay_s = late_s

    @stateful.rule(name=st.sampled_from(NODES), watch_stalled=st.booleans())
    def watch_of_a_node_stalls(self, name, watch_stalled):
        self.nodes[name].watch_stalled = watch_stalled

    @stateful.rule(name=st.sampled_from(NODES), suspended=st.booleans())
    def node_is_suspended_or_resumed(self, name, suspended):
        self.nodes[name].suspended = suspended

    @stateful.rule(name=st.sampled_from(NODES))
    def node_is_killed_and_restarted(self, name):
        self.nodes[name] = self._start_node(name)
        self.elapsed_s[name] = 0.0

    @stateful.rule(name=st.sampled_from(NODES))
    def node_stops_and_starts_again(self, name):
        self._stop(name)
        self.nodes[name] = self._start_node(name)
        self.elapsed_s[name] = 0.0

    def _stop(self, name):
        """Releases what a node holds, as its process does before it exits."""
        idle_ms = 10**6
        if self.last_order is not None and self.last_order[0] == name:
            idle_ms = int(1000 * (self.clock.now() - self.last_order[1]))
        node = self.nodes[name]
        defer.ensureDeferred(node.session.release({ENGINE: idle_ms}))
        node.step(CALL_S)

    @stateful.rule(age_s=st.floats(0.1, 12.0))
    def store_returns_from_an_older_copy(self, age_s):
        self.backing.restore(age_s)

    @stateful.rule()
    def all_leases_are_revoked(self):
        self.backing.revoke_all()


TestLeaseTerms = LeaseTermMachine.TestCase
TestLeaseTerms.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40, deadline=None
)


def _machine_after_claim():
    machine = LeaseTermMachine()
    machine.time_passes(30)
    return machine


def test_lease_holder_can_send_orders_at_every_step_without_faults():
    machine = _machine_after_claim()
    name = machine.last_order[0]
    machine.time_passes(30)
    assert machine.last_order[:2] == (name, machine.clock.now())


def test_another_node_takes_over_after_suspension():
    machine = _machine_after_claim()
    name = machine.last_order[0]
    machine.nodes[name].suspended = True
    machine.time_passes(90)
    assert machine.last_order[0] != name


def test_resumed_former_lease_holder_sends_no_orders():
    machine = _machine_after_claim()
    name = machine.last_order[0]
    machine.nodes[name].suspended = True
    machine.time_passes(90)
    machine.nodes[name].suspended = False
    machine.time_passes(60)
    assert machine.last_order[0] != name


def test_node_that_lost_a_lease_before_its_first_order_keeps_the_distance():
    """A term without an order must not hide the orders of the term before.

    The second node claims, loses its lease while it waits to send its first
    order, and claims again.  It must not take its own term without an order
    for the last one that sent orders.
    """
    machine = LeaseTermMachine()
    machine.time_passes(5)
    machine.time_passes(30)
    machine.all_leases_are_revoked()
    machine.time_passes(7)
    machine.all_leases_are_revoked()
    machine.time_passes(6)


def test_a_claim_lost_in_a_return_keeps_the_distance():
    """The store has forgotten the holder, which still sends orders."""
    machine = LeaseTermMachine()
    machine.time_passes(20)
    first = machine.last_order[0]
    machine.store_calls_of_a_node_fail(first, builders_store.Fault.SILENT, 1.0)
    machine.store_returns_from_an_older_copy(12.0)
    machine.time_passes(60)
    assert machine.last_order[0] != first


def test_a_holder_sends_on_soon_after_a_return():
    machine = _machine_after_claim()
    first = machine.last_order[0]
    machine.store_returns_from_an_older_copy(1.0)
    machine.time_passes(15)
    assert machine.last_order[:2] == (first, machine.clock.now())


def test_tokens_rise_when_the_store_returns_in_series():
    machine = _machine_after_claim()
    for _ in range(3):
        name = machine.last_order[0]
        machine.node_is_suspended_or_resumed(name, suspended=True)
        machine.time_passes(90)
        assert machine.last_order[0] != name
        machine.node_is_suspended_or_resumed(name, suspended=False)
        machine.store_returns_from_an_older_copy(9.0)
        machine.time_passes(90)


def test_a_term_released_before_its_first_order_keeps_the_distance():
    machine = _machine_after_claim()
    first = machine.last_order[0]
    machine.all_leases_are_revoked()
    machine.nodes[first].suspended = True
    machine.time_passes(7)
    (second,) = (
        name
        for name in NODES
        if name != first and machine.nodes[name].session.held_terms
    )
    machine._stop(second)
    machine.nodes[second].suspended = True
    machine.time_passes(90)
    assert machine.last_order[0] not in (first, second)


def test_a_holder_killed_after_its_first_order_sends_again_at_once():
    machine = _machine_after_claim()
    first = machine.last_order[0]
    machine.nodes[first].suspended = True
    machine.time_passes(90)
    second = machine.last_order[0]
    assert second != first
    machine.node_is_killed_and_restarted(second)
    machine.time_passes(10)
    assert machine.last_order[:2] == (second, machine.clock.now())


def test_a_claim_seen_in_the_store_before_its_answer_was_lost_is_held():
    clock = _Clock()
    backing = builders_store.FakeStore(clock.now)
    node = _Node("n1", clock, backing)
    node.session.claim("another engine")
    node.client.fault = builders_store.Fault.LOST
    node.session.claim(ENGINE)
    node.watch_stalled = False
    node.step(0.0)
    node.watch_stalled = True
    node.client.fault = builders_store.Fault.NONE
    for _ in range(15):
        clock.seconds += CALL_S
        node.step(CALL_S)
    assert node.session.may_send_orders(ENGINE)
