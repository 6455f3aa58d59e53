"""Tests of the planner: which models are loaded, where, and at what cost."""

import pytest

from azureline.relay import demand_history
from azureline.relay import load_rate_limit
from azureline.relay import planner as planners
from tests import builders_relay as builders

MODELS = tuple("abcdefghij")


def _planner(now=0.0, **fields):
    kind = builders.kind(*MODELS, **fields)
    return planners.Planner(
        kind, load_rate_limit.LoadWindowLimit(5.0, 1.1), now
    )


def _report_rate(planner, name, rate, now, waiting=0, seconds=3.0):
    """Reports a steady request rate of the last `seconds` to the planner."""
    steps = int(seconds / 0.5)
    for step in range(steps + 1):
        at = now - seconds + 0.5 * step
        row = builders.demand(
            name, round(rate * 0.5), waiting=waiting if step == steps else 0
        )
        planner.demand.record("n1", row, at)


@pytest.mark.parametrize(("free_mb", "victims"), [(1000.0, ()), (0.0, ("b",))])
def test_free_memory_is_kept_for_a_full_set_of_adapters(free_mb, victims):
    planner = _planner(memory_mb=builders.MODEL_MB * 3 + free_mb)
    _report_rate(planner, "a", 2.0, 10.0)
    _report_rate(planner, "d", 0.0, 10.0, waiting=1)
    (move,) = planner.plan([builders.engine_view("e1", "a", "b")], 10.0)
    assert move.load == "d" and move.victims == victims


def test_an_absent_model_is_loaded_where_a_copy_is_cached():
    planner = _planner()
    _report_rate(planner, "d", 0.0, 10.0, waiting=1)
    engines = [
        builders.engine_view("e1", "a", "b", "c"),
        builders.engine_view("e2", "a", "b", "c", on_disk=("d",)),
    ]
    (move,) = planner.plan(engines, 10.0)
    assert (move.server_id, move.load, move.load_s) == ("e2", "d", 0.8)
    assert move.models[0] == "d" and len(move.models) == 3


@pytest.mark.parametrize(("limit_per_s", "loads"), [(1.0, 1), (6.0, 0)])
def test_a_model_is_loaded_elsewhere_if_its_engine_names_a_lower_limit(
    limit_per_s, loads
):
    planner = _planner()
    _report_rate(planner, "a", 4.0, 10.0)
    engines = [
        builders.engine_view("e1", "a", limit_per_s=limit_per_s),
        builders.engine_view("e4", "a", limit_per_s=limit_per_s),
        builders.engine_view("e2", "b"),
        builders.engine_view("e3", "c", limit_per_s=0.0),
    ]
    moves = planner.plan(engines, 10.0)
    assert [(m.server_id, m.load) for m in moves] == [("e2", "a")] * loads


def test_a_rare_model_does_not_evict_a_model_in_demand():
    planner = _planner()
    _report_rate(planner, "a", 8.0, 10.0)
    _report_rate(planner, "b", 8.0, 10.0)
    _report_rate(planner, "d", 0.0, 10.0, waiting=1)
    views = [builders.engine_view("e1", "a", "b", "c")]
    (move,) = planner.plan(views, 10.0)
    assert move.victims == ("c",)


def test_an_overloaded_model_is_loaded_before_a_rare_one():
    planner = _planner()
    _report_rate(planner, "a", 16.0, 10.0)
    _report_rate(planner, "d", 0.0, 10.0, waiting=1)
    views = [
        builders.engine_view("e1", "a", "b", "c"),
        builders.engine_view("e2", "e", "f", "g", on_disk=("a", "d")),
    ]
    assert planner.plan(views, 10.0)[0].load == "a"


def test_the_planner_waits_for_an_engine_that_is_free_soon():
    planner = _planner()
    _report_rate(planner, "d", 0.0, 10.0, waiting=1)
    views = [
        builders.engine_view("e1", "a", "b", "c"),
        builders.engine_view("e2", "a", "b", "c", on_disk=("d",), free_s=0.5),
    ]
    assert planner.plan(views, 10.0) == []


def test_loads_from_the_weight_store_keep_to_the_rate_limit():
    planner = _planner(loads_per_s=1.0)
    for name in MODELS[3:]:
        _report_rate(planner, name, 0.0, 0.0, waiting=3)
    views = [builders.engine_view(f"e{i}", "a", "b", "c") for i in range(30)]
    loads = 0
    for tick in range(50):
        for name in MODELS[3:]:
            row = builders.demand(name, waiting=3)
            planner.demand.record("n1", row, tick * 0.1)
        loads += len(planner.plan(views, tick * 0.1))
    # The platform allows 1.1 x 5 + 3 loads in any 5 s.
    assert 5 <= loads <= 8


