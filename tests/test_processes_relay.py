"""Tests of relay processes between stand-ins of the users' platform."""

import concurrent.futures
import json
import signal
import subprocess
import sys
import time

import pytest

from tests import builders_site as builders

pytestmark = pytest.mark.processes


@pytest.fixture(scope="module")
def site():
    with builders.running() as running:
        yield running


def test_plain_request_is_forwarded_unchanged(site):
    answer = site.caller().send("/look/x?a=%20b", method="GET")
    assert (answer.status, answer.complete) == (200, True)
    assert answer.body.decode() == f"{answer.request_id} /look/x?a=%20b"
    assert answer.headers["azureline-server-seal"].endswith(answer.request_id)


def test_a_stream_is_whole_and_in_order(site):
    answer = site.caller().send("/ask/x", "m0", tokens=8)
    assert answer.complete and answer.events == [str(n) for n in range(8)]


def test_request_without_route_gets_404(site):
    assert site.caller().send("/nowhere/").status == 404


def test_model_without_replica_is_loaded_on_demand(site):
    answer = site.caller("relay-2").send("/again/x", "m2", wait_limit_ms=5000)
    for _ in range(5):
        if answer.status != 503:
            break
        assert site.runs_of(answer.request_id) == 0
        time.sleep(float(answer.headers["retry-after"]))
        answer = site.caller("relay-2").send("/again/x", "m2")
    assert answer.status == 200 and answer.complete
    assert not any(site.recorded(f"engine-{n}")["overcommits"] for n in (1, 2))


def test_an_adapter_is_loaded_on_demand_through_the_holder(site):
    for number in (1, 2, 3, 1):
        answer = site.caller().send("/ask/x", f"m0/a{number}")
        deadline = time.monotonic() + 15
        while answer.status == 503 and time.monotonic() < deadline:
            time.sleep(0.5)
            answer = site.caller().send("/ask/x", f"m0/a{number}")
        assert answer.status == 200, answer
    for name in ("engine-1", "engine-2"):
        seen = site.recorded(name)
        assert seen["overcommits"] == 0
        assert len({order["holder"] for order in seen["orders"]}) <= 1


def test_non_idempotent_request_that_may_have_run_is_not_retried(site):
    for name in ("ledger-1", "ledger-2"):
        site.inject_fault(name, reset=1)
    answers = [site.caller().send("/post/x") for _ in range(4)]
    failed = [a for a in answers if a.status == 502]
    assert len(failed) == 2
    assert all(site.runs_of(a.request_id) == 1 for a in answers)


def test_idempotent_request_is_retried(site):
    site.inject_fault("ledger-1", reset=1)
    site.inject_fault("ledger-2", reset=1)
    answer = site.caller().send("/look/x", method="GET")
    again = site.caller().send("/look/x", method="GET")
    assert again.status == 200
    assert site.runs_of(answer.request_id) == 2


def test_request_to_mute_server_ends_at_route_timeout(site):
    site.inject_fault("ledger-1", mute=2)
    site.inject_fault("ledger-2", mute=2)
    began = time.monotonic()
    answers = [site.caller().send("/post/x") for _ in range(2)]
    elapsed_s = time.monotonic() - began
    for name in ("ledger-1", "ledger-2"):
        site.inject_fault(name, mute=0)
    assert [a.status for a in answers] == [504, 504]
    # Two route time-outs of 1.5 s, each at most 0.5 s late.
    assert 3.0 <= elapsed_s < 4.0


def test_resumable_stream_completes_while_engine_drains(site):
    site.inject_fault("engine-1", drain=True)
    time.sleep(1.5)
    answer = site.caller().send("/again/x", "m0", tokens=6)
    assert answer.complete and answer.events == [str(n) for n in range(6)]


def test_requests_are_logged_and_counted(site):
    answer = site.caller("relay-3").send("/look/x", method="GET")
    time.sleep(0.3)
    (line,) = [
        e
        for e in site.events("relay-3", "attempt")
        if e["request"] == answer.request_id
    ]
    assert line["outcome"] == "delivered" and line["server"]
    text = site.metrics("relay-3")
    assert "azureline_answer_seconds_bucket" in text
    assert "azureline_requests_total" in text


def test_a_running_node_explains_where_a_request_would_go(site):
    """Guards the way from the command through the node's metrics address."""

    def explain(model):
        return subprocess.run(
            [sys.executable, "-m", "azureline", "explain", model, "--json"]
            + ["--tokens", "9190", "--prefix", "p1:6300"]
            + ["--node", site.metrics_url("relay-3")],
            capture_output=True,
            text=True,
            timeout=20,
            check=False,
        )

    document = json.loads(explain("m0").stdout)
    assert document["node"] == "relay-3" and document["engines"]
    unknown = explain("m9")
    assert unknown.returncode == 1 and "model m9 is unknown" in unknown.stderr


def test_planned_stop_completes_streams_and_requests(site):
    caller = site.caller("relay-3")
    assert caller.send("/look/x", method="GET", keep=True).status == 200
    with concurrent.futures.ThreadPoolExecutor() as threads:
        long_stream = threads.submit(
            site.caller("relay-3").send, "/ask/x", "m0", tokens=400
        )
        time.sleep(0.2)
        signalled_at = time.monotonic()
        site.signal("relay-3", signal.SIGTERM)
        site.until("the node is not ready", lambda: not site.ready("relay-3"))
        keep_alive_reply = caller.send("/look/x", method="GET", keep=True)
        assert keep_alive_reply.status == 200
        assert keep_alive_reply.headers["connection"] == "close"
        new_reply = site.caller("relay-3").send("/look/x", method="GET")
        assert new_reply.status == 200
        assert len(long_stream.result().events) == 400
    # After the drain notice period the node accepts no requests, since a later
    # one might not finish before the node exits.
    time.sleep(max(0.0, signalled_at + 2.9 - time.monotonic()))
    late = caller.send("/look/x", method="GET", keep=True)
    assert late.status in (0, 503)
    assert site.runs_of(late.request_id) == 0
