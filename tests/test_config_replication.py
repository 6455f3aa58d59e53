"""Tests of the replication of versions between nodes."""

import functools
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from azureline.config import messages
from azureline.config import problems
from azureline.config import replication
from azureline.config import version

_NODES = ("a", "b", "c", "d", "e")
_NAMES = st.sampled_from(_NODES)
_MAJORITY = 3


@functools.cache
def _version(number):
    document = {"limits": {"adapters_in_transit": number}}
    made = version.next_version(None, document, "x", "y", above=number - 1)
    return made._replace(parent=number - 1)


def _replica(cls=replication.ConfigReplica, name="a", incarnation=0):
    return cls(random.Random(f"{name}{incarnation}"), reader=lambda d: d)


def _serving(number=1):
    node = _replica()
    node.on_stored(0.0, _version(number))
    return node


def _version_in_force(node):
    return node.in_force.version if node.in_force else 0


class _Fleet(stateful.RuleBasedStateMachine):
    """Five nodes, the platform's service, and messages in any order."""

    ledger_class = replication.ConfigReplica

    @stateful.initialize()
    def start(self):
        self.now = 0.0
        self.service_up = True
        self.newest = 1
        self.incarnations = dict.fromkeys(_NODES, 0)
        self.nodes = {}
        self.majority_version = 0
        self.lower_bounds = dict.fromkeys(_NODES, 0)
        self.highest = dict.fromkeys(_NODES, 0)
        self.queue = []
        for name in _NODES:
            self._start_node(name)
            self.nodes[name].on_stored(self.now, _version(1))

    def _start_node(self, name):
        self.incarnations[name] += 1
        node = _replica(self.ledger_class, name, self.incarnations[name])
        node.set_peers(self.now, frozenset(_NODES) - {name})
        self.nodes[name] = node
        self.highest[name] = 0
        self.queue = [sent for sent in self.queue if sent[1] != name]

    def _enqueue(self, source, outgoing):
        self.queue += [(source, peer, message) for peer, message in outgoing]

    def _deliver(self, index):
        source, target, message = self.queue.pop(index)
        answers = self.nodes[target].on_message(self.now, source, message)
        self._enqueue(target, answers)

    @stateful.rule(names=st.sets(_NAMES, min_size=1))
    def accept_a_change(self, names):
        if self.service_up:
            self.newest += 1
            self.read_the_service(names)

    @stateful.rule()
    def start_or_end_an_outage(self):
        self.service_up = not self.service_up

    @stateful.rule(names=st.sets(_NAMES, min_size=1))
    def read_the_service(self, names):
        for name in sorted(names) if self.service_up else ():
            self.nodes[name].on_stored(self.now, _version(self.newest))

    @stateful.rule(order=st.permutations(_NODES))
    def begin_an_outage_after_a_change_reached_a_majority(self, order):
        if self.service_up:
            self.accept_a_change(set(order[:_MAJORITY]))
            self.service_up = False

    @stateful.rule(
        name=_NAMES, peers=st.lists(_NAMES, max_size=_MAJORITY, unique=True)
    )
    def restart_beside(self, name, peers):
        self._start_node(name)
        self.lower_bounds[name] = self.majority_version
        for peer in peers:
            self.talk(name, peer)

    @stateful.rule(source=_NAMES, peer=_NAMES)
    def offer(self, source, peer):
        offer = self.nodes[source].offer
        if offer and source != peer:
            self._enqueue(source, [messages.Outgoing(peer, offer)])

    @stateful.rule()
    def let_time_pass(self):
        self.now += 1.0
        for name, node in self.nodes.items():
            self._enqueue(name, node.tick(self.now))

    @stateful.rule(name=_NAMES, peer=_NAMES)
    def talk(self, name, peer):
        self.let_time_pass()
        pair = {name, peer}
        for _ in range(10):
            between = [s for s in self.queue if {s[0], s[1]} == pair]
            if not between:
                return
            self._deliver(self.queue.index(between[0]))

    @stateful.precondition(lambda self: self.queue)
    @stateful.rule(data=st.data(), count=st.integers(1, 8))
    def deliver_some(self, data, count):
        for _ in range(min(count, len(self.queue))):
            self._deliver(data.draw(st.integers(0, len(self.queue) - 1)))

    @stateful.precondition(lambda self: self.queue)
    @stateful.rule(name=_NAMES)
    def lose_all_messages_from(self, name):
        self.queue = [sent for sent in self.queue if sent[0] != name]

    @stateful.invariant()
    def versions_do_not_go_back(self):
        held = sorted(map(_version_in_force, self.nodes.values()), reverse=True)
        self.majority_version = max(self.majority_version, held[_MAJORITY - 1])
        for name, node in self.nodes.items():
            number = _version_in_force(node)
            assert number >= self.highest[name], f"{name} went back"
            assert number <= self.newest
            if number:
                self.highest[name] = number
                assert number >= self.lower_bounds[name], (
                    f"{name} serves an old version"
                )

    def teardown(self):
        """Checks that all nodes converge after one node reads the service.

        Nodes without a configuration follow only if a majority serves.
        """
        self.service_up = True
        self.read_the_service({"a"})
        serving = [
            name for name in _NODES if _version_in_force(self.nodes[name])
        ]
        for _ in range(12):
            for name in _NODES[1:]:
                self.offer("a", name)
            self.let_time_pass()
            while self.queue:
                self._deliver(0)
        followers = _NODES if len(serving) >= _MAJORITY else serving
        versions = {_version_in_force(self.nodes[name]) for name in followers}
        assert versions == {self.newest}


class _TrustsFirstPeer(replication.ConfigReplica):
    """Fault: puts the version of the first peer in force."""

    def _confirm_by_majority(self):
        self._is_in_force = self._held is not None