def test_waiting_requests_are_counted_once_in_repeated_reports():
    book = demand_history.DemandHistory()
    for at in (0.0, 0.1, 0.2):
        book.record("n1", builders.demand("a", waiting=2), at)
    assert book.waiting("a", 0.2) == 2
    assert book.waiting("a", 2.0) == 0


def test_demand_decays():
    book = demand_history.DemandHistory()
    book.record("n1", builders.demand("a", 9), 0.0)
    assert book.rate("a", 0.0) == pytest.approx(3.0)
    assert book.rate("a", 30.0) < 0.01
    assert book.idle_s("a", 30.0) == 30.0


def test_no_move_is_planned_without_demand():
    views = [builders.engine_view("e1", "a", "b", "c")]
    assert _planner().plan(views, 1.0) == []


def test_a_model_just_loaded_is_not_evicted():
    planner = _planner()
    _report_rate(planner, "d", 0.0, 10.0, waiting=1)
    views = [builders.engine_view("e1", "a", "b", "c", on_disk=("d", "e"))]
    (move,) = planner.plan(views, 10.0)
    held = [builders.engine_view("e1", *move.models, on_disk=("d", "e"))]
    _report_rate(planner, "e", 0.0, 10.2, waiting=1)
    moves = planner.plan(held, 10.2)
    assert all("d" not in m.victims for m in moves)


def test_rare_models_do_not_delay_the_second_replica_of_a_busy_one():
    """Loads of four rare models would occupy all engines for seconds."""
    planner = _planner()
    _report_rate(planner, "a", 7.0, 10.0)
    for name in ("e", "f", "g", "h"):
        _report_rate(planner, name, 0.3, 10.0, waiting=2)
    views = [
        builders.engine_view("e1", "a", "b", "c"),
        builders.engine_view("e2", "b", "c", "d"),
        builders.engine_view("e3", "b", "c", "d"),
    ]
    loads = [move.load for move in planner.plan(views, 10.0)]
    assert "a" in loads


def test_no_window_has_more_loads_than_the_platform_allows():
    """The limit also holds after a pause that filled the allowance."""
    allowed = load_rate_limit.LoadRateLimit(
        1.4, load_rate_limit.LoadWindowLimit(5.0, 1.1), 0.0
    )
    load_times = [
        t * 0.1 for t in range(400, 1000) if allowed.try_acquire(t * 0.1)
    ]
    for first in load_times:
        within = [t for t in load_times if first <= t < first + 5.0]
        assert len(within) <= 1.4 * 5.0 * 1.1 + 3


def test_a_small_model_is_loaded_beside_large_ones():
    models = {
        n: builders.model(n, adapters=20, size_mb=s)
        for n, s in (("a", 70000.0), ("b", 70000.0), ("s", 34000.0))
    }
    planner = _planner(memory_mb=180000.0, models=models)
    _report_rate(planner, "a", 4.0, 10.0)
    _report_rate(planner, "b", 4.0, 10.0)
    _report_rate(planner, "s", 0.5, 10.0, waiting=1)
    (move,) = planner.plan([builders.engine_view("e1", "a", "b")], 10.0)
    assert move.load == "s" and not move.victims
    assert set(move.models) == {"a", "b", "s"}


def test_two_small_models_are_evicted_for_a_large_one():
    sizes = {"s": 34000.0, "t": 34000.0, "u": 34000.0, "a": 70000.0}
    models = {n: builders.model(n, size_mb=s) for n, s in sizes.items()}
    planner = _planner(memory_mb=105000.0, models=models)
    _report_rate(planner, "a", 2.0, 10.0, waiting=2)
    _report_rate(planner, "u", 2.0, 10.0)
    (move,) = planner.plan([builders.engine_view("e1", "s", "t", "u")], 10.0)
    assert move.load == "a" and set(move.victims) == {"s", "t"}
    assert set(move.models) == {"a", "u"}


def _report_rare_model(planner, name, now, waiting=0):
    """Reports a rare model whose callers can wait for a load from disk."""
    aims = {"target_ms": 1200, "gap_ms": 120, "wait_limit_ms": 4800}
    for step in range(7):
        last = step == 6
        row = builders.demand(
            name,
            int(step % 3 == 0),
            reading_ms=21 * int(step % 3 == 0),
            running_ms=1700 * int(step % 3 == 0),
            adapted_ms=0,
            waiting=waiting if last else 0,
            **aims,
        )
        planner.demand.record("n1", row, now - 3.0 + 0.5 * step)


def test_models_whose_callers_can_wait_take_turns_in_memory():
    """A model with waiting requests evicts one that has none."""
    planner = _planner(
        places=1, models={n: builders.model(n, disk_s=0.5) for n in "ab"}
    )
    _report_rare_model(planner, "a", 10.0)
    _report_rare_model(planner, "b", 10.0, waiting=2)
    views = [builders.engine_view("e1", "a", on_disk=("a", "b"))]
    (move,) = planner.plan(views, 10.0)
    assert move.load == "b" and move.victims == ("a",)


