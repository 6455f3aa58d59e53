"""Tests of the estimated load of requests on engines."""

import pytest

from azureline.relay import requests
from azureline.relay import run_times
from tests import builders_relay as builders

_PARTS = (
    requests.PromptPart("a", 3000),
    requests.PromptPart("b", 3300),
    requests.PromptPart("own", 2890),
)


def _request(**fields):
    return builders.request(prompt_tokens=9190, parts=_PARTS, **fields)


def test_shared_parts_count_as_cached_until_a_holder_reports_reading_time():
    times = run_times.RunTimes(38000.0)
    route = builders.route()
    first = times.expected_load(route, _request())
    assert first.reading == pytest.approx(2890 / 38000 * 1.2)
    times.record(route.name, 1.0, 10, 0.2)
    assert times.expected_load(route, _request()).reading == pytest.approx(0.24)


def test_an_answer_without_a_reservation_keeps_the_reading_time():
    times = run_times.RunTimes(38000.0)
    times.record("r", 1.0, 10, 0.2)
    times.record("r", 1.0, 10, 0.0)
    assert times.expected_load(
        builders.route(), _request()
    ).reading == pytest.approx(0.24)


def test_run_times_follow_the_measured_ones():
    times = run_times.RunTimes(38000.0)
    route = builders.route(target_s=0.25)
    assert times.expected_load(route, _request()).running == 0.25
    for _ in range(100):
        times.record(route.name, 1.8, 56, 0.0)
    work = times.expected_load(route, _request(adapter="a1"))
    assert work.running == work.adapted == pytest.approx(1.8)
    assert times.expected_load(route, _request()).adapted == 0.0


def test_the_allowed_pause_is_reduced_by_the_spacing_of_events():
    times = run_times.RunTimes(38000.0)
    route = builders.route(gap_s=0.15)
    assert times.latency_targets(route).max_gap_s == 0.15
    times.record(route.name, 1.68, 56, 0.0)
    assert times.latency_targets(route).max_gap_s == pytest.approx(0.12)
    times.record("slow", 10.0, 10, 0.0)
    slow = builders.route("slow", gap_s=0.15)
    assert times.latency_targets(slow).max_gap_s == pytest.approx(0.015)
    assert (
        times.latency_targets(builders.route("free", gap_s=0.0)).max_gap_s
        == 0.0
    )


def test_the_number_of_routes_in_memory_is_bounded():
    times = run_times.RunTimes(38000.0)
    for number in range(5000):
        times.record(f"r{number}", 1.0, 1, 0.0)
    old, new = builders.route("r0"), builders.route("r4999")
    assert times.expected_load(new, builders.request()).running == 1.0
    old = old._replace(target_s=0.3)
    assert times.expected_load(old, builders.request()).running == 0.3
