"""Tests of the demand reports that a node sends to the planner."""

from azureline.relay import capacity
from azureline.relay import demand_reports
from tests import builders_serving

_AIMS = capacity.LatencyTargets(0.25, 0.15, 2.0)


def _reporter():
    clock, reports = builders_serving.Clock(), []
    reporter = demand_reports.DemandReporter(
        clock, lambda service, m: reports.append(m)
    )
    return clock, reports, reporter


def test_work_and_targets_of_arrived_requests_are_reported_once():
    _, reports, reporter = _reporter()
    reporter.record_arrival(
        "llm", "a", 1, capacity.RequestLoad(0.02, 1.8, 0.0), _AIMS
    )
    slow = capacity.LatencyTargets(1.2, 0.0, 4.8)
    reporter.record_arrival(
        "llm", "a", 2, capacity.RequestLoad(0.03, 2.0, 2.0), slow
    )
    reporter.flush()
    (row,) = reports[0].rows
    assert (row.arrived, row.rank) == (2, 1)
    assert (row.reading_ms, row.running_ms, row.adapted_ms) == (50, 3800, 2000)
    assert (row.target_ms, row.gap_ms, row.wait_limit_ms) == (250, 150, 2000)
    reporter.flush()
    assert len(reports) == 1


def test_waiting_requests_are_reported_until_they_stop_waiting():
    clock, reports, reporter = _reporter()
    reporter.add_waiting("llm", "a", 1, 1)
    clock.advance(0.05)
    assert reports[-1].rows[0].waiting == 1
    reporter.flush()
    assert reports[-1].rows[0].waiting == 1 and reports[-1].rows[0].arrived == 0
    reporter.add_waiting("llm", "a", 1, -1)
    reporter.flush()
    assert reports[-1].rows[0].waiting == 0
    count = len(reports)
    reporter.flush()
    assert len(reports) == count
