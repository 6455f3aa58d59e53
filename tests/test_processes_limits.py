"""Tests of servers that name a limit for all nodes together."""

import concurrent.futures
import itertools
import time

import pytest

from tests import builders_site as builders
from tools import soak_checks

pytestmark = pytest.mark.processes

CALLERS = 12
LIMIT_S = 11.0
# Share of the named rate that the nodes use while callers ask for more.
MIN_SHARE = 0.8
# The nodes learn of a limit and of its end in this time.
LEARN_S = 2.0


def _run_caller(site, nodes, number, ends_at, send):
    sent = []
    for node in itertools.islice(itertools.cycle(nodes), number, None):
        if time.time() >= ends_at:
            return sent
        at = time.time()
        kind, answer = send(site.caller(node), number)
        sent.append(soak_checks.SentRequest(kind, 5, answer, node, at))
        time.sleep(0.05)
    return sent


def _send_to_ledgers(caller, number):
    kind = ("look", "post")[number % 2]
    method = ("GET", "POST")[number % 2]
    return kind, caller.send(f"/{kind}/x", method=method, wait_limit_ms=1500)


def _send_to_engines(caller, number):
    kind = ("ask", "again")[number % 2]
    return kind, caller.send(f"/{kind}/x", "m0", wait_limit_ms=3000)


def _send_requests(site, nodes, seconds, send):
    ends_at = time.time() + seconds
    with concurrent.futures.ThreadPoolExecutor(CALLERS) as threads:
        calls = [
            threads.submit(_run_caller, site, nodes, number, ends_at, send)
            for number in range(CALLERS)
        ]
        return [one for call in calls for one in call.result()]


def _played(site, limited, per_s, nodes, send=_send_to_ledgers):
    """Plays a limit of some servers; returns violations, share and requests."""
    for name in limited:
        site.inject_fault(name, limit={"per_s": per_s, "for_s": LIMIT_S})
    began = time.time()
    sent = _send_requests(site, nodes, LIMIT_S - 0.5, send)
    seen = {name: site.recorded(name) for name in limited}
    violations = soak_checks.find_violations(sent, seen)
    used = sum(
        began + LEARN_S <= row["at"] < began + LIMIT_S - 0.5
        for server in seen.values()
        for row in server["arrivals"]
    )
    named = per_s * len(limited) * (LIMIT_S - 0.5 - LEARN_S)
    return violations, used / named, sent


def _check_refusals(sent):
    refused = [one for one in sent if one.answer.status != 200]
    assert refused
    assert {one.answer.status for one in refused} <= {429, 503}
    assert all(float(r.answer.headers["retry-after"]) > 0 for r in refused)


@pytest.mark.parametrize(
    ("ledgers", "per_s", "nodes"),
    [
        (4, 1.0, builders.NODES),
        (3, 2.0, builders.NODES[:1]),
        (4, 0.5, builders.NODES[:1]),
    ],
)
def test_servers_that_name_a_limit_get_no_more_from_all_nodes_together(
    ledgers, per_s, nodes
):
    names = [f"ledger-{number}" for number in range(1, ledgers + 1)]
    with builders.running(ledgers=ledgers) as site:
        violations, share, sent = _played(site, names, per_s, nodes)
    assert violations == []
    assert share >= MIN_SHARE
    _check_refusals(sent)


def test_other_servers_take_what_is_beyond_a_named_limit():
    with builders.running(ledgers=4) as site:
        limited = ["ledger-1", "ledger-2"]
        violations, _, sent = _played(site, limited, 2.0, builders.NODES)
    assert violations == []
    assert all(one.answer.status == 200 for one in sent)


def test_engines_that_name_a_limit_get_no_more_calls_of_any_kind():
    with builders.running() as site:
        violations, share, sent = _played(
            site,
            ["engine-1", "engine-2"],
            2.0,
            builders.NODES,
            _send_to_engines,
        )
    assert violations == []
    assert share >= MIN_SHARE
    _check_refusals(sent)


def test_requests_are_served_again_once_a_limit_has_ended():
    names = ["ledger-1", "ledger-2"]
    with builders.running() as site:
        _, _, sent = _played(site, names, 0.5, builders.NODES)
        assert any(one.answer.status != 200 for one in sent)
        _send_requests(site, builders.NODES, 6.0, _send_to_ledgers)
        sent = _send_requests(site, builders.NODES, 2.0, _send_to_ledgers)
    assert all(one.answer.status == 200 for one in sent)
