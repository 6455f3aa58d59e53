"""Tests of the fleet as processes: configuration, owners, outages."""

import signal
import time

import pytest

from tests import builders_processes
from tools import caller
from tools import deployment

pytestmark = pytest.mark.processes
NODES = builders_processes.NODES
IN_FORCE_S = 6.0
STREAM_TOKENS = 800


@pytest.fixture(scope="module", name="fleet")
def fixture_fleet():
    with builders_processes.running(memory_check=False) as fleet:
        yield fleet


def _apply(fleet, **limits):
    """Applies a change; returns its version and its start time."""
    before = max(fleet.versions(("node-1", "node-2")))
    started_at = time.monotonic()
    fleet.configure({}, **limits)
    return before + 1, started_at


def _in_force_s(fleet, nodes, version, started_at):
    """Returns the seconds until a version was in force on the nodes."""
    deployment.wait_until(
        f"version {version} is in force",
        lambda: min(fleet.versions(nodes)) >= version,
        60,
    )
    return time.monotonic() - started_at


def _wait_until_served(fleet, node, model):
    """Waits until a node serves a model."""
    deployment.wait_until(
        f"{node} serves {model}",
        lambda: (
            fleet.caller(node)
            .chat(model, builders_processes.QUESTION, 3)
            .complete
        ),
        120,
    )


def _owner(fleet, node, engine):
    engines = fleet.status(node).get("engines", [])
    return next((e["owner"] for e in engines if e["name"] == engine), "")


def test_changes_are_in_force_everywhere_within_six_seconds(fleet):
    durations_s = []
    for number in range(10):
        version, started_at = _apply(fleet, adapters_in_transit=20 + number)
        durations_s.append(_in_force_s(fleet, NODES, version, started_at))
    print("in force after", [round(s, 2) for s in durations_s])
    assert max(durations_s) < IN_FORCE_S


def test_a_frozen_node_delays_no_other_and_follows_when_it_wakes(fleet):
    fleet.signal("node-3", signal.SIGSTOP)
    fleet.frozen.add("node-3")
    version, started_at = _apply(fleet, adapters_in_transit=31)
    others_s = _in_force_s(fleet, NODES[:2], version, started_at)
    time.sleep(20)
    fleet.signal("node-3", signal.SIGCONT)
    fleet.frozen.discard("node-3")
    resumed_s = _in_force_s(fleet, ("node-3",), version, time.monotonic())
    print(f"other nodes {others_s:.2f} s, resumed node {resumed_s:.2f} s")
    assert others_s < IN_FORCE_S
    assert resumed_s < IN_FORCE_S
    assert min(fleet.versions()) >= version


def test_streams_outlive_an_outage_of_the_platform(fleet):
    sent = [fleet.in_background(fleet.chat, node, 720) for node in NODES]
    time.sleep(0.5)
    fleet.inject_fault("platform", down_s=15.0)
    time.sleep(3.0)
    for node in NODES:
        assert fleet.is_complete(fleet.chat(node, 20), 20)
    for future in sent:
        seen = future.result(timeout=120)
        assert fleet.is_complete(seen, 720), seen
    version, started_at = _apply(fleet, adapters_in_transit=32)
    assert _in_force_s(fleet, NODES, version, started_at) < IN_FORCE_S
    key = caller.new_key()
    assert fleet.approve_until_final(NODES, key, 1)[-1].status == 200


def test_a_killed_owner_is_replaced_and_changes_go_on(fleet):
    killed = deployment.wait_until(
        "engine-1 has an owner", lambda: _owner(fleet, "node-1", "engine-1"), 60
    )
    remaining = tuple(node for node in NODES if node != killed)
    fleet.processes.kill(killed)
    fleet.killed.add(killed)
    started = time.monotonic()
    deployment.wait_until(
        "engine-1 has another owner",
        lambda: _owner(fleet, remaining[0], "engine-1") in remaining,
        90,
    )
    print(f"another owner after {time.monotonic() - started:.1f} s")
    fleet.configure({"bead-check": "5 GiB"})
    for node in remaining:
        _wait_until_served(fleet, node, "bead-check")


def test_memory_was_never_overcommitted(fleet):
    seen = {e: fleet.report(e)["overcommits"] for e in fleet.engines()}
    print("overcommits", seen)
    assert set(seen.values()) == {0}, seen
