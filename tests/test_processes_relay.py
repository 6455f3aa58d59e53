"""The relay as real processes between stand-ins of the users' platform."""

import concurrent.futures
import signal
import time

import pytest

from tests import builders_site as builders

pytestmark = pytest.mark.processes


@pytest.fixture(scope="module")
def site():
    with builders.running() as running:
        yield running


def test_a_plain_call_is_passed_on_byte_for_byte(site):
    answer = site.caller().send("/look/x?a=%20b", method="GET")
    assert (answer.status, answer.whole) == (200, True)
    assert answer.body.decode() == f"{answer.request_id} /look/x?a=%20b"
    assert answer.headers["azureline-server-seal"].endswith(answer.request_id)


def test_a_stream_is_whole_and_in_order(site):
    answer = site.caller().send("/ask/x", "m0", tokens=8)
    assert answer.whole and answer.events == [str(n) for n in range(8)]


def test_no_route_is_told_at_once(site):
    assert site.caller().send("/nowhere/").status == 404


def test_a_model_that_nobody_holds_is_loaded_for_its_caller(site):
    answer = site.caller("relay-2").send("/again/x", "m2", patience_ms=5000)
    for _ in range(5):
        if answer.status != 503:
            break
        assert site.runs_of(answer.request_id) == 0
        time.sleep(float(answer.headers["retry-after"]))
        answer = site.caller("relay-2").send("/again/x", "m2")
    assert answer.status == 200 and answer.whole
    assert not any(site.seen(f"engine-{n}")["overcommits"] for n in (1, 2))


def test_an_adapter_is_loaded_on_demand_through_the_holder(site):
    for number in (1, 2, 3, 1):
        answer = site.caller().send("/ask/x", f"m0/a{number}")
        deadline = time.monotonic() + 15
        while answer.status == 503 and time.monotonic() < deadline:
            time.sleep(0.5)
            answer = site.caller().send("/ask/x", f"m0/a{number}")
        assert answer.status == 200, answer
    for name in ("engine-1", "engine-2"):
        seen = site.seen(name)
        assert seen["overcommits"] == 0
        assert len({order["holder"] for order in seen["orders"]}) <= 1


def test_a_call_that_may_have_run_is_not_sent_again(site):
    for name in ("ledger-1", "ledger-2"):
        site.fault(name, reset=1)
    answers = [site.caller().send("/post/x") for _ in range(4)]
    broken = [a for a in answers if a.status == 502]
    assert len(broken) == 2
    assert all(site.runs_of(a.request_id) == 1 for a in answers)


def test_an_idempotent_call_is_sent_again(site):
    site.fault("ledger-1", reset=1)
    site.fault("ledger-2", reset=1)
    answer = site.caller().send("/look/x", method="GET")
    again = site.caller().send("/look/x", method="GET")
    assert again.status == 200
    assert site.runs_of(answer.request_id) == 2


def test_a_mute_server_ends_at_the_routes_time(site):
    site.fault("ledger-1", mute=2)
    site.fault("ledger-2", mute=2)
    began = time.monotonic()
    answers = [site.caller().send("/post/x") for _ in range(2)]
    took = time.monotonic() - began
    for name in ("ledger-1", "ledger-2"):
        site.fault(name, mute=0)
    assert [a.status for a in answers] == [504, 504]
    assert 3.0 <= took < 4.0  # Twice the route's 1.5 s, each within 0.5 s.


def test_a_resumable_stream_goes_on_at_another_engine(site):
    site.fault("engine-1", drain=True)
    time.sleep(1.5)
    answer = site.caller().send("/again/x", "m0", tokens=6)
    assert answer.whole and answer.events == [str(n) for n in range(6)]


def test_each_request_leaves_lines_and_metrics(site):
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


def test_a_planned_stop_cuts_nothing_off(site):
    caller = site.caller("relay-3")
    assert caller.send("/look/x", method="GET", keep=True).status == 200
    with concurrent.futures.ThreadPoolExecutor() as threads:
        long = threads.submit(
            site.caller("relay-3").send, "/ask/x", "m0", tokens=400
        )
        time.sleep(0.2)
        told_at = time.monotonic()
        site.signal("relay-3", signal.SIGTERM)
        site.until("it says so", lambda: not site.ready("relay-3"))
        kept = caller.send("/look/x", method="GET", keep=True)
        assert kept.status == 200
        assert kept.headers["connection"] == "close"
        fresh = site.caller("relay-3").send("/look/x", method="GET")
        assert fresh.status == 200
        assert len(long.result().events) == 400
    # Taken later than the notice, a request might not end in time.
    time.sleep(max(0.0, told_at + 2.9 - time.monotonic()))
    late = caller.send("/look/x", method="GET", keep=True)
    assert late.status in (0, 503)
    assert site.runs_of(late.request_id) == 0
