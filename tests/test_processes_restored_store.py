"""Tests with a store that comes back from an older copy of its state."""

import time

import pytest

from tests import builders_relay
from tests import builders_site as builders

pytestmark = pytest.mark.processes

# Three nodes in each of two failure domains: one of each three receives the
# change feed and does not watch the store.
NODES = tuple(f"relay-{n}" for n in range(1, 7))
DOMAINS = 2
# Limit for a change to be in force at every node, from the store's answer.
IN_FORCE_S = 2.0
# The limit holds this long after a disturbance of the store.
CONTACT_S = 3.0


@pytest.fixture
def site():
    with builders.running(NODES, domains=DOMAINS) as running:
        yield running


def _version(site, node):
    """Returns the version in force at a node's current process."""
    started_at = site.events(node, "started")[-1]["time"]
    versions = [
        event["version"]
        for event in site.events(node, "config_in_force")
        if event["time"] >= started_at
    ]
    return max(versions, default=0)


def _assert_in_force(site, version):
    site.inject_fault("store", operator=builders_relay.site_document(version))
    time.sleep(IN_FORCE_S)
    found = {node: _version(site, node) for node in NODES}
    assert set(found.values()) == {version}, found


def test_every_node_hears_of_changes_after_returns_in_series(site):
    _assert_in_force(site, 8)
    time.sleep(9.0)
    for _ in range(3):
        site.inject_fault("store", restore={"age_s": 9.0, "down_s": 0.6})
        time.sleep(2.5)
    time.sleep(0.6 + CONTACT_S - 2.5)
    for version in (9, 10):
        _assert_in_force(site, version)


def test_a_node_that_starts_after_a_return_gets_the_newest_configuration(site):
    time.sleep(4.0)
    _assert_in_force(site, 8)
    site.inject_fault("store", rewrite_s=60.0)
    site.inject_fault("store", restore={"age_s": 4.0, "down_s": 0.5})
    time.sleep(0.5 + CONTACT_S)
    site.kill("relay-1")
    site.processes.start_relay("relay-1", "d1")
    site.until("relay-1 is ready", lambda: site.ready("relay-1"))
    time.sleep(IN_FORCE_S)
    assert _version(site, "relay-1") == 8


def _holder(site, engine, names=NODES):
    """Returns the node that claimed an engine last."""
    claims = [
        (event["time"], event["node"])
        for node in names
        for event in site.events(node, "claimed")
        if event["held"] == engine
    ]
    return max(claims)[1] if claims else None


def _order_by(site, node):
    """Causes orders until a node has sent one to the first engine."""
    callers = [site.caller(name) for name in NODES if name not in site.killed]
    for number in range(300):
        callers[number % len(callers)].send(
            "/ask/x", f"m1/a{number % 3 + 1}", wait_limit_ms=500
        )
        orders = site.recorded("engine-1")["orders"]
        if orders and orders[-1]["holder"] == node:
            return orders
        time.sleep(0.1)
    raise AssertionError(f"no order by {node}")


def test_fencing_tokens_never_fall_when_claimers_die_after_a_return(site):
    first = site.until("a holder", lambda: _holder(site, "engine-1"))
    _order_by(site, first)
    killed_at = time.monotonic()
    site.kill(first)
    live = [name for name in NODES if name != first]
    second = site.until("another", lambda: _holder(site, "engine-1", live))
    _order_by(site, second)
    time.sleep(6.0)
    age_s = time.monotonic() - killed_at + 0.5
    site.inject_fault("store", restore={"age_s": age_s, "down_s": 0.3})
    time.sleep(0.3)
    site.kill(second)
    live.remove(second)
    third = site.until("a third", lambda: _holder(site, "engine-1", live))
    orders = _order_by(site, third)
    tokens = [order["fencing_token"] for order in orders]
    assert tokens == sorted(tokens), tokens
