"""Tests of the planner: who gets a place, and at what cost."""

import pytest

from azureline.relay import planner as planners
from tests import builders_relay as builders

MODELS = tuple("abcdefghij")


def _planner(now=0.0, **fields):
    kind = builders.kind(*MODELS, **fields)
    return planners.Planner(kind, planners.Ceiling(5.0, 1.1), now)


def _ask(planner, name, rate, now, waiting=0, seconds=3.0):
    """Tells the planner of a steady rate that has lasted for a while."""
    steps = int(seconds / 0.5)
    for step in range(steps + 1):
        at = now - seconds + 0.5 * step
        row = builders.demand(
            name, round(rate * 0.5), waiting=waiting if step == steps else 0
        )
        planner.demand.take("n1", row, at)


def test_places_leave_room_for_a_full_set_of_adapters():
    assert _planner().places == 3
    assert _planner(memory_mb=builders.MODEL_MB * 3).places == 2


def test_a_model_that_nobody_holds_is_loaded_where_a_copy_is_at_hand():
    planner = _planner()
    _ask(planner, "d", 0.0, 10.0, waiting=1)
    engines = [
        builders.engine_view("e1", "a", "b", "c"),
        builders.engine_view("e2", "a", "b", "c", on_disk=("d",)),
    ]
    (move,) = planner.plan(engines, 10.0)
    assert (move.server_id, move.load, move.load_s) == ("e2", "d", 0.8)
    assert move.models[0] == "d" and len(move.models) == 3


def test_a_model_in_demand_is_no_victim_for_a_rare_one():
    planner = _planner()
    _ask(planner, "a", 8.0, 10.0)
    _ask(planner, "b", 8.0, 10.0)
    _ask(planner, "d", 0.0, 10.0, waiting=1)
    views = [builders.engine_view("e1", "a", "b", "c")]
    (move,) = planner.plan(views, 10.0)
    assert move.victim == "c"


def test_a_crowded_model_goes_before_a_rare_one():
    planner = _planner()
    _ask(planner, "a", 16.0, 10.0)
    _ask(planner, "d", 0.0, 10.0, waiting=1)
    views = [
        builders.engine_view("e1", "a", "b", "c"),
        builders.engine_view("e2", "e", "f", "g", on_disk=("a", "d")),
    ]
    assert planner.plan(views, 10.0)[0].load == "a"


def test_an_engine_that_will_be_free_soon_is_waited_for():
    planner = _planner()
    _ask(planner, "d", 0.0, 10.0, waiting=1)
    views = [
        builders.engine_view("e1", "a", "b", "c"),
        builders.engine_view("e2", "a", "b", "c", on_disk=("d",), free_s=0.5),
    ]
    assert planner.plan(views, 10.0) == []


def test_loads_from_the_weight_store_keep_to_its_rate():
    planner = _planner(loads_per_s=1.0)
    for name in MODELS[3:]:
        _ask(planner, name, 0.0, 0.0, waiting=3)
    views = [builders.engine_view(f"e{i}", "a", "b", "c") for i in range(30)]
    begun = 0
    for tick in range(50):
        for name in MODELS[3:]:
            row = builders.demand(name, waiting=3)
            planner.demand.take("n1", row, tick * 0.1)
        begun += len(planner.plan(views, tick * 0.1))
    # The platform allows 1.1 x 5 + 3 in any 5 s.
    assert 5 <= begun <= 8


def test_waiting_requests_are_counted_once_however_often_told():
    book = planners.DemandBook()
    for at in (0.0, 0.1, 0.2):
        book.take("n1", builders.demand("a", waiting=2), at)
    assert book.waiting("a", 0.2) == 2
    assert book.waiting("a", 2.0) == 0


def test_demand_fades():
    book = planners.DemandBook()
    book.take("n1", builders.demand("a", 9), 0.0)
    assert book.rate("a", 0.0) == pytest.approx(3.0)
    assert book.rate("a", 30.0) < 0.01
    assert book.idle_s("a", 30.0) == 30.0


def test_nothing_is_moved_without_demand():
    views = [builders.engine_view("e1", "a", "b", "c")]
    assert _planner().plan(views, 1.0) == []


def test_a_model_just_placed_stays_for_a_while():
    planner = _planner()
    _ask(planner, "d", 0.0, 10.0, waiting=1)
    views = [builders.engine_view("e1", "a", "b", "c", on_disk=("d", "e"))]
    (move,) = planner.plan(views, 10.0)
    held = [builders.engine_view("e1", *move.models, on_disk=("d", "e"))]
    _ask(planner, "e", 0.0, 10.2, waiting=1)
    moves = planner.plan(held, 10.2)
    assert all(m.victim != "d" for m in moves)


def test_rare_models_do_not_keep_a_busy_one_from_its_second_replica():
    """A load takes an engine seconds; four rare ones would take them all."""
    planner = _planner()
    _ask(planner, "a", 7.0, 10.0)
    for name in ("e", "f", "g", "h"):
        _ask(planner, name, 0.3, 10.0, waiting=2)
    views = [
        builders.engine_view("e1", "a", "b", "c"),
        builders.engine_view("e2", "b", "c", "d"),
        builders.engine_view("e3", "b", "c", "d"),
    ]
    loads = [move.load for move in planner.plan(views, 10.0)]
    assert "a" in loads


def test_no_window_has_more_loads_than_the_platform_allows():
    """Also after a pause in which the allowance has grown to its most."""
    allowance = planners.LoadAllowance(1.4, planners.Ceiling(5.0, 1.1), 0.0)
    begun = [t * 0.1 for t in range(400, 1000) if allowance.spend(t * 0.1)]
    for first in begun:
        within = [t for t in begun if first <= t < first + 5.0]
        assert len(within) <= 1.4 * 5.0 * 1.1 + 3
