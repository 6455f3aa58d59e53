"""Tests of the callers' HTTP interface."""

import json

import pytest

from azureline import requests
from azureline.callers import site as site_lib
from azureline.core import errors
from azureline.util import bodies
from azureline.util import memory_budget
from tests import builders_callers
from tests import builders_http

CHAT = "/v1/chat/completions"
MESSAGES = [{"role": "user", "content": "hi"}]


@pytest.fixture(name="frontend")
def fixture_frontend():
    return builders_callers.FakeFrontend()


@pytest.fixture(name="site")
def fixture_site(frontend):
    return site_lib.make_site(frontend, max_body_bytes=2000)


def _chat(site, headers=None, **fields):
    body = {"model": "m", "messages": MESSAGES, **fields}
    return builders_http.request(
        site,
        "POST",
        CHAT,
        builders_callers.HEADERS | (headers or {}),
        json.dumps(body).encode(),
    )


def test_a_streamed_answer_forwards_events_unchanged(site):
    response = _chat(site, stream=True)
    assert response.headers["Content-Type"] == "text/event-stream"
    assert response.body == builders_callers.event(
        0, "Hello "
    ) + builders_callers.event(1, "there")


def test_a_complete_answer_joins_the_contents(site):
    message = _chat(site).json["choices"][0]["message"]
    assert message == {"role": "assistant", "content": "Hello there"}


def test_priority_is_limited_by_the_caller_and_deadline_is_absolute(
    site, frontend
):
    _chat(site, {"X-Priority": "urgent", "X-Deadline-S": "5"})
    assert frontend.calls[0].priority is requests.Priority.NORMAL
    assert frontend.calls[0].deadline == 105.0


def test_equal_contents_have_equal_digests_in_different_requests(
    site, frontend
):
    for temperature in (0, 1):
        _chat(site, temperature=temperature)
    _chat(site, max_tokens=7)
    contents = [call.content for call in frontend.calls]
    assert contents[0] == contents[1] != contents[2]
    assert len({call.request_id for call in frontend.calls}) == 3


@pytest.mark.parametrize(
    ("fields", "headers", "kind"),
    [
        ({"messages": []}, {}, "bad_request"),
        ({"messages": [{"role": 1, "content": "x"}]}, {}, "bad_request"),
        ({"max_tokens": 0}, {}, "bad_request"),
        ({"max_tokens": True}, {}, "bad_request"),
        ({"stream": "yes"}, {}, "bad_request"),
        ({"model": "no-such"}, {}, "unknown_model"),
        ({}, {"X-Priority": "first"}, "bad_request"),
        ({}, {"X-Deadline-S": "nan"}, "bad_request"),
        ({}, {"X-Deadline-S": "-1"}, "bad_request"),
        ({}, {"Authorization": "Bearer wrong"}, "unauthenticated"),
        ({"model": "x" * 3000}, {}, "body_too_large"),
    ],
)
def test_invalid_requests_are_refused_and_not_run(
    site, frontend, fields, headers, kind
):
    response = _chat(site, headers, **fields)
    assert response.json["kind"] == kind
    assert response.json["ran"] == "no"
    assert response.headers["Content-Type"] == "application/problem+json"
    assert [k.value for k in frontend.counted] == [kind]
    assert not frontend.calls


def test_a_refusal_has_a_retry_after_header(site, frontend):
    frontend.stopped = errors.Refusal(
        errors.ErrorKind.OVERLOADED, "full", retry_after=2.4
    )
    response = _chat(site)
    assert response.status == 429
    assert response.headers["Retry-After"] == "3"
    assert response.json["retry_after"] == 2.4


def test_a_broken_stream_ends_with_an_error_event(site, frontend):
    frontend.hold = True
    connection = builders_http.Connection(site)
    body = {"model": "m", "messages": MESSAGES, "stream": True}
    connection.send(
        "POST", CHAT, builders_callers.HEADERS, json.dumps(body).encode()
    )
    frontend.answer.write(builders_callers.event(0, "Hel"))
    frontend.answer.refuse(errors.Refusal(errors.ErrorKind.STREAM_LOST, "x"))
    last = connection.response().body.split(b"\n\n")[-2]
    assert last.startswith(b"event: error\ndata: ")
    assert b"[DONE]" not in connection.response().body


def test_a_non_idempotent_call_requires_an_idempotency_key(site, frontend):
    path = "/v1/services/ledger/approvals?lot=7"
    without = builders_http.request(
        site, "POST", path, builders_callers.HEADERS, b"{}"
    )
    assert without.json["kind"] == "key_required"
    key = {"Idempotency-Key": "k"}
    builders_http.request(
        site, "POST", path, builders_callers.HEADERS | key, b"{}"
    )
    call = frontend.service_requests[0].call
    assert (call.service, call.path) == ("ledger", "/approvals?lot=7")
    assert (call.key, call.idempotent) == ("k", False)


def test_an_idempotent_call_requires_no_idempotency_key(site, frontend):
    response = builders_http.request(
        site, "GET", "/v1/services/stock/items/3", builders_callers.HEADERS
    )
    assert response.body == b"ok"
    assert frontend.service_requests[0].call.idempotent


def test_issuing_a_key_requires_authentication(site):
    path = "/v1/idempotency-keys"
    assert builders_http.request(site, "POST", path).status == 401
    issued = builders_http.request(site, "POST", path, builders_callers.HEADERS)
    assert issued.json["key"]


def test_readiness_fails_during_shutdown_but_health_does_not(site, frontend):
    frontend.stopped = errors.Refusal(errors.ErrorKind.SHUTTING_DOWN, "x")
    assert builders_http.request(site, "GET", "/readyz").status == 503
    assert builders_http.request(site, "GET", "/healthz").status == 200
    assert builders_http.request(site, "GET", "/nowhere").status == 404


def _held_chat(site, size):
    """Sends a chat with a body of a size; returns its connection."""
    connection = builders_http.Connection(site)
    body = json.dumps({"model": "m", "messages": MESSAGES}).encode()
    connection.send("POST", CHAT, builders_callers.HEADERS, body.ljust(size))
    return connection


def test_the_bodies_of_all_requests_share_a_memory_budget(frontend):
    budget = memory_budget.MemoryBudget(100_000)
    site = site_lib.make_site(frontend, 1 << 20, budget)
    frontend.hold = True
    first = _held_chat(site, 90_000)
    refused = _held_chat(site, 90_000).response()
    assert refused.status == 429 and refused.json["ran"] == "no"
    assert "Retry-After" in refused.headers
    assert len(frontend.calls) == 1
    # Small bodies have room in any case.
    small = _held_chat(site, memory_budget.FREE_BYTES)
    assert len(frontend.calls) == 2
    first.close()
    assert budget.used_bytes == 0
    _held_chat(site, 90_000)
    frontend.answer.finish()
    assert budget.used_bytes == 0
    small.close()


def test_a_document_without_an_end_is_given_up(frontend):
    # Its events were kept for as long as they came.
    budget = memory_budget.MemoryBudget(50 << 20)
    site = site_lib.make_site(frontend, 1 << 20, None, budget)
    frontend.hold = True
    connection = _held_chat(site, 100)
    gone = []
    frontend.answer.set_observer(builders_callers.Observer(gone))
    event = builders_callers.event(0, "x" * 10_000)
    for _ in range(2 * bodies.MAX_BODY_BYTES // len(event)):
        frontend.answer.write(event)
    assert connection.response().json["kind"] == "backend_failed"
    assert gone == [True]
    assert budget.used_bytes == 0
    connection.close()
