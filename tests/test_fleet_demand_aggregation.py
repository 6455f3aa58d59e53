"""Tests of the aggregation of demand."""

import collections

import pytest

from azureline.core import wire
from azureline.fleet import demand_aggregation

_CODEC = wire.Codec(demand_aggregation.MESSAGES)
PERIOD_S = demand_aggregation.PERIOD_S


def _fleet(count, domains=7):
    return [
        demand_aggregation.ReportingNode(f"n{i:03}", f"d{i % domains}")
        for i in range(count)
    ]


def _report_all(aggregators, nodes, planner, now):
    """Makes every node report once; returns the received bytes by node."""
    received = collections.Counter()
    for node in nodes:
        report = aggregators[node.name].report(now)
        target = demand_aggregation.report_target(node.name, nodes, planner)
        if node.name != planner:
            received[target] += len(_CODEC.pack(report))
            aggregators[target].add_report(now, report)
    return received


def _aggregators(nodes):
    aggregators = {
        n.name: demand_aggregation.DemandAggregator(n.name) for n in nodes
    }
    for aggregator in aggregators.values():
        aggregator.configure(0.0, 1)
    return aggregators


@pytest.mark.parametrize("count", [1, 8, 32, 33, 64, 360])
def test_the_planner_has_the_total_demand_within_three_periods(count):
    nodes = _fleet(count)
    aggregators = _aggregators(nodes)
    now = 0.0
    for _ in range(3):
        for node in nodes:
            for model in range(3):
                aggregators[node.name].add_demand(model, 600)
        now += PERIOD_S
        _report_all(aggregators, nodes, "n000", now)
    rates = aggregators["n000"].rates(now)
    expected = count * 600 / PERIOD_S
    assert rates == pytest.approx(dict.fromkeys(range(3), expected), rel=0.04)


def test_each_node_receives_under_2000_bytes_per_s_at_360_nodes():
    nodes = _fleet(360)
    aggregators = _aggregators(nodes)
    for period in (1, 2, 3):
        for node in nodes:
            for model in range(210):
                aggregators[node.name].add_demand(model, 4000)
        received = _report_all(aggregators, nodes, "n000", period * PERIOD_S)
    assert max(received.values()) / PERIOD_S < 2000


def test_a_node_that_stops_reporting_is_dropped_after_a_few_periods():
    nodes = _fleet(2)
    aggregators = _aggregators(nodes)
    aggregators["n001"].add_demand(0, 30)
    _report_all(aggregators, nodes, "n000", PERIOD_S)
    assert aggregators["n000"].rates(PERIOD_S)[0] == pytest.approx(
        2.0, rel=0.04
    )
    assert aggregators["n000"].rates(4 * PERIOD_S) == {}


def test_encoded_rates_are_within_the_error_bound():
    for exponent in range(60):
        rate = 0.6 * 1.3**exponent
        code = demand_aggregation.encode(rate)
        assert demand_aggregation.decode(code) == pytest.approx(rate, rel=0.035)
    assert demand_aggregation.decode(demand_aggregation.encode(0.1)) == 0.0


def test_a_report_about_another_configuration_is_dropped():
    aggregator = demand_aggregation.DemandAggregator("n0")
    aggregator.configure(0.0, 2)
    stale = demand_aggregation.DemandReport("n1", 1, 1, b"\x64")
    assert not aggregator.add_report(1.0, stale)
    assert aggregator.rates(1.0) == {}


def test_aggregators_stay_within_their_fan_in_and_domain():
    nodes = _fleet(360)
    domains = {n.name: n.domain for n in nodes}
    children = collections.defaultdict(list)
    for node in nodes:
        target = demand_aggregation.report_target(node.name, nodes, "n000")
        children[target].append(node.name)
    for target, names in children.items():
        if target != "n000":
            assert len(names) <= demand_aggregation.FAN_IN
            assert {domains[n] for n in names} == {domains[target]}
