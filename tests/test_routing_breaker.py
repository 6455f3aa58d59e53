"""Tests of the circuit breakers."""

import random

import pytest

from azureline.routing import breaker


def _breakers(seed=1, cls=breaker.Breakers, **settings):
    return cls(random.Random(seed), breaker.Settings(**settings))


def _opened(breakers, now=0.0, failures=5):
    return [breakers.failed(now, "e1") for _ in range(failures)]


def test_only_consecutive_failures_open_a_breaker():
    breakers = _breakers()
    assert _opened(breakers, failures=4) == [False] * 4
    breakers.succeeded(0.0, "e1")
    assert _opened(breakers) == [False] * 4 + [True]
    assert not breakers.is_permitted(0.0, "e1")
    assert breakers.is_permitted(0.0, "e2")


def test_a_half_open_breaker_permits_one_probe_at_a_time():
    breakers = _breakers()
    _opened(breakers)
    assert breakers.is_permitted(1.0, "e1")
    breakers.started(1.0, "e1")
    assert not breakers.is_permitted(1.0, "e1")
    assert not breakers.is_permitted(10.9, "e1")
    assert breakers.is_permitted(11.0, "e1")  # The probe's answer was lost.


def test_two_successful_probes_close_a_breaker():
    breakers = _breakers()
    _opened(breakers)
    for _ in range(2):
        breakers.started(1.0, "e1")
        breakers.succeeded(1.1, "e1")
    breakers.started(1.2, "e1")
    assert breakers.is_permitted(1.2, "e1")


def test_answers_while_a_breaker_is_open_do_not_close_it():
    breakers = _breakers()
    _opened(breakers)
    breakers.succeeded(0.1, "e1")
    breakers.succeeded(0.1, "e1")
    assert not breakers.is_permitted(0.1, "e1")


def test_open_periods_double_up_to_the_cap_and_are_jittered():
    breakers = _breakers(open_cap_s=4.0)
    now = 0.0
    _opened(breakers)
    for bound_s in (1.0, 2.0, 4.0, 4.0):
        period = breakers.retry_after(now, "e1")
        assert bound_s / 2 <= period <= bound_s
        now += period
        breakers.started(now, "e1")
        assert breakers.failed(now, "e1")


def _probe_spread(cls):
    """Returns the spread in seconds of the first probes of 40 nodes."""
    nodes = [_breakers(seed, cls) for seed in range(40)]
    for breakers in nodes:
        _opened(breakers)
    times = [b.retry_after(0.0, "e1") for b in nodes]
    return max(times) - min(times)


def test_nodes_probe_at_different_times():
    assert _probe_spread(breaker.Breakers) > 0.4


class _WithoutJitter(breaker.Breakers):
    """Deliberate fault: all nodes probe at the same time."""

    def __init__(self, rng, settings):
        super().__init__(rng, settings)
        self._rng.uniform = lambda low, high: high


def test_the_spread_check_catches_a_breaker_without_jitter():
    with pytest.raises(AssertionError):
        assert _probe_spread(_WithoutJitter) > 0.4
