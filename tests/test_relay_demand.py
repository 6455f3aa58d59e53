"""Tests of what a node tells the planner of its callers."""

from azureline.relay import capacity
from azureline.relay import demand
from tests import builders_serving

_AIMS = capacity.Aims(0.25, 0.15, 2.0)


def _teller():
    clock, told = builders_serving.Clock(), []
    teller = demand.DemandTeller(clock, lambda service, m: told.append(m))
    return clock, told, teller


def test_work_and_aims_of_what_arrived_are_told_once():
    _, told, teller = _teller()
    teller.arrived("llm", "a", 1, capacity.Work(0.02, 1.8, 0.0), _AIMS)
    slow = capacity.Aims(1.2, 0.0, 4.8)
    teller.arrived("llm", "a", 2, capacity.Work(0.03, 2.0, 2.0), slow)
    teller.flush()
    (row,) = told[0].rows
    assert (row.arrived, row.rank) == (2, 1)
    assert (row.reading_ms, row.running_ms, row.adapted_ms) == (50, 3800, 2000)
    assert (row.target_ms, row.gap_ms, row.patience_ms) == (250, 150, 2000)
    teller.flush()
    assert len(told) == 1


def test_requests_that_wait_are_told_until_they_cease():
    clock, told, teller = _teller()
    teller.waiting("llm", "a", 1, 1)
    clock.advance(0.05)
    assert told[-1].rows[0].waiting == 1
    teller.flush()
    assert told[-1].rows[0].waiting == 1 and told[-1].rows[0].arrived == 0
    teller.waiting("llm", "a", 1, -1)
    teller.flush()
    assert told[-1].rows[0].waiting == 0
    count = len(told)
    teller.flush()
    assert len(told) == count
