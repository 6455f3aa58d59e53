"""Tests of requests that crash servers while all nodes are lost repeatedly.

What the nodes know in memory alone is gone after each loss, so a request must
not start with a clean record at the next nodes.
"""

import time

import pytest

from tests import builders_crash_plays as builders

pytestmark = pytest.mark.processes

# The target, the first crash included, however many losses follow it.
MAX_ENDS = 4
# A copy takes 1.5 s to end its server; copies in flight at the first crash
# would end further servers before any node can know of it.
ENDS_AFTER_S = 1.5
INTERVAL_S = 1.7
# Target for other callers once the nodes are up for good.
MIN_SERVED = 0.97
# Time from a crash that a node has seen to the loss of all nodes, in which
# the crash is written to the store.
LOST_AFTER_S = 0.3
LOSSES = 5
SECONDS = 26.0


@pytest.fixture
def place():
    with builders.scene() as running:
        yield running


def _seen_crashes(place):
    found = {
        (event["server"], event["born_ms"])
        for node in builders.NODES
        for event in place.site.events(node, "server_ended")
    }
    return len(found)


def _lose_all_nodes_after_each_crash(place):
    seen, losses, ends_at = 0, 0, time.monotonic() + SECONDS - 5.0
    while losses < LOSSES and time.monotonic() < ends_at:
        time.sleep(0.05)
        crashes = _seen_crashes(place)
        if crashes > seen:
            time.sleep(LOST_AFTER_S)
            place.kill_all()
            seen, losses = crashes, losses + 1


@pytest.mark.parametrize(
    ("path", "method"),
    [("/post/deadly", "POST"), ("/look/deadly", "GET")],
    ids=["non_idempotent", "idempotent"],
)
def test_a_deadly_request_is_refused_though_all_nodes_are_lost_repeatedly(
    place, path, method
):
    fault = {"after_s": ENDS_AFTER_S}
    play = builders.Play(
        path, method, fault=fault, seconds=SECONDS, interval_s=INTERVAL_S
    )
    outcome = builders.run(place, play, _lose_all_nodes_after_each_crash)
    assert outcome.late == 0, outcome
    assert outcome.ends <= MAX_ENDS, outcome
    assert outcome.last_served >= MIN_SERVED * outcome.last_others, outcome
