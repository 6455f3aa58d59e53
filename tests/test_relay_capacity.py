"""Tests of the queueing model of an engine."""

import math

import hypothesis
from hypothesis import strategies as st
import pytest

from azureline.relay import capacity

_BOUNDS = capacity.Bounds(slots=64, adapter_places=8)
_AIMS = capacity.LatencyTargets(target_s=1.0, max_gap_s=0.6, wait_limit_s=4.8)


def _erlang_c(load: float, servers: int) -> float:
    """Returns the exact probability of waiting in an M/M/c queue."""
    blocked = 1.0
    for n in range(1, servers + 1):
        blocked = load * blocked / (n + load * blocked)
    return blocked / (1 - load / servers * (1 - blocked))


@pytest.mark.parametrize("servers", [1, 8, 12, 64])
@pytest.mark.parametrize("busy", [0.3, 0.6, 0.8, 0.95])
def test_wait_probability_approximates_the_exact_queue(servers, busy):
    load = busy * servers
    approximation = capacity.waits_beyond(load, servers, 1.0, 0.0)
    assert approximation == pytest.approx(_erlang_c(load, servers), abs=0.06)


def test_one_server_matches_the_m_m_1_queue():
    chance = capacity.waits_beyond(0.5, 1, 0.1, 0.4)
    assert chance == pytest.approx(0.5 * math.exp(-0.5 * 0.4 / 0.1))


def test_saturated_queue_always_waits():
    assert capacity.waits_beyond(2.0, 2, 1.0, 10.0) == 1.0
    assert capacity.waits_beyond(0.1, 0, 1.0, 10.0) == 1.0
    assert capacity.waits_beyond(0.0, 0, 1.0, 0.0) == 0.0


@pytest.mark.parametrize(
    ("slots", "running"),
    # Random peaks fill few slots at a utilization that many slots can serve.
    [(12, 9.0), (64, 60.0)],
)
def test_few_slots_need_lower_utilization(slots, running):
    load = capacity.RequestLoad(running=running)
    each = capacity.RequestLoad(running=1.6)
    aims = capacity.LatencyTargets(0.25, 0.0, 2.0)
    bounds = capacity.Bounds(slots, 8)
    late = capacity.late_part(load, each, bounds, aims)
    assert late > 0.05
    wider = capacity.Bounds(2 * slots, 8)
    assert capacity.late_part(load, each, wider, aims) < 0.01


def test_shorter_gap_limit_makes_more_streams_late():
    load = capacity.RequestLoad(reading=0.4, running=10.0)
    each = capacity.RequestLoad(reading=0.02, running=1.8)
    late = [
        capacity.late_part(load, each, _BOUNDS, _AIMS._replace(max_gap_s=gap_s))
        for gap_s in (0.12, 0.57)
    ]
    assert late[0] > 0.3 and late[1] < 0.01


def test_adapter_requests_wait_for_adapter_slots_although_slots_are_free():
    load = capacity.RequestLoad(running=12.0, adapted=8.0)
    plain = capacity.RequestLoad(running=1.0)
    adapted = capacity.RequestLoad(running=1.0, adapted=0.5)
    assert capacity.late_part(load, plain, _BOUNDS, _AIMS) < 0.01
    assert capacity.late_part(load, adapted, _BOUNDS, _AIMS) == 1.0


@hypothesis.given(
    st.floats(0, 2), st.floats(0, 100), st.floats(0, 20), st.floats(1, 3)
)
def test_more_load_never_reduces_lateness(reading, running, adapted, factor):
    load = capacity.RequestLoad(reading, running, adapted)
    each = capacity.RequestLoad(0.05, 1.0, 0.3)
    less = capacity.late_part(load, each, _BOUNDS, _AIMS)
    more = capacity.late_part(load.times(factor), each, _BOUNDS, _AIMS)
    assert 0.0 <= less <= more + 1e-9 <= 1.0 + 1e-9


@pytest.mark.parametrize(
    ("requests", "expected", "slots", "overloaded"),
    [
        (22, 20.0, 64, False),
        (40, 20.0, 64, True),
        # With few slots, the number of slots is the lower of the two bounds.
        (9, 6.0, 12, False),
        (13, 6.0, 12, True),
        (2, 0.0, 64, False),
    ],
)
def test_engine_with_more_requests_than_expected_is_overloaded(
    requests, expected, slots, overloaded
):
    assert capacity.is_overloaded(requests, expected, slots) is overloaded
