"""Tests of peers that send without an end, with real processes."""

import concurrent.futures
import time

import pytest

from tests import builders_site as builders

pytestmark = pytest.mark.processes

CALLERS = 6
DURATION_S = 3.0
# Timeout of the route in `builders_relay.site_document`.
ROUTE_TIMEOUT_S = 1.5
PLACES = (
    "body",
    "unchunked",
    "head",
    "interim",
    "chunk_size",
    "extension",
    "trailers",
)


@pytest.fixture(scope="module")
def site():
    with builders.running(engines=(("m0",), ("m0",), ("m0",))) as running:
        yield running


def _look_up(site, number, ends_at):
    """Sends lookups until a time; returns status and seconds of each."""
    taken = []
    while time.monotonic() < ends_at:
        node = builders.NODES[(number + len(taken)) % len(builders.NODES)]
        began = time.monotonic()
        answer = site.caller(node).send("/look/x", method="GET")
        taken.append((answer.status, time.monotonic() - began))
        time.sleep(0.05)
    return taken


def _stream(site, number, ends_at):
    """Reads streams until a time."""
    while time.monotonic() < ends_at:
        node = builders.NODES[number % len(builders.NODES)]
        site.caller(node).send("/ask/x", "m0", tokens=20)


def _play(site, streams=0):
    """Plays lookups beside streams; returns those that were not served."""
    ends_at = time.monotonic() + DURATION_S
    with concurrent.futures.ThreadPoolExecutor(CALLERS + streams) as threads:
        for number in range(streams):
            threads.submit(_stream, site, number, ends_at)
        calls = [
            threads.submit(_look_up, site, number, ends_at)
            for number in range(CALLERS)
        ]
        taken = [one for call in calls for one in call.result()]
    assert len(taken) > CALLERS
    return [
        (status, took_s)
        for status, took_s in taken
        if status != 200 or took_s > ROUTE_TIMEOUT_S
    ]


@pytest.mark.parametrize("place", PLACES)
def test_a_lookup_is_taken_elsewhere_if_its_answer_has_no_end(site, place):
    # Callers got 504 though the other server was idle.
    site.inject_fault("ledger-1", endless={"share": 0.4, "place": place})
    try:
        assert _play(site) == []
    finally:
        site.inject_fault("ledger-1", endless={"share": 0.0})


@pytest.mark.parametrize("place", (*PLACES, "event", "events"))
def test_lookups_are_in_time_while_engines_send_without_an_end(site, place):
    engines = ("engine-1", "engine-2", "engine-3")
    for name in engines:
        site.inject_fault(name, endless={"place": place})
    try:
        assert _play(site, streams=18) == []
    finally:
        for name in engines:
            site.inject_fault(name, endless={"share": 0.0})


CONTROL_PLACES = ("body", "head", "trailers")


@pytest.mark.parametrize("place", CONTROL_PLACES)
def test_requests_are_served_while_reports_have_no_end(site, place):
    servers = ("engine-1", "ledger-1")
    for name in servers:
        site.inject_fault(name, endless_control={"place": place})
    try:
        assert _play(site, streams=6) == []
    finally:
        for name in servers:
            site.inject_fault(name, endless_control={"share": 0.0})


@pytest.mark.parametrize("place", CONTROL_PLACES)
def test_requests_are_served_while_the_store_sends_without_an_end(site, place):
    site.inject_fault("store", endless={"place": place})
    try:
        assert _play(site, streams=6) == []
    finally:
        site.inject_fault("store", endless={"share": 0.0})
    time.sleep(2.0)
    assert _play(site) == []
