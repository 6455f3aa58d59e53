"""Tests of the planner and its executor with fake engines."""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from azureline.fleet import demand_estimate
from azureline.fleet import draft
from azureline.fleet import engine_memory
from azureline.fleet import move_executor
from azureline.fleet import placement
from azureline.fleet import plan_types
from tests import builders_fleet as build

PARAMS = plan_types.Params()
READY = plan_types.State.READY


def _planned_moves(
    models, engines, work=None, pending=(), last_changes=None, **weights
):
    fleet = draft.PlanInput(
        tuple(models), tuple(engines), tuple(pending), last_changes or {}
    )
    params = PARAMS._replace(**weights)
    return placement.plan(fleet, work or {}, params, now=1000.0)


def _summary(planned):
    return [(m.kind.value, m.target, m.engine, m.cause.value) for m in planned]


def test_an_unavailable_model_is_loaded_first():
    engines = [build.engine("e1", 10, ["a"]), build.engine("e2", 10, [], "d2")]
    models = [build.model("a", 4), build.model("b", 4)]
    planned = _planned_moves(models, engines)
    assert _summary(planned)[0] == ("load", "b", "e2", "repair")
    busy = _planned_moves(models, engines, {"a": 0.5, "b": 0.1})
    assert _summary(busy)[0] == ("load", "b", "e2", "repair")


def test_each_model_gets_a_second_domain_where_memory_is_free():
    engines = [build.engine("e1", 10, ["a"]), build.engine("e2", 10, [], "d2")]
    planned = _planned_moves([build.model("a", 4)], engines)
    assert _summary(planned) == [("load", "a", "e2", "spread")]


def test_a_last_replica_is_loaded_elsewhere_before_its_unload():
    leaving = build.engine("e1", 10, ["a"])._replace(draining=True)
    engines = [leaving, build.engine("e2", 10, [])]
    models = [build.model("a", 4)]
    planned = _planned_moves(models, engines)
    assert _summary(planned) == [("load", "a", "e2", "drain")]
    engines[1] = build.engine("e2", 10, ["a"])
    planned = _planned_moves(models, engines)
    assert _summary(planned) == [("unload", "a", "e1", "drain")]


def test_a_role_changes_once_the_engine_is_empty():
    engine_changing_role = build.engine("e1", 10, [])._replace(
        target_role="ledger"
    )
    engines = [engine_changing_role, build.engine("e2", 10, ["a"])]
    planned = _planned_moves([build.model("a", 4)], engines)
    assert _summary(planned) == [("set_role", "ledger", "e1", "role")]


def test_a_new_version_is_loaded_before_the_old_one_is_unloaded():
    models = [build.model("a", 4, version="2")]
    engines = [build.engine("e1", 10, ["a"])]
    planned = _planned_moves(models, engines)
    assert _summary(planned) == [("load", "a", "e1", "version")]
    engine_with_both = build.engine("e1", 10, ["a"])
    newer = plan_types.Replica("a", "2", 4, READY)
    engine_with_both = engine_with_both._replace(
        replicas=(*engine_with_both.replicas, newer), free=2
    )
    planned = _planned_moves(models, [engine_with_both])
    assert [(m.kind.value, m.version) for m in planned] == [("unload", "1")]


def test_relocation_frees_memory_on_full_engines():
    engines = [build.engine("e1", 10, ["a"]), build.engine("e2", 10, ["b"])]
    sizes = {"a": 5, "b": 5, "c": 8}
    engines = [e._replace(free=5) for e in engines]
    planned = _planned_moves(
        [build.model(n, s) for n, s in sizes.items()], engines
    )
    kinds = [(m.kind.value, m.target) for m in planned]
    assert kinds[-1] == ("load", "c")
    assert kinds[0][0] == "load"
    assert kinds[1] == ("unload", kinds[0][1])


def _plan_under_demand(work, **weights):
    engines = [
        build.engine("e1", 10, ["a", "b"]),
        build.engine("e2", 10, ["b"], "d2"),
    ]
    models = [build.model("a", 4), build.model("b", 4)]
    engines[1] = engines[1]._replace(free=3)
    models[0] = models[0]._replace(bytes=6)
    return _planned_moves(models, engines, work, **weights)


def test_demand_evicts_a_replica_only_if_the_gain_exceeds_the_cost():
    assert _summary(_plan_under_demand({"a": 1.5, "b": 0.1})) == [
        ("unload", "b", "e2", "room"),
        ("load", "a", "e2", "demand"),
    ]
    assert _plan_under_demand({"a": 0.6, "b": 0.0}, move_weight=0.9) == []


