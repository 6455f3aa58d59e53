"""Tests of at-most-once: kills, freezes, lost answers, outages."""

import signal
import time

import pytest

from tests import builders_processes
from tools import caller

pytestmark = pytest.mark.processes
NODES = builders_processes.NODES


@pytest.fixture(scope="module", name="fleet")
def fixture_fleet():
    with builders_processes.running() as fleet:
        yield fleet


def _owner(fleet, slot):
    """Returns a node that acquired a slot by its log, else the first one."""
    for name in NODES:
        path = fleet.processes.folder / f"{name}.log"
        if f"event=acquired slot=once/{slot}" in path.read_text():
            return name
    return NODES[0]


def _start_approval(fleet, node):
    """Returns the key and the future answer of an approval that has started.

    It retries refusals, since an owner that is still recovering from an outage
    refuses requests as not run.
    """
    deadline = time.monotonic() + 60
    while time.monotonic() < deadline:
        key = caller.new_key()
        sent = fleet.in_background(fleet.approve, node, key, 5)
        while not sent.done():
            if key in fleet.runs():
                return key, sent
            time.sleep(0.05)
        refused = sent.result()
        assert refused.document["ran"] == "no", refused
        assert key not in fleet.runs()
        time.sleep(refused.document["retry_after"])
    raise AssertionError("no approval was run within 60 s")


def test_request_with_lost_answer_is_never_repeated(fleet):
    fleet.inject_fault("ledger-1", drop_answers=1)
    key = caller.new_key()
    first = fleet.approve("node-1", key, 1)
    assert first.document["ran"] == "unknown"
    for node in NODES:
        again = fleet.approve(node, key, 1)
        assert again.document["kind"] == "may_have_run"
    assert fleet.runs()[key] == 1


def test_request_not_started_by_ledger_can_be_retried(fleet):
    fleet.inject_fault("ledger-1", busy_s=1.0)
    key = caller.new_key()
    first = fleet.approve("node-1", key, 2)
    assert first.document.get("ran") == "no"
    assert key not in fleet.runs()
    seen = fleet.approve_until_final(("node-2", "node-3"), key, 2)
    assert seen[-1].status == 200
    assert fleet.runs()[key] == 1


def test_concurrent_copies_through_all_nodes_run_once(fleet):
    keys = [caller.new_key() for _ in range(20)]
    sent = [
        fleet.in_background(fleet.approve, node, key, 3)
        for key in keys
        for node in NODES
    ]
    bodies = {}
    for number, future in enumerate(sent):
        answer = future.result(timeout=60)
        assert answer.status == 200, answer
        bodies.setdefault(keys[number // len(NODES)], set()).add(answer.body)
    assert all(len(seen) == 1 for seen in bodies.values())
    runs = fleet.runs()
    assert [runs[key] for key in keys] == [1] * len(keys)


def test_an_outage_of_the_platform_refuses_as_not_run_and_streams_go_on(fleet):
    fleet.inject_fault("platform", down_s=6.0)
    time.sleep(0.2)
    started = time.monotonic()
    key = caller.new_key()
    refused = fleet.approve("node-1", key, 4, deadline_s=20.0)
    assert refused.document.get("ran") == "no", refused
    assert refused.document["retry_after"] > 0
    assert time.monotonic() - started < 5.0
    assert fleet.is_complete(fleet.chat("node-2", 20), 20)
    seen = fleet.approve_until_final(("node-2", "node-3"), key, 4)
    assert seen[-1].status == 200
    assert fleet.runs()[key] == 1


def test_a_node_killed_with_a_request_under_way_leaves_the_truth(fleet):
    fleet.inject_fault("ledger-1", delay_s=3.0)
    key, pending = _start_approval(fleet, "node-1")
    fleet.processes.kill("node-1")
    assert pending.result(timeout=30).status == 0
    fleet.inject_fault("ledger-1", delay_s=0.0)
    seen = fleet.approve_until_final(("node-2", "node-3"), key, 5, tries=60)
    assert seen[-1].document.get("ran") in ("unknown", "yes"), seen[-1]
    assert fleet.runs()[key] == 1


def test_an_owner_frozen_past_its_lease_adds_no_second_run(fleet):
    others = tuple(n for n in NODES if n != "node-1")
    frozen = others[0]
    keys = [caller.new_key() for _ in range(12)]
    sent = [fleet.in_background(fleet.approve, frozen, key, 6) for key in keys]
    time.sleep(0.02)
    fleet.signal(frozen, signal.SIGSTOP)
    fleet.frozen.add(frozen)
    time.sleep(20.0)
    for key in keys:
        fleet.approve_until_final((others[1],), key, 6, tries=3)
    fleet.signal(frozen, signal.SIGCONT)
    fleet.frozen.discard(frozen)
    for future in sent:
        future.result(timeout=60)
    for key in keys:
        seen = fleet.approve_until_final((others[1],), key, 6)
        assert seen[-1].status == 200 or seen[-1].document.get("ran") in (
            "unknown",
            "yes",
        )
    runs = fleet.runs()
    assert all(runs.get(key, 0) <= 1 for key in keys)