class _IgnoresNodeCount(replication.ConfigReplica):
    """Fault: counts two replies as a majority of any number of nodes."""

    def _confirm_by_majority(self):
        if self._held and len(self._reported_versions) > 1:
            newest = max(self._reported_versions.values())
            self._is_in_force = self._held.version >= newest


class _ReportsUnconfirmedVersion(replication.ConfigReplica):
    """Fault: reports a version that is held but not in force."""

    def _version_reply(self, nonce):
        if self._held is None:
            return messages.VersionReply(nonce, 0, "")
        return messages.VersionReply(
            nonce, self._held.version, self._held.digest
        )


class _AdoptsAnyVersion(replication.ConfigReplica):
    """Fault: adopts any version that a peer offers."""

    def on_offer(self, now, peer, number, digest):
        return [messages.Outgoing(peer, messages.Pull(0, ""))]

    def _is_newer(self, number, digest):
        return self._held is None or number != self._held.version


def _run_fleet(cls, examples, steps):
    machine = type("Fleet", (_Fleet,), {"ledger_class": cls})
    settings = hypothesis.settings(
        max_examples=examples,
        stateful_step_count=steps,
        phases=[hypothesis.Phase.generate],
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    stateful.run_state_machine_as_test(machine, settings=settings)


def test_no_node_returns_to_or_starts_with_an_old_version():
    _run_fleet(replication.ConfigReplica, examples=200, steps=40)


def test_deltas_are_sent_while_shorter_than_the_whole_document():
    old, node = _serving(1), _serving(1)
    for number in range(2, 60):
        node.on_stored(0.0, _version(number))
    [outgoing] = old.on_offer(0.0, "b", *node.offer)
    assert outgoing.message == messages.Pull(1, _version(1).digest)
    answer = node.on_pull(messages.Pull(58, _version(58).digest))
    assert [step.version for step in answer.deltas] == [59]
    assert old.on_message(0.1, "b", node.on_pull(outgoing.message)) == []
    assert _version_in_force(old) == 59
    assert isinstance(
        node.on_pull(messages.Pull(0, "")), messages.FullConfiguration
    )
    assert isinstance(
        node.on_pull(messages.Pull(59, "")), messages.NothingNewer
    )


def test_a_delta_that_does_not_apply_leads_to_a_full_pull():
    node, other = _serving(1), _serving(2)
    other.on_stored(0.0, _version(3))
    batch = other.on_pull(messages.Pull(2, _version(2).digest))
    [outgoing] = node.on_message(0.0, "b", batch)
    assert outgoing == ("b", messages.Pull(0, ""))
    node.on_message(0.0, "b", other.on_pull(outgoing.message))
    assert _version_in_force(node) == 3
    assert node.take_counts()["config.delta_mismatch"] == 1


def test_an_equal_version_with_another_digest_is_refused_and_counted():
    node = _serving(2)
    assert node.on_offer(0.0, "b", 2, "0" * 64) == []
    other = version.next_version(None, {"x": 1}, "b", "b", above=1)
    node.on_stored(0.0, other)
    assert node.in_force.digest == _version(2).digest
    assert node.take_counts()["config.digest_mismatch"] == 2


def test_a_service_that_lost_its_content_does_not_revert_a_node():
    node = _serving(5)
    node.on_stored(1.0, _version(2))
    node.on_stored(2.0, None)
    assert _version_in_force(node) == 5
    assert node.take_counts()["config.platform_behind"] == 2


def test_an_unreadable_version_is_ignored_and_pulled_once():
    def reader(document):
        if document["limits"]["adapters_in_transit"] == 2:
            return problems.Invalid(())
        return document

    node = replication.ConfigReplica(random.Random(1), reader)
    node.on_stored(0.0, _version(1))
    node.on_full(0.0, "b", version.encode(_version(2)))
    assert node.on_offer(0.0, "b", 2, _version(2).digest) == []
    assert _version_in_force(node) == 1
    assert node.take_counts()["config.unreadable"] == 1
    node.on_full(0.0, "b", version.encode(_version(3)))
    assert node.configuration == _version(3).document


def test_malformed_messages_change_nothing():
    node = _serving(1)
    bad = messages.Delta(1, 2, "x", "y", "z", b"junk")
    node.on_message(0.0, "b", messages.FullConfiguration(b"junk"))
    node.on_message(0.0, "b", messages.DeltaBatch((bad,)))
    assert _version_in_force(node) == 1
    assert node.take_counts()["config.malformed"] == 1


def test_an_unresponsive_peer_delays_a_pull_by_its_timeout_only():
    node, newer = _serving(1), _serving(2)
    assert node.on_offer(0.0, "b", *newer.offer)
    assert node.on_offer(0.1, "c", *newer.offer) == []
    [outgoing] = node.tick(replication.PULL_TIMEOUT_S)
    assert outgoing.peer == "c"


def test_version_queries_of_a_starting_node_are_spread_over_time():
    node = _replica()
    names = {f"n{i}" for i in range(360)}
    node.set_peers(0.0, frozenset(names))
    asked = [{s.peer for s in node.tick(float(i))} for i in range(23)]
    assert max(map(len, asked)) == replication.QUERIES_PER_ROUND
    assert set().union(*asked) == names
    assert node.tick(22.5) == []


@pytest.mark.parametrize(
    "fault",
    [
        _TrustsFirstPeer,
        _IgnoresNodeCount,
        _ReportsUnconfirmedVersion,
        _AdoptsAnyVersion,
    ],
)
def test_the_state_machine_detects(fault):
    with pytest.raises(AssertionError, match="went back|serves an old version"):
        _run_fleet(fault, examples=1000, steps=30)
