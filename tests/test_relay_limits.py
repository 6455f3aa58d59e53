"""Tests of limits that servers name, over all nodes, on a virtual clock."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from azureline.relay import granter
from azureline.relay import grants
from tests import builders_limits as builders

NODES = 4


class Limits(stateful.RuleBasedStateMachine):
    """Nodes that are cut off, frozen and restarted under changing limits."""

    def __init__(self):
        super().__init__()
        self.fleet = builders.Fleet(NODES, servers=2)
        self.callers = range(NODES)
        self.fleet.name_limit("s0", 5.0)
        self.fleet.name_limit("s1", 1.0)
        self.time_passes(1.0)

    @stateful.rule(node=st.integers(0, NODES - 1), count=st.integers(1, 30))
    def callers_arrive(self, node, count):
        self.fleet.call(node, count)

    @stateful.rule(callers=st.sets(st.integers(0, NODES - 1)))
    def callers_move(self, callers):
        self.callers = callers

    @stateful.rule(seconds=st.floats(0.1, 3.0))
    def time_passes(self, seconds):
        for _ in range(int(seconds / 0.05)):
            for node in self.callers:
                self.fleet.call(node)
            self.fleet.advance(0.05)

    @stateful.rule(
        server=st.sampled_from(["s0", "s1"]),
        per_s=st.sampled_from([0.0, 0.5, 1.0, 2.0, 5.0, 20.0]),
    )
    def limit_is_named(self, server, per_s):
        self.fleet.name_limit(server, per_s)

    @stateful.rule(server=st.sampled_from(["s0", "s1"]))
    def limit_ends(self, server):
        self.fleet.name_limit(server, None)

    @stateful.rule(index=st.integers(0, 1))
    def server_restarts(self, index):
        self.fleet.restart_server(index)

    @stateful.rule(node=st.integers(0, NODES - 1), is_cut=st.booleans())
    def node_is_cut_from_nodes(self, node, is_cut):
        cuts = self.fleet.node_cuts
        cuts.add(node) if is_cut else cuts.discard(node)

    @stateful.rule(node=st.integers(0, NODES - 1), is_cut=st.booleans())
    def node_is_cut_from_the_store(self, node, is_cut):
        cuts = self.fleet.store_cuts
        cuts.add(node) if is_cut else cuts.discard(node)

    @stateful.rule(is_up=st.booleans())
    def store_goes_down_or_up(self, is_up):
        self.fleet.store_up = is_up

    @stateful.rule(nodes=st.sets(st.integers(0, NODES - 1)))
    def nodes_freeze(self, nodes):
        for node in nodes:
            self.fleet.nodes[node].reactor.frozen = True

    @stateful.rule()
    def all_nodes_thaw(self):
        for node in self.fleet.nodes:
            node.reactor.thaw()

    @stateful.rule(node=st.integers(0, NODES - 1))
    def node_restarts(self, node):
        self.fleet.restart(node)

    @stateful.rule(loss=st.sampled_from([0.0, 0.1, 0.4]))
    def datagrams_get_lost(self, loss):
        self.fleet.loss = loss

    @stateful.rule(max_delay_s=st.sampled_from([0.01, 0.1, 1.0]))
    def datagrams_are_delayed(self, max_delay_s):
        self.fleet.max_delay_s = max_delay_s

    def teardown(self):
        self.time_passes(3.0)
        assert self.fleet.violations() == []


TestLimits = Limits.TestCase
TestLimits.settings = hypothesis.settings(
    max_examples=80, stateful_step_count=30
)


def _played(fleet, callers, seconds):
    """Sends requests from some nodes every 50 ms."""
    for _ in range(int(seconds / 0.05)):
        for node in callers:
            fleet.call(node)
        fleet.advance(0.05)


@pytest.mark.parametrize("nodes", [1, 8, 75])
@pytest.mark.parametrize("per_s", [0.5, 1.0, 4.0])
@pytest.mark.parametrize("one_node", [False, True])
def test_callers_get_what_a_server_names(nodes, per_s, one_node):
    fleet = builders.Fleet(nodes)
    fleet.name_limit("s0", per_s)
    callers = [0] if one_node else range(0, nodes, max(1, nodes // 8))
    _played(fleet, callers, 2.0)
    began = fleet.clock.now()
    _played(fleet, callers, 20.0)
    calls = fleet.calls_in("s0", began, fleet.clock.now())
    assert fleet.violations() == []
    assert calls >= 0.8 * per_s * 20.0


def test_a_frozen_node_does_not_use_grants_after_it_thaws():
    fleet = builders.Fleet(2)
    fleet.name_limit("s0", 1.0)
    _played(fleet, [0, 1], 5.0)
    granting = fleet.holder_of("s0")
    frozen = fleet.nodes[1 - granting]
    fleet.call(frozen.number, 20)
    fleet.advance(0.005)
    frozen.reactor.frozen = True
    _played(fleet, [granting], 8.0)
    before = len(fleet.arrivals["s0"])
    frozen.reactor.thaw()
    fleet.advance(0.2)
    assert len(fleet.arrivals["s0"]) - before <= 2
    assert fleet.violations() == []


def test_a_limit_that_some_answers_name_stays_in_force():
    fleet = builders.Fleet(3)
    fleet.name_limit("s0", 2.0)
    _played(fleet, [0, 1, 2], 2.0)
    for step in range(40):
        fleet.named["s0"] = 2.0 if step % 2 else None
        _played(fleet, [0, 1, 2], 0.5)
    fleet.named["s0"] = 2.0
    assert fleet.violations() == []


def test_a_request_that_sees_a_limit_end_names_no_limit():
    fleet = builders.Fleet(2)
    fleet.name_limit("s0", 1.0)
    _played(fleet, [0, 1], 4.0)
    node = fleet.nodes[1 - fleet.holder_of("s0")]
    fleet.name_limit("s0", None)
    fleet.advance(2.0)
    for other in fleet.nodes:
        other.notices.limit_ended(fleet.servers[0].incarnation)
    fleet.advance(0.5)
    found = []
    node.grants._request(fleet.servers[0], 1, 0.0).addCallback(found.append)
    fleet.advance(0.1)
    assert isinstance(found[0], grants.Grant)
    assert all(list(other.limits) == [] for other in fleet.nodes)


def test_a_limit_of_zero_ends():
    fleet = builders.Fleet(2)
    fleet.name_limit("s0", 0.0)
    _played(fleet, [0, 1], 30.0)
    assert fleet.violations() == []
    fleet.name_limit("s0", None)
    _played(fleet, [0, 1], 40.0)
    began = fleet.clock.now()
    _played(fleet, [0, 1], 1.0)
    assert fleet.calls_in("s0", began, fleet.clock.now()) == 40


def test_refused_callers_get_turns_one_after_the_other():
    fleet = builders.Fleet(1)
    fleet.name_limit("s0", 1.0)
    _played(fleet, [0], 4.0)
    node, turns = fleet.nodes[0], []
    for _ in range(4):
        found = node.grants._request(fleet.servers[0], 1, 0.0)
        found.addCallback(lambda denied: turns.append(denied.turn_at))
        fleet.advance(0.001)
    turns.sort()
    gaps = [b - a for a, b in zip(turns, turns[1:], strict=False)]
    assert min(gaps) > 0.9


def test_urgent_requests_come_first_under_a_limit():
    fleet = builders.Fleet(1)
    fleet.name_limit("s0", 10.0)
    _played(fleet, [0], 3.0)
    sent = {}
    for rank in (9, 0):
        fleet.advance(2.0)
        fleet.outcomes.clear()
        for _ in range(100):
            fleet.call(0, rank=9)
            fleet.call(0, rank=9)
            fleet.call(0, rank=rank)
            fleet.advance(0.05)
        sent[rank] = fleet.outcomes["sent"]
    # Urgent requests use most of the limit, so they refuse the others.
    assert sent[0] >= sent[9] * 0.9


def _cut_off_holder():
    """A lease holder that only its own callers reach, beside its successor."""
    fleet = builders.Fleet(4)
    fleet.name_limit("s0", 10.0)
    _played(fleet, range(4), 8.0)
    holder = fleet.holder_of("s0")
    fleet.node_cuts.add(holder)
    fleet.store_cuts.add(holder)
    _played(fleet, range(4), 20.0)
    return fleet.violations()


def _frozen_one_after_the_other():
    """Nodes that freeze with grants in hand, and thaw together."""
    fleet = builders.Fleet(30)
    fleet.name_limit("s0", 20.0)
    _played(fleet, range(30), 8.0)
    fleet.name_limit("s0", 2.0)
    _played(fleet, range(30), 6.0)
    for node in fleet.nodes:
        if node.number == fleet.holder_of("s0"):
            continue
        fleet.call(node.number)
        node.reactor.frozen = True
        fleet.advance(1.0)
    for node in fleet.nodes:
        node.reactor.thaw()
    fleet.advance(5.0)
    return fleet.violations()


@pytest.mark.parametrize("play", [_cut_off_holder, _frozen_one_after_the_other])
def test_old_permission_adds_nothing_beyond_the_limit(play):
    assert play() == []


def test_the_checks_find_a_holder_that_trusts_its_lease(monkeypatch):
    monkeypatch.setattr(
        builders.Fleet,
        "standing",
        lambda fleet, number, server_id: granter.Standing.CERTAIN,
    )
    assert _cut_off_holder()


def test_the_checks_find_a_node_that_uses_expired_grants(monkeypatch):
    monkeypatch.setattr(
        grants.GrantClient, "is_usable", lambda client, grant: True
    )
    assert _frozen_one_after_the_other()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_overlapping_faults_keep_the_limit(seed):
    fleet = builders.walk(seed, seconds=20.0)
    assert fleet.violations() == []
    assert fleet.outcomes["sent"] > 0
