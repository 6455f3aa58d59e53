"""Tests of server notices: leaving servers and requested pauses."""

import concurrent.futures
import itertools
import time

import pytest

from tests import builders_site as builders
from tools import soak_checks

pytestmark = pytest.mark.processes

LEDGERS = ("ledger-1", "ledger-2", "ledger-3")
PAUSE_S = 2.0
DURATION_S = 4.0
CALLERS = 6


@pytest.fixture
def site():
    with builders.running(ledgers=len(LEDGERS)) as running:
        yield running


def _run_caller(site, number, ends_at):
    sent = []
    for node in itertools.islice(itertools.cycle(builders.NODES), number, None):
        if time.time() >= ends_at:
            return sent
        at = time.time()
        answer = site.caller(node).send(
            "/look/x", method="GET", wait_limit_ms=1500
        )
        sent.append(soak_checks.SentRequest("look", 0, answer, node, at))
        time.sleep(0.02)
    return sent


def _send_requests(site):
    """Sends requests for `DURATION_S` seconds; returns them."""
    ends_at = time.time() + DURATION_S
    with concurrent.futures.ThreadPoolExecutor(CALLERS) as threads:
        calls = [
            threads.submit(_run_caller, site, number, ends_at)
            for number in range(CALLERS)
        ]
        return [one for call in calls for one in call.result()]


def _violations(site, sent):
    seen = {name: site.recorded(name) for name in LEDGERS}
    return soak_checks.find_violations(sent, seen)


def test_leaving_server_gets_no_more_requests(site):
    site.inject_fault("ledger-1", leave=60.0)
    noticed_at = time.time()
    sent = _send_requests(site)
    assert _violations(site, sent) == []
    late = [
        row
        for row in site.recorded("ledger-1")["arrivals"]
        if row["at"] > noticed_at + 1.0
    ]
    assert late == []
    assert all(one.answer.status == 200 for one in sent)


def test_paused_server_gets_no_requests_and_none_fail(site):
    site.inject_fault("ledger-1", pause={"seconds": PAUSE_S, "for_s": 0.5})
    sent = _send_requests(site)
    assert _violations(site, sent) == []
    assert all(one.answer.status == 200 for one in sent)


def test_requests_get_retry_after_when_all_servers_pause(site):
    for name in LEDGERS:
        site.inject_fault(name, pause={"seconds": PAUSE_S, "for_s": 0.5})
    sent = _send_requests(site)
    assert _violations(site, sent) == []
    refused = [one.answer for one in sent if one.answer.status != 200]
    assert refused
    assert {answer.status for answer in refused} <= {429, 503}
    assert all(float(a.headers["retry-after"]) > 0 for a in refused)
    served = [one for one in sent if one.answer.status == 200]
    assert max(one.at for one in served) > max(one.at for one in sent) - 0.5
