"""Tests of all routing decisions at a load of three times the capacity."""

from tools import overload_bench

_SEED = 1


def _check(at_capacity, overloaded):
    assert overloaded.attainment[0] >= 0.95
    assert overloaded.useful_tokens_s >= 0.9 * at_capacity.useful_tokens_s
    assert overloaded.resent < 1.2


def _check_fails(bench):
    at_capacity = overload_bench.Bench(1.0, _SEED).run()
    try:
        _check(at_capacity, bench(3.0, _SEED).run())
    except AssertionError:
        return True
    return False


def test_urgent_calls_and_useful_work_hold_at_three_times_capacity():
    assert not _check_fails(overload_bench.Bench)


def test_the_check_catches_first_come_first_served_order():
    assert _check_fails(overload_bench.FcfsBench)


def test_urgent_calls_meet_deadlines_at_capacity():
    figures = overload_bench.Bench(1.0, _SEED).run()
    assert figures.attainment[0] >= 0.95
