"""Streams go on only at the software version that began them."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from azureline.relay import keys
from azureline.relay import service_versions
from azureline.relay import stream_versions
from tests import builders_versions as builders

LIFETIME_S = service_versions.STREAM_LIFETIME_S
NODES = builders.NODES


@pytest.fixture
def fleet():
    made = builders.Fleet()
    made.add_server("e1", "v1")
    made.play(3.0)
    return made


def _began(fleet, node, stream, server):
    fleet.nodes[node].streams.stream_began(stream, fleet.servers[server])


def _version(found):
    return getattr(found, "version", None)


def test_with_one_version_every_stream_goes_on_without_a_question(fleet):
    for stream in ("", "unknown", "x" * 500):
        assert fleet.find("n3", stream).source == "single version"


def test_another_node_knows_a_stream_of_two_versions(fleet):
    fleet.add_server("e2", "v2")
    fleet.play(1.0)
    _began(fleet, "n0", "s1", "e1")
    _began(fleet, "n0", "s2", "e2")
    fleet.play(0.1)
    fleet.restart("n0")
    for node in NODES:
        assert _version(fleet.find(node, "s1")) == "v1"
        assert _version(fleet.find(node, "s2")) == "v2"


def test_a_stream_that_began_before_the_second_version_is_known(fleet):
    _began(fleet, "n0", "s1", "e1")
    fleet.add_server("e2", "v2")
    fleet.play(1.0)
    fleet.restart("n0")
    assert _version(fleet.find("n4", "s1")) == "v1"


def test_after_all_nodes_were_killed_streams_of_two_versions_are_declined(
    fleet,
):
    fleet.add_server("e2", "v2")
    fleet.play(3.0)
    _began(fleet, "n0", "s1", "e1")
    fleet.play(0.1)
    del fleet.servers["e1"]
    fleet.restart(*NODES)
    fleet.play(1.0)
    assert not fleet.find("n1", "s1")
    fleet.play(LIFETIME_S + 5.0)
    assert _version(fleet.find("n1", "s2")) == "v2"


def test_a_node_without_a_record_declines_what_it_does_not_know():
    fleet = builders.Fleet()
    fleet.add_server("e1", "v1")
    fleet.nodes["n0"].follow()
    assert not fleet.find("n0", "s1")
    fleet.play(3.0)
    assert _version(fleet.find("n0", "s1")) == "v1"


def test_a_version_that_the_store_forgot_is_recorded_again(fleet):
    fleet.add_server("e2", "v2")
    fleet.play(3.0)
    del fleet.servers["e1"]
    fleet.store.restore(4.0)
    for node in fleet.nodes.values():
        node.client._learn_era()
    fleet.play(3.0)
    fleet.restart(*NODES)
    assert not fleet.find("n1", "s1")


@pytest.mark.parametrize("stream", ["", "none", "x" * 500])
def test_what_names_no_stream_is_declined_while_two_versions_serve(
    fleet, stream
):
    fleet.add_server("e2", "v2")
    fleet.play(1.0)
    assert not fleet.find("n1", stream)


def test_an_id_that_names_two_streams_is_declined(fleet):
    fleet.add_server("e2", "v2")
    fleet.play(1.0)
    _began(fleet, "n0", "s1", "e1")
    _began(fleet, "n1", "s1", "e2")
    fleet.play(0.1)
    fleet.restart("n0", "n1")
    assert not fleet.find("n2", "s1")


def test_a_stream_of_another_service_is_declined(fleet):
    fleet.add_server("e2", "v2")
    fleet.play(1.0)
    _began(fleet, "n0", "s1", "e1")
    assert not fleet.find("n0", "s1", "other")


def test_streams_of_a_server_that_came_back_at_another_version_are_declined(
    fleet,
):
    fleet.add_server("e2", "v2")
    fleet.play(1.0)
    _began(fleet, "n0", "s1", "e1")
    fleet.add_server("e1", "v2", born_ms=2)
    fleet.play(0.5)
    for node in NODES:
        assert not fleet.find(node, "s1")


def test_one_record_is_written_for_each_change_of_versions(fleet):
    fleet.play(10.0)
    revision = fleet.store.items[keys.SOFTWARE_VERSIONS].revision
    fleet.play(20.0)
    assert fleet.store.items[keys.SOFTWARE_VERSIONS].revision == revision


class StreamVersionMachine(stateful.RuleBasedStateMachine):
    """Nodes never name a version that did not begin the stream."""

    def __init__(self):
        super().__init__()
        self.fleet = builders.Fleet()
        self.fleet.add_server("e1", "v1")
        self.fleet.play(5.0)
        self.began: dict[str, str] = {}
        self.count = 0

    @stateful.rule(
        node=st.sampled_from(NODES), server=st.sampled_from(["e1", "e2", "e3"])
    )
    def a_stream_begins(self, node, server):
        entry = self.fleet.servers.get(server)
        if (
            entry is None
            or self.fleet.nodes[node].catalogue.get(server) is None
        ):
            return
        self.count += 1
        stream = f"s{self.count}"
        _began(self.fleet, node, stream, server)
        self.began[stream] = entry.software_version

    @stateful.rule(
        server=st.sampled_from(["e1", "e2", "e3"]),
        version=st.sampled_from(["v1", "v2", "v3"]),
    )
    def a_server_joins(self, server, version):
        if server not in self.fleet.servers:
            self.fleet.add_server(server, version)

    @stateful.rule(server=st.sampled_from(["e1", "e2", "e3"]))
    def a_server_leaves(self, server):
        if len(self.fleet.servers) > 1:
            self.fleet.servers.pop(server, None)

    @stateful.rule(seconds=st.sampled_from([0.1, 0.5, 2.0, 7.0]))
    def time_passes(self, seconds):
        self.fleet.play(seconds)

    @stateful.rule(names=st.sets(st.sampled_from(NODES)))
    def nodes_are_killed(self, names):
        self.fleet.restart(*names)

    @stateful.rule(loss=st.sampled_from([0.0, 0.5, 1.0]))
    def datagrams_are_lost(self, loss):
        self.fleet.loss = loss

    @stateful.rule(names=st.sets(st.sampled_from(NODES), max_size=4))
    def nodes_fail(self, names):
        self.fleet.down = names

    @stateful.rule(names=st.sets(st.sampled_from(NODES), max_size=2))
    def nodes_are_cut_off(self, names):
        self.fleet.cut = names

    @stateful.rule(node=st.sampled_from(NODES), index=st.integers(1, 40))
    def a_stream_is_taken_up(self, node, index):
        stream = f"s{index}"
        found = self.fleet.find(node, stream)
        if stream in self.began and isinstance(found, stream_versions.Known):
            assert found.version == self.began[stream], (found, self.began)


TestStreamVersions = StreamVersionMachine.TestCase
TestStreamVersions.settings = hypothesis.settings(
    max_examples=100, stateful_step_count=40, deadline=None
)


def _fleet_with_an_unseen_version(cut_store_only):
    """Returns a fleet whose node n0 missed that a second version joined."""
    fleet = builders.Fleet()
    fleet.add_server("e1", "v1")
    fleet.play(2.0)
    fleet.cut.add("n0")
    server = fleet.add_server("e2", "v2")
    fleet.play(1.0)
    for number in range(20):
        fleet.nodes["n1"].streams.stream_began(f"s{number}", server)
    fleet.reactor.advance(0.1)
    if cut_store_only:
        fleet.cut.clear()
    return fleet


def test_a_node_cut_off_while_a_version_joins_continues_no_stream():
    fleet = _fleet_with_an_unseen_version(cut_store_only=False)
    for stream in ("s0", "s9", ""):
        assert not fleet.find("n0", stream)


def test_a_node_that_missed_a_version_asks_others_for_that_of_a_stream():
    fleet = _fleet_with_an_unseen_version(cut_store_only=True)
    for number in range(20):
        assert fleet.find("n0", f"s{number}").version == "v2"
    assert not fleet.find("n0", "")


def test_streams_of_a_single_version_go_on_while_nodes_are_reachable():
    fleet = builders.Fleet()
    server = fleet.add_server("e1", "v1")
    fleet.play(2.0)
    fleet.nodes["n1"].streams.stream_began("s", server)
    for stream in ("s", "unknown", ""):
        assert fleet.find("n0", stream).version == "v1"
    fleet.cut.add("n4")
    for stream in ("s", "unknown", ""):
        assert fleet.find("n0", stream).version == "v1"


@pytest.mark.parametrize("failed", [1, 2, 4])
@pytest.mark.parametrize("stream", ["s", "unknown", ""])
def test_streams_of_a_single_version_go_on_after_nodes_have_failed(
    fleet, failed, stream
):
    # The records of failed nodes stay for seconds, and they do not answer.
    _began(fleet, "n4", "s", "e1")
    fleet.down = set(NODES[-failed:])
    assert _version(fleet.find("n0", stream)) == "v1"


@pytest.mark.parametrize("failed", [1, 2, 4])
def test_a_node_that_missed_a_version_joins_none_after_nodes_have_failed(
    failed,
):
    fleet = _fleet_with_an_unseen_version(cut_store_only=True)
    fleet.down = set(NODES[-failed:])
    for number in range(20):
        assert _version(fleet.find("n0", f"s{number}")) in (None, "v2")
    assert not fleet.find("n0", "")


def test_a_node_alone_that_is_cut_off_from_the_store_continues_no_stream(
    fleet,
):
    _began(fleet, "n4", "s", "e1")
    fleet.down = set(NODES[1:])
    fleet.cut = {"n0"}
    assert not fleet.find("n0", "s")
