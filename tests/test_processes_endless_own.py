"""Tests of engines that send without an end, on the product's own interface."""

import concurrent.futures
import time

import pytest

from tests import builders_processes

pytestmark = pytest.mark.processes

STREAMS = 12
CALLERS = 4
DURATION_S = 6.0
# Bound for a call to a sound server, which takes some milliseconds otherwise.
MAX_CALL_S = 1.0


@pytest.fixture(scope="module", name="fleet")
def fixture_fleet():
    with builders_processes.running(engines=2) as fleet:
        yield fleet


def _stream(fleet, node, ends_at):
    while time.monotonic() < ends_at:
        fleet.chat(node, 20)
        time.sleep(0.05)


def _call(fleet, node, ends_at):
    """Reads from a sound service; returns the status and seconds of calls."""
    taken = []
    while time.monotonic() < ends_at:
        began = time.monotonic()
        answer = fleet.caller(node, 10.0).call(
            "GET", "/v1/services/stock/needles/90-14"
        )
        taken.append((answer.status, time.monotonic() - began))
        time.sleep(0.05)
    return taken


@pytest.mark.parametrize("place", ["event", "events", "head", "trailers"])
def test_calls_are_in_time_while_engines_send_without_an_end(fleet, place):
    for engine in fleet.engines():
        fleet.inject_fault(engine, endless={"place": place})
    ends_at = time.monotonic() + DURATION_S
    nodes = builders_processes.NODES
    with concurrent.futures.ThreadPoolExecutor(STREAMS + CALLERS) as threads:
        for number in range(STREAMS):
            threads.submit(_stream, fleet, nodes[number % 3], ends_at)
        calls = [
            threads.submit(_call, fleet, nodes[number % 3], ends_at)
            for number in range(CALLERS)
        ]
        taken = [one for call in calls for one in call.result()]
        for engine in fleet.engines():
            fleet.inject_fault(engine, endless={"share": 0.0})
    assert len(taken) > CALLERS
    bad = [one for one in taken if one[0] != 200 or one[1] > MAX_CALL_S]
    assert bad == []