def test_slow_plans_are_computed_less_often():
    assert placement.pause_after(0.01, interval_s=5.0) == 5.0
    assert placement.pause_after(0.16, interval_s=5.0) == pytest.approx(20.0)


def test_a_recent_load_is_not_undone_to_follow_demand():
    engines = [
        build.engine("e1", 10, ["a", "b"]),
        build.engine("e2", 4, ["b"], "d2"),
    ]
    models = [build.model("a", 4), build.model("b", 4)]
    recent = {("e2", "b"): plan_types.LastChange(loaded=700.0)}
    assert (
        _planned_moves(models, engines, {"a": 2.0}, last_changes=recent) == []
    )
    old = {("e2", "b"): plan_types.LastChange(loaded=300.0)}
    assert _planned_moves(models, engines, {"a": 2.0}, last_changes=old)


def test_demand_jumps_on_a_rise_and_falls_slowly():
    estimator = demand_estimate.DemandEstimator()
    for at in range(10):
        estimator.observe(10.0 * at, {"a": 1.0})
    for at in range(10, 14):
        estimator.observe(10.0 * at, {"a": 10.0})
    assert estimator.rates["a"] > 7.0
    estimator.observe(140.0, {})
    assert estimator.rates["a"] > 6.0


def test_noise_does_not_raise_the_sum_of_estimates():
    noise = random.Random(1)
    estimator = demand_estimate.DemandEstimator()
    sums = []
    for at in range(400):
        rates = {str(m): float(noise.randrange(4)) for m in range(20)}
        estimator.observe(10.0 * at, rates)
        sums.append(sum(estimator.rates.values()))
    assert sum(sums[50:]) / 350 < 1.1 * 20 * 1.5


class FleetMachine(stateful.RuleBasedStateMachine):
    """A planner moves models on fake engines that may fail at any point.

    The memory accounting of each engine is the real one.
    """

    names = ("a", "b", "c")
    sizes = {"a": 3, "b": 4, "c": 4}
    executor_class = move_executor.MoveExecutor

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.order_count = 0
        self.versions = dict.fromkeys(self.names, 1)
        self.work = dict.fromkeys(self.names, 0.2)
        self.engines = {}
        self.memories = {}
        self.domains = {}
        self.draining = set()
        self.late_orders = []
        self.executor = self.executor_class(PARAMS)
        for at in range(3):
            self._add_engine(f"e{at}", f"d{at}")
        self._run_rounds(40)
        assert self._unreachable() == set()

    def _add_engine(self, name, domain):
        self.engines[name] = build.VersionedEngine()
        self.memories[name] = engine_memory.EngineMemory(10, 1)
        self.domains[name] = domain
        self._poll(name)

    def _poll(self, name):
        report = self.engines[name].snapshot()
        self.memories[name].reported(self.now, report, self.now)

    def _layout(self):
        return [
            build.engine_of(
                name,
                self.domains[name],
                self.memories[name],
                self.now,
                name in self.draining,
            )
            for name in sorted(self.engines)
        ]

    def _models(self):
        return [
            build.model(n, self.sizes[n], version=str(self.versions[n]))
            for n in self.names
        ]

    def _ready_replicas(self, name):
        return {
            (e, version)
            for e, engine in self.engines.items()
            for model, version in engine.ready
            if model == name
        }

    def _unreachable(self):
        return {n for n in self.names if not self._ready_replicas(n)}

    def _plan_and_order(self, lost=False, late=False):
        for name in self.engines:
            self._poll(name)
        fleet = draft.PlanInput(
            tuple(self._models()),
            tuple(self._layout()),
            self.executor.pending,
            self.executor.last_changes,
        )
        planned = placement.plan(fleet, self.work, PARAMS, self.now)
        self.executor.add_planned(self.now, planned)
        steps = self.executor.next_moves(
            self.now, self._models(), self._layout(), permits=2
        )
        for move in steps:
            self._order(move, lost, late)

    def _order(self, move, lost, late):
        if move.kind is plan_types.MoveKind.SET_ROLE:
            return
        self.order_count += 1
        order = build.order_of(str(self.order_count), move)
        sent = self.memories[move.engine].reserve(self.now, order)
        if not sent:
            return
        if move.kind is plan_types.MoveKind.UNLOAD:
            unloaded_replica = (move.engine, move.version)
            others = self._ready_replicas(move.target) - {unloaded_replica}
            assert others, f"{move} unloads the last replica"
        if late:
            self.late_orders.append((move, build.Sent(order, self.now)))
        elif not lost:
            self.engines[move.engine].receive(
                build.Sent(order, self.now), self.now
            )

    def _run_rounds(self, rounds):
        for _ in range(rounds):
            self._plan_and_order()
            self.now += 5.0
            for engine in self.engines.values():
                engine.finish_all()

    @stateful.rule(fate=st.sampled_from(["arrives", "lost", "late"]))
    def step(self, fate):
        self._plan_and_order(lost=fate == "lost", late=fate == "late")

    @stateful.precondition(lambda self: self.late_orders)
    @stateful.rule(at=st.integers(0, 5))
    def late_order(self, at):
        """An order that arrives late must not unload the last replica."""
        move, sent = self.late_orders[at % len(self.late_orders)]
        if move.engine not in self.engines:
            return
        before = self._unreachable()
        self.engines[move.engine].receive(sent, self.now)
        self.engines[move.engine].finish_all()
        assert self._unreachable() <= before

    @stateful.rule(seconds=st.sampled_from([1.0, 6.0, 20.0]))
    def wait(self, seconds):
        self.now += seconds

    @stateful.rule(name=st.sampled_from(["e0", "e1", "e2"]))
    def finish(self, name):
        self.engines[name].finish_all()

    @stateful.rule(name=st.sampled_from(["e0", "e1", "e2"]))
    def crash(self, name):
        """Replaces the engine by an empty one on a new VM.

        Orders in flight are lost.
        """
        self.late_orders.clear()
        self.draining.discard(name)
        self._add_engine(name, self.domains[name])

    @stateful.rule(name=st.sampled_from(["e0", "e1", "e2"]))
    def drain(self, name):
        self.draining = set() if self.draining else {name}

    @stateful.rule(name=st.sampled_from(names))
    def change_version(self, name):
        self.versions[name] += 1

    @stateful.rule(
        name=st.sampled_from(names), work=st.sampled_from([0.0, 0.5, 2.0])
    )
    def shift_demand(self, name, work):
        self.work[name] = work

    @stateful.invariant()
    def memory_stays_in_bounds(self):
        assert all(e.used <= 9 for e in self.engines.values())

    def teardown(self):
        """Checks that the fleet recovers by itself once the failures end."""
        self.draining.clear()
        self._run_rounds(100)
        assert self._unreachable() == set()
        configured = {(n, str(v)) for n, v in self.versions.items()}
        for engine in self.engines.values():
            assert engine.ready <= configured


