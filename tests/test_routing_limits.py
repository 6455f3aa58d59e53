"""Tests of the local limits."""

import pytest

from azureline.routing import limits
from azureline.routing import outcome
from tools import limits_bench

_WITHIN_BOUNDS = outcome.Sample(outcome.Outcome.WHOLE, 2.0, 0.2, 0.04, 50)
_SLOW_TOKENS = _WITHIN_BOUNDS._replace(token_gap_s=0.085)
_LATE_FIRST_TOKEN = _WITHIN_BOUNDS._replace(first_token_s=1.2)


def _limits(**settings):
    return limits.Limits(limits.Settings(**settings))


def _run_rounds(local, sample, count, now=0.0):
    """Fills the limit and ends all its calls with a sample, `count` times."""
    for _ in range(count):
        sent = 0
        while local.has_capacity(now, "e1") and sent < 300:
            local.started(now, "e1")
            sent += 1
        now += 2.0
        for _ in range(sent):
            local.finished(now, "e1", sample)
    return now


def test_the_limit_grows_by_one_per_round_while_in_use():
    local = _limits()
    _run_rounds(local, _WITHIN_BOUNDS, 10)
    assert 13.0 <= local.limit("e1") <= 15.0


def test_an_idle_limit_does_not_grow():
    local = _limits()
    for _ in range(100):
        local.started(0.0, "e1")
        local.finished(0.0, "e1", _WITHIN_BOUNDS)
    assert local.limit("e1") == 4.0


@pytest.mark.parametrize("sample", [_SLOW_TOKENS, _LATE_FIRST_TOKEN])
def test_answers_over_a_bound_cut_the_limit_once_per_round(sample):
    local = _limits(initial=20.0)
    _run_rounds(local, sample, 1)
    assert local.limit("e1") == pytest.approx(18.0)


def test_calls_sent_before_a_cut_do_not_cut_again():
    local = _limits(initial=20.0)
    for _ in range(20):
        local.started(0.0, "e1")
    for i in range(6):
        local.observed(float(i), "e1", token_gap_s=0.085)
    assert local.limit("e1") == pytest.approx(18.0)


def test_busy_cuts_the_limit_and_a_failure_or_cancellation_does_not():
    local = _limits()
    for result in (outcome.Outcome.FAILED, outcome.Outcome.CANCELLED):
        local.started(0.0, "e1")
        local.finished(0.0, "e1", outcome.Sample(result, 1.0))
    assert local.limit("e1") == 4.0
    local.started(0.0, "e1")
    local.finished(0.0, "e1", outcome.Sample(outcome.Outcome.BUSY, 0.01))
    assert local.limit("e1") == pytest.approx(3.6)


def test_below_one_the_node_pauses_in_proportion():
    local = _limits(initial=0.25)
    local.started(0.0, "e1")
    assert not local.has_capacity(0.0, "e1")
    local.finished(2.0, "e1", _LATE_FIRST_TOKEN)
    assert local.limit("e1") == pytest.approx(0.225)
    pause_s = 2.0 * (1.0 / 0.225 - 1.0)
    assert not local.has_capacity(2.0 + pause_s - 0.01, "e1")
    assert local.has_capacity(2.0 + pause_s + 0.01, "e1")


def test_forgetting_an_engine_keeps_its_outstanding_calls():
    local = _limits(initial=2.0)
    local.started(0.0, "e1")
    local.started(0.0, "e1")
    local.reset("e1")
    assert not local.has_capacity(0.0, "e1")
    local.finished(0.0, "e1", _WITHIN_BOUNDS)
    assert local.has_capacity(0.0, "e1")


def _shares(cls, nodes=8, capacity=49):
    """Returns the limits of nodes that share an engine of fixed capacity."""
    shared = [cls(limits.Settings()) for _ in range(nodes)]
    shared[0] = cls(limits.Settings(initial=40.0))
    now = 0.0
    for _ in range(200):
        counts = []
        for local in shared:
            count = 0
            while local.has_capacity(now, "e1") and count < 300:
                local.started(now, "e1")
                count += 1
            counts.append(count)
        sample = _SLOW_TOKENS if sum(counts) > capacity else _WITHIN_BOUNDS
        now += 2.0
        for local, count in zip(shared, counts, strict=True):
            for _ in range(count):
                local.finished(now, "e1", sample)
    return [local.limit("e1") for local in shared]


def test_nodes_that_share_an_engine_end_with_equal_limits():
    limits_seen = _shares(limits.Limits)
    assert max(limits_seen) / min(limits_seen) < 1.3
    assert 0.7 * 49 <= sum(limits_seen) <= 1.2 * 49


class _GrowsProportionally(limits.Limits):
    """Deliberate fault: proportional growth, which preserves differences."""

    def _grow(self, state):
        state.limit *= 1.01


def test_the_share_check_catches_proportional_growth():
    limits_seen = _shares(_GrowsProportionally)
    assert max(limits_seen) / min(limits_seen) > 1.3


@pytest.mark.parametrize("nodes", [8, 45])
def test_nodes_without_shared_state_fill_an_engine_to_its_bound(nodes):
    figures = limits_bench.Bench(nodes, 1).run(100.0)
    assert figures.in_bound >= 0.95
    assert figures.tokens_s >= 0.9 * 620


def test_the_bound_check_catches_limits_without_pauses(monkeypatch):
    monkeypatch.setattr(
        limits,
        "settings_for_fleet",
        lambda _, nodes: limits.Settings(minimum=1.0),
    )
    assert limits_bench.Bench(100, 1).run(50.0).in_bound < 0.95
