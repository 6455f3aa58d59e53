"""Tests of the directory of backend servers."""

import pytest

from azureline.fleet import directory as directories
from azureline.routing import picker
from tests import builders_directory as builders


@pytest.fixture(name="directory")
def fixture_directory():
    directory = directories.Directory("d1")
    directory.configure(builders.configuration())
    return directory


def test_only_engines_with_a_ready_replica_are_candidates(directory):
    builders.add_engine(directory, "e1", "d1", seam="ready")
    builders.add_engine(directory, "e2", "d2", seam="loading")
    builders.add_engine(directory, "e3", "d2", dial="ready")
    assert [c.engine for c in directory.candidates("seam")] == ["e1"]
    assert directory.candidates("unknown") == []


def test_a_leaving_vm_or_draining_engine_is_marked_leaving(directory):
    builders.add_engine(directory, "e1", "d1", seam="ready")
    builders.add_engine(directory, "e2", "d1", draining=True, seam="ready")
    directory.update_vm(builders.vm("e1", "d1")._replace(leaving=True))
    states = {c.engine: c.state for c in directory.candidates("seam")}
    assert set(states.values()) == {picker.State.LEAVING}


def test_engines_of_an_unreachable_domain_are_down(directory):
    builders.add_engine(directory, "e1", "d1", seam="ready")
    builders.add_engine(directory, "e2", "d2", seam="ready")
    directory.set_unreachable(frozenset({"d2"}))
    states = {c.engine: c.state for c in directory.candidates("seam")}
    assert states == {
        "e1": picker.State.SERVING,
        "e2": picker.State.DOWN,
    }


def test_all_nodes_assign_an_adapter_to_the_same_few_engines(directory):
    entry = {"domain": "d1", "memory_bytes": 80 * builders.GB}
    engines = {f"e{number}": entry for number in range(8)}
    directory.configure(builders.configuration(engines=engines))
    for number in range(8):
        builders.add_engine(directory, f"e{number}", "d1", seam="ready")
    other = directories.Directory("d2")
    other.configure(builders.configuration(engines=engines))
    for number in reversed(range(8)):
        builders.add_engine(other, f"e{number}", "d1", seam="ready")

    def holders(source):
        return {
            c.engine for c in source.candidates("seam") if "can" in c.adapters
        }

    assert len(directory.candidates("seam")) == 8
    assert holders(directory) == holders(other)
    assert len(holders(directory)) == directories.ADAPTER_REPLICAS


def test_an_engine_removed_from_the_configuration_is_no_candidate(directory):
    builders.add_engine(directory, "e1", "d1", seam="ready")
    builders.add_engine(directory, "e2", "d2", seam="ready")
    assert len(directory.candidates("seam")) == 2
    engines = {"e2": {"domain": "d2", "memory_bytes": 80 * builders.GB}}
    directory.configure(builders.configuration(engines=engines))
    assert [c.engine for c in directory.candidates("seam")] == ["e2"]


def test_servers_of_a_service_exclude_leaving_vms(directory):
    for name, domain in [("ledger-1", "d2"), ("ledger-2", "d1")]:
        directory.update_vm(builders.vm(name, domain, "ledger"))
    leaving_vm = builders.vm("ledger-3", "d1", "ledger")
    directory.update_vm(leaving_vm._replace(leaving=True))
    directory.update_vm(builders.vm("stock-1", "d1", "service"))
    assert directory.servers("approvals") == ["ledger-1", "ledger-2"]
    assert directory.is_near("ledger-2") and not directory.is_near("ledger-1")
    assert directory.servers("none") == []


def test_a_dropped_vm_is_removed(directory):
    builders.add_engine(directory, "e1", "d1", seam="ready")
    directory.remove_vm("e1")
    assert directory.candidates("seam") == []
    assert directory.url("e1") == ""