def _run_machine(machine, examples, phases=tuple(hypothesis.Phase)):
    stateful.run_state_machine_as_test(
        machine,
        settings=hypothesis.settings(
            max_examples=examples, stateful_step_count=20, phases=phases
        ),
    )


def test_every_step_keeps_models_reachable_and_memory_in_bounds():
    _run_machine(FleetMachine, 120, (hypothesis.Phase.generate,))


class _UncheckedTally(move_executor._Tally):
    """Allows an unload although no other replica is ready."""

    def try_unload(self, move):
        return True


def _relocation_steps():
    engines = [build.engine("e1", 10, ["a"]), build.engine("e2", 10, ["b"])]
    engines = [engine._replace(free=5) for engine in engines]
    models = [build.model(n, s) for n, s in (("a", 5), ("b", 5), ("c", 8))]
    executor = move_executor.MoveExecutor(PARAMS)
    executor.add_planned(0.0, _planned_moves(models, engines))
    return executor.next_moves(0.0, models, engines, permits=3)


def test_only_the_executor_check_keeps_the_last_replica(monkeypatch):
    kinds = [move.kind for move in _relocation_steps()]
    assert kinds == [plan_types.MoveKind.LOAD]
    monkeypatch.setattr(move_executor, "_Tally", _UncheckedTally)
    kinds = [move.kind for move in _relocation_steps()]
    assert plan_types.MoveKind.UNLOAD in kinds


def test_loads_wait_for_permits_and_lost_orders_are_repeated():
    engines = [build.engine("e1", 20, [])]
    models = [build.model(n, 4) for n in "abc"]
    executor = move_executor.MoveExecutor(PARAMS)
    executor.add_planned(0.0, _planned_moves(models, engines))
    assert len(executor.next_moves(0.0, models, engines, permits=2)) == 2
    assert len(executor.next_moves(1.0, models, engines, permits=2)) == 1
    assert executor.next_moves(2.0, models, engines, permits=2) == []
    repeated = executor.next_moves(
        move_executor.RETRY_S, models, engines, permits=9
    )
    assert len(repeated) == 2
    assert (
        executor.next_moves(move_executor.GIVE_UP_S, models, engines, 9) == []
    )
    assert executor.pending == ()