def test_a_model_whose_callers_leave_soon_is_not_evicted():
    planner = _planner(
        places=1, models={n: builders.model(n, disk_s=2.5) for n in "ab"}
    )
    # Callers of "a" leave before it could be loaded again.
    _report_rate(planner, "a", 6.0, 10.0)
    for step in range(7):
        row = builders.demand("a", 3, target_ms=250, wait_limit_ms=2000)
        planner.demand.record("n2", row, 7.0 + 0.5 * step)
    _report_rare_model(planner, "b", 10.0, waiting=2)
    views = [builders.engine_view("e1", "a", on_disk=("a", "b"))]
    assert planner.plan(views, 10.0) == []


def test_the_engine_whose_victim_has_no_requests_is_chosen():
    """An unload occupies its engine until the model's requests have ended."""
    planner = _planner(places=2)
    _report_rate(planner, "a", 6.0, 10.0)
    _report_rate(planner, "d", 2.0, 10.0, waiting=4)
    views = [
        builders.engine_view("e1", "a", "b", on_disk=("d",)),
        builders.engine_view("e2", "a", "c", on_disk=("d",)),
    ]
    for name, in_flight in (("b", 6), ("c", 0)):
        row = builders.demand(name, 1, in_flight=in_flight)
        planner.demand.record("n1", row, 10.0)
    (move,) = [m for m in planner.plan(views, 10.0) if m.load == "d"]
    assert (move.server_id, move.victims) == ("e2", ("c",))


def test_a_model_removed_from_the_configuration_is_evicted():
    planner = _planner()
    _report_rate(planner, "a", 2.0, 10.0)
    _report_rate(planner, "d", 0.5, 10.0, waiting=1)
    views = [builders.engine_view("e1", "a", "b", "dropped", on_disk=("d",))]
    _report_rate(planner, "b", 2.0, 10.0)
    (move,) = planner.plan(views, 10.0)
    assert move.load == "d" and move.victims == ("dropped",)


def test_one_load_is_ordered_for_all_waiting_requests():
    """Requests that wait for a load in progress need no second load."""
    planner = _planner()
    _report_rate(planner, "d", 0.6, 10.0, waiting=6)
    views = [
        builders.engine_view("e1", "a", "b", "c", on_disk=("d",)),
        builders.engine_view("e2", "a", "b", "c", on_disk=("d",)),
    ]
    (move,) = planner.plan(views, 10.0)
    for tick in range(1, 8):
        now = 10.0 + 0.2 * tick
        row = builders.demand("d", waiting=6)
        planner.demand.record("n1", row, now)
        busy = [
            v._replace(models=move.models, free_s=0.5)
            if v.server_id == move.server_id
            else v
            for v in views
        ]
        assert [m.load for m in planner.plan(busy, now)] == []


def test_a_model_that_nodes_cannot_reach_is_loaded_elsewhere():
    """Waiting requests show that a replica is gone.

    Its engine stays in the list of servers for seconds.
    """
    planner = _planner()
    _report_rate(planner, "d", 0.6, 10.0, waiting=3)
    views = [
        builders.engine_view("gone", "a", "b", "d"),
        builders.engine_view("e2", "a", "b", "c", on_disk=("d",)),
    ]
    (move,) = planner.plan(views, 10.0)
    assert (move.load, move.server_id) == ("d", "e2")


def test_an_engine_with_unexplained_requests_counts_as_no_replica():
    planner = _planner()
    _report_rate(planner, "a", 4.0, 10.0)
    views = [
        builders.engine_view("slow", "a", "b", "c", requests=40),
        builders.engine_view("e2", "b", "c", "d", on_disk=("a",)),
    ]
    (move,) = planner.plan(views, 10.0)
    assert (move.load, move.server_id) == ("a", "e2")


def test_latency_targets_are_the_mean_over_callers():
    book = demand_history.DemandHistory()
    book.record("n1", builders.demand("a", 10, target_ms=1000), 0.0)
    book.record("n2", builders.demand("a", 10, target_ms=200), 0.0)
    assert book.aims("a").target_s == pytest.approx(0.6)
    book.record("n1", builders.demand("a", 0, waiting=1, target_ms=0), 0.1)
    assert book.aims("a").target_s == pytest.approx(0.6)
    assert book.work_per_request("a").running == pytest.approx(0.9)


def test_the_first_of_two_needed_replicas_is_loaded():
    """One more replica alone would be as overloaded as the present one."""
    planner = _planner()
    _report_rate(planner, "a", 16.0, 10.0)
    views = [
        builders.engine_view("full", "a", "b", "c", requests=130),
        *(
            builders.engine_view(f"e{n}", "b", "c", "d", on_disk=("a",))
            for n in range(6)
        ),
    ]
    assert planner.plan(views, 10.0)[0].load == "a"
