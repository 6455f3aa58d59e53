"""Tests of the circuit breakers."""

import random

import pytest

from azureline.routing import breaker


def _breakers(seed=1, cls=breaker.Breakers, **settings):
    return cls(random.Random(seed), breaker.Settings(**settings))


def _opened(breakers, now=0.0, failures=5):
    return [breakers.failed(now, "e1") for _ in range(failures)]


def test_failures_in_a_row_open_and_a_success_in_between_does_not():
    breakers = _breakers()
    assert _opened(breakers, failures=4) == [False] * 4
    breakers.succeeded(0.0, "e1")
    assert _opened(breakers) == [False] * 4 + [True]
    assert not breakers.permits(0.0, "e1")
    assert breakers.permits(0.0, "e2")


def test_half_open_lets_one_probe_through_at_a_time():
    breakers = _breakers()
    _opened(breakers)
    assert breakers.permits(1.0, "e1")
    breakers.started(1.0, "e1")
    assert not breakers.permits(1.0, "e1")
    assert not breakers.permits(10.9, "e1")
    assert breakers.permits(11.0, "e1")  # The probe's answer was lost.


def test_two_probes_that_succeed_close_it():
    breakers = _breakers()
    _opened(breakers)
    for _ in range(2):
        breakers.started(1.0, "e1")
        breakers.succeeded(1.1, "e1")
    breakers.started(1.2, "e1")
    assert breakers.permits(1.2, "e1")


def test_a_late_answer_from_before_the_failure_closes_nothing():
    breakers = _breakers()
    _opened(breakers)
    breakers.succeeded(0.1, "e1")
    breakers.succeeded(0.1, "e1")
    assert not breakers.permits(0.1, "e1")


def test_open_periods_double_up_to_the_cap_and_are_jittered():
    breakers = _breakers(open_cap_s=4.0)
    now = 0.0
    _opened(breakers)
    for scale in (1.0, 2.0, 4.0, 4.0):
        period = breakers.retry_after(now, "e1")
        assert scale / 2 <= period <= scale
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


def test_nodes_do_not_probe_together():
    assert _probe_spread(breaker.Breakers) > 0.4


class _WithoutJitter(breaker.Breakers):
    """Deliberate fault: every node probes at the same time."""

    def __init__(self, rng, settings):
        super().__init__(rng, settings)
        self._rng.uniform = lambda low, high: high


def test_the_spread_check_catches_a_breaker_without_jitter():
    with pytest.raises(AssertionError):
        assert _probe_spread(_WithoutJitter) > 0.4
