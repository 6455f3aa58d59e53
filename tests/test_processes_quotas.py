"""Tests of quotas of workspaces over relay processes."""

import json
import time

import pytest

from tests import builders_site as builders

pytestmark = pytest.mark.processes

_RATE = 8
_TENANTS = (
    {"name": "w1", "api_keys": ["k1"], "rate_per_s": _RATE, "burst": _RATE},
    {"name": "w2", "api_keys": ["k2"]},
)


@pytest.fixture(scope="module")
def site():
    with builders.running(tenants=_TENANTS) as running:
        # An owner that has just started waits for 2 s and then fills buckets.
        time.sleep(4)
        yield running


def _send(site, number, key):
    caller = site.caller(builders.NODES[number % len(builders.NODES)])
    return caller.send("/look/x", method="GET", headers={"X-Api-Key": key})


def test_a_quota_binds_all_nodes_together(site):
    # Each node would allow the whole quota if the nodes shared nothing.
    began, answers = time.monotonic(), []
    while time.monotonic() < began + 4:
        answers.append(_send(site, len(answers), "k1"))
        time.sleep(0.01)
    took_s = time.monotonic() - began
    served = [a for a in answers if a.status == 200]
    refused = [a for a in answers if a.status == 429]
    assert len(served) + len(refused) == len(answers) and refused
    assert 0.8 * _RATE * took_s <= len(served) <= _RATE * (took_s + 1) + 1
    assert not any(site.runs_of(a.request_id) for a in refused[:5])
    assert float(refused[0].headers["retry-after"]) > 0
    assert "over its quota" in json.loads(refused[0].body)["title"]
    metrics = "".join(site.metrics(name) for name in builders.NODES)
    assert 'azureline_quotas_total{reason="granted.owner"}' in metrics


def test_a_workspace_without_a_quota_is_not_refused(site):
    assert all(_send(site, n, "k2").status == 200 for n in range(40))
    assert _send(site, 0, "unknown").status == 401


def test_a_killed_owner_is_replaced(site):
    line = site.until("a refusal", lambda: _refusal_line(site))
    assert line["workspace"] == "w1" and line["rate_per_s"] == _RATE
    for name in builders.NODES[1:]:
        site.kill(name)

    def served() -> bool:
        return _send(site, 0, "k1").status == 200

    site.until("the last node grants", served)
    time.sleep(1.5)
    assert sum(served() for _ in range(20)) >= 0.8 * _RATE


def _refusal_line(site):
    for number in range(60):
        _send(site, number, "k1")
    lines = [e for n in builders.NODES for e in site.events(n, "quota_refused")]
    return lines[0] if lines else None
