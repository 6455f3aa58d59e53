"""Tests of schedules of events at a rate."""

import hypothesis
from hypothesis import strategies as st
import pytest

from azureline.core import rate_schedule

_RATES = st.sampled_from([0.1, 1.0, 3.0, 50.0])


@hypothesis.given(
    st.lists(
        st.tuples(st.floats(0.0, 2.0), st.floats(0.0, 3.0), _RATES),
        max_size=60,
    ),
    _RATES,
    st.sampled_from([1.0, 2.0, 5.0]),
)
def test_events_conform_to_the_rate(steps, per_s, burst):
    schedule = rate_schedule.RateSchedule(per_s, burst, 0.0)
    now, events = 0.0, []
    for pause_s, max_wait_s, _ in steps:
        now += pause_s
        wait_s = schedule.book(now, max_wait_s)
        assert wait_s is None or 0.0 <= wait_s <= max_wait_s
        if wait_s is not None:
            events.append(now + wait_s)
    assert events == sorted(events)
    for first, begins in enumerate(events):
        for last, ends in enumerate(events[first:], first):
            allowed = burst + (ends - begins) * per_s
            assert last - first + 1 <= allowed + 1e-6


@hypothesis.given(st.lists(_RATES, min_size=1, max_size=5))
def test_a_changed_rate_spaces_what_is_booked_anew(rates):
    schedule = rate_schedule.RateSchedule(10.0, 1.0, 0.0)
    for _ in range(5):
        schedule.book(0.0, 10.0)
    for per_s in rates:
        schedule.set_rate(per_s, 0.0)
    assert schedule.wait_s(0.0) == pytest.approx(5.0 / rates[-1])


def test_charged_events_delay_the_next():
    schedule = rate_schedule.RateSchedule(2.0, 1.0, 0.0)
    for _ in range(3):
        schedule.charge(0.0)
    assert schedule.wait_s(0.0) == pytest.approx(1.5)
    assert schedule.book(0.0, 1.0) is None
