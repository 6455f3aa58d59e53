"""Tests of engines as processes: lost orders, restarts, leaving."""

import time

import pytest

from tests import builders_processes
from tools import caller
from tools import demo
from tools import deployment

pytestmark = pytest.mark.processes
NODES = builders_processes.NODES
NEW_WORK_S = 3.0
STREAM_TOKENS = 800


@pytest.fixture(scope="module", name="fleet")
def fixture_fleet():
    with builders_processes.running(memory_check=False) as fleet:
        yield fleet


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


def test_lost_orders_are_made_up_for(fleet):
    for engine in fleet.engines():
        fleet.inject_fault(engine, lose_orders=2)
    fleet.configure({"rim-check": "6 GiB"})
    for node in NODES:
        _wait_until_served(fleet, node, "rim-check")


def test_an_engine_that_comes_back_empty_is_filled_again(fleet):
    fleet.processes.kill("engine-2")
    fleet.start_engine(2, memory_check=False)
    deadline = time.monotonic() + 120
    seen = []
    while demo.MODEL not in fleet.ready_models("engine-2"):
        assert time.monotonic() < deadline, fleet.report("engine-2")
        seen.append(fleet.chat(NODES[len(seen) % 3], 5))
        time.sleep(0.2)
    incomplete = [chat for chat in seen if not fleet.is_complete(chat, 5)]
    print(f"{len(seen)} requests meanwhile, {len(incomplete)} incomplete")
    assert not incomplete, incomplete


def test_an_engine_that_leaves_ends_its_work_and_gets_no_more(fleet):
    nodes = tuple(node for node in NODES if node not in fleet.killed)
    stream, engine = fleet.start_chat(nodes[0], STREAM_TOKENS)
    platform = caller.Caller(fleet.processes.urls["platform"])
    assert platform.call("POST", f"/vms/{engine}/leave", {}).status == 200
    deployment.wait_until(
        "the VM list shows that the engine is leaving",
        lambda: any(
            vm["leaving"] for vm in platform.call("GET", "/vms").document
        ),
        30,
    )
    time.sleep(NEW_WORK_S)
    # From here on a new request would crash the engine.
    fleet.inject_fault(engine, crash_on="chuck")
    for number in range(30):
        seen = fleet.chat(nodes[number % len(nodes)], 3)
        assert fleet.is_complete(seen, 3), seen
    assert fleet.alive(engine)
    seen = stream.result(timeout=120)
    assert fleet.is_complete(seen, STREAM_TOKENS), seen
    deployment.wait_until(
        "the engine has unloaded its models",
        lambda: fleet.report(engine).get("models") == [],
        120,
    )
    assert fleet.alive(engine)


def test_memory_was_never_overcommitted(fleet):
    seen = {e: fleet.report(e)["overcommits"] for e in fleet.engines()}
    print("overcommits", seen)
    assert set(seen.values()) == {0}, seen
