"""Tests of the memory accounting with an engine that checks no memory."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from azureline.backends import interface
from azureline.fleet import engine_memory
from tests import builders_fleet as build

CAPACITY = 10
CACHE = 1
LEASE_S = 3.0
SIZES = {"x": 5, "y": 6}


class BookMachine(stateful.RuleBasedStateMachine):
    """Successive owners order an engine; messages are delayed or lost."""

    memory_class = engine_memory.EngineMemory

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.ids = 0
        self.copies = []
        self.snapshots = []
        self.answers = []
        self.owners = []
        self.takeovers = []

    @stateful.initialize(fences=st.booleans())
    def start(self, fences):
        self.engine = build.FakeEngine(fences)
        self.owners = [self._memory(0.0)]
        self.owners[0].reported(0.0, self.engine.snapshot(), 0.0)

    def _memory(self, unsettled_until):
        return self.memory_class(CAPACITY, CACHE, unsettled_until, SIZES)

    def _active(self, frozen):
        """Returns an owner that may still pass its own lease check."""
        if (
            frozen
            and self.takeovers
            and self.now < self.takeovers[-1] + LEASE_S
        ):
            return len(self.owners) - 2
        return len(self.owners) - 1

    @stateful.rule(
        frozen=st.booleans(), lag=st.integers(0, 2), late=st.booleans()
    )
    def poll(self, frozen=False, lag=0, late=False):
        """The engine answers a poll with one of its last reports."""
        self.snapshots.append((self.now, self.engine.snapshot()))
        taken, report = self.snapshots[-1 - min(lag, len(self.snapshots) - 1)]
        report = report._replace(age_s=self.now - taken)
        self.answers.append((self._active(frozen), self.now, report))
        if not late:
            self._deliver_report(-1)

    @stateful.precondition(lambda self: self.answers)
    @stateful.rule(at=st.integers(0, 5))
    def late_report(self, at):
        self._deliver_report(at % len(self.answers))

    def _deliver_report(self, at):
        owner, polled_at, report = self.answers.pop(at)
        self.owners[owner].reported(self.now, report, polled_at)

    @stateful.rule(
        frozen=st.booleans(),
        load=st.booleans(),
        name=st.sampled_from(sorted(SIZES)),
        late=st.booleans(),
        answer_arrives=st.booleans(),
    )
    def send(self, load, name, late=False, frozen=False, answer_arrives=True):
        owner = self._active(frozen)
        self.ids += 1
        kind = build.LOAD if load else build.UNLOAD
        order = build.order(str(self.ids), kind, name, SIZES[name], owner + 1)
        if self.owners[owner].reserve(self.now, order):
            self.copies.append((owner, build.Sent(order, self.now)))
            if not late:
                self._deliver_order(-1, answer_arrives)

    @stateful.precondition(lambda self: self.copies)
    @stateful.rule(at=st.integers(0, 5), answer_arrives=st.booleans())
    def second_copy(self, at, answer_arrives=True):
        self._deliver_order(at % len(self.copies), answer_arrives)

    def _deliver_order(self, at, answer_arrives):
        owner, sent = self.copies[at]
        result = self.engine.receive(sent, self.now)
        if answer_arrives:
            self.owners[owner].answered(self.now, sent.order.order_id, result)

    @stateful.precondition(lambda self: self.copies)
    @stateful.rule(at=st.integers(0, 5))
    def time_out_order(self, at):
        owner, sent = self.copies[at % len(self.copies)]
        self.owners[owner].answered(
            self.now, sent.order.order_id, interface.OrderResult.UNKNOWN
        )

    @stateful.rule(name=st.sampled_from(sorted(SIZES)))
    def finish(self, name):
        self.engine.finish(name)

    @stateful.rule()
    def restart(self):
        self.engine.restart()

    @stateful.rule()
    def take_over(self):
        self.takeovers.append(self.now)
        until = engine_memory.takeover_settles_at(self.now, LEASE_S)
        self.owners.append(self._memory(until))

    @stateful.rule(seconds=st.sampled_from([1.0, 4.0, 12.0]))
    def wait(self, seconds):
        self.now += seconds

    @stateful.invariant()
    def memory_holds(self):
        if self.owners:
            assert self.engine.used <= CAPACITY - CACHE


class SettlesByArrival(engine_memory.EngineMemory):
    """Treats a report as taken at the time of its arrival."""

    def _earliest_taken(self, now, report, polled_at):
        return now


class FreesOnUnload(engine_memory.EngineMemory):
    """Counts an item's memory as free as soon as its unload is sent."""

    def committed_bytes(self, now):
        gone = {
            engine_memory.item_of(entry.order): entry.order.bytes_needed
            for entry in self.open_orders
            if entry.order.kind is build.UNLOAD
        }
        freed = sum(size for item, size in gone.items() if self.holds(item))
        return super().committed_bytes(now) - freed


class ForgetsOnRestart(engine_memory.EngineMemory):
    """Assumes that no earlier order can reach a restarted engine."""

    def _accept(self, report, earliest_taken, latest_taken):
        if self._is_restart(report):
            self._open.clear()
        super()._accept(report, earliest_taken, latest_taken)


class TrustsTimeouts(engine_memory.EngineMemory):
    """Assumes that an order without an answer did not arrive."""

    def answered(self, now, order_id, result):
        if result is interface.OrderResult.UNKNOWN:
            self._open.pop(order_id, None)


class TrustsRefusals(engine_memory.EngineMemory):
    """Assumes that a refusal applies to every copy of the order."""

    def answered(self, now, order_id, result):
        if result is not interface.OrderResult.ACCEPTED:
            self._open.pop(order_id, None)


class TrustsFences(engine_memory.EngineMemory):
    """Accepts any report from an engine that refuses old fences."""

    def reported(self, now, report, polled_at=None):
        if report.fences and report.fence >= 2:
            self._accept_taken_from = 0.0
        return super().reported(now, report, polled_at)


class SkipsTheWait(engine_memory.EngineMemory):
    """Settles a new owner's accounting with the first report."""

    def __init__(self, capacity, reserve, unsettled_until=0.0, sizes=None):
        super().__init__(capacity, reserve, 0.0, sizes)


def _settles_by_arrival(machine):
    machine.poll(late=True)
    machine.send(True, "x")
    machine.wait(12.0)
    machine.poll(lag=1)
    machine.send(True, "y")


def _frees_on_unload(machine):
    machine.send(True, "x")
    machine.finish("x")
    machine.wait(12.0)
    machine.poll()
    machine.send(False, "x", late=True)
    machine.send(True, "y")


def _forgets_on_restart(machine):
    machine.send(True, "x", late=True)
    machine.restart()
    machine.poll()
    machine.send(True, "y")
    machine.second_copy(0)


def _trusts_timeouts(machine):
    machine.send(True, "x", late=True)
    machine.time_out_order(0)
    machine.send(True, "y")
    machine.second_copy(0)


def _trusts_refusals(machine):
    machine.send(True, "x", late=True)
    machine.take_over()
    machine.send(False, "x")
    machine.second_copy(0)
    machine.send(True, "y", late=True, frozen=True)
    machine.restart()
    machine.second_copy(0)
    machine.second_copy(2)


def _trusts_fences(machine):
    machine.send(True, "x", late=True)
    machine.take_over()
    machine.send(False, "x")
    machine.poll()
    machine.restart()
    machine.second_copy(0)
    machine.send(True, "y")


def _skips_the_wait(machine):
    machine.send(True, "x", late=True)
    machine.take_over()
    machine.poll()
    machine.second_copy(0)
    machine.send(True, "y")


HISTORIES = [
    (SettlesByArrival, _settles_by_arrival),
    (FreesOnUnload, _frees_on_unload),
    (ForgetsOnRestart, _forgets_on_restart),
    (TrustsTimeouts, _trusts_timeouts),
    (TrustsRefusals, _trusts_refusals),
    (TrustsFences, _trusts_fences),
    (SkipsTheWait, _skips_the_wait),
]


def _overcommits(memory_class, history):
    machine = BookMachine()
    machine.memory_class = memory_class
    machine.start(fences=True)
    history(machine)
    return machine.engine.used > CAPACITY - CACHE


@pytest.mark.parametrize(("faulty", "history"), HISTORIES)
def test_faulty_accounting_overcommits_unlike_the_real_one(faulty, history):
    assert _overcommits(faulty, history)
    assert not _overcommits(engine_memory.EngineMemory, history)


def test_real_memory_never_exceeds_capacity():
    stateful.run_state_machine_as_test(
        BookMachine,
        settings=hypothesis.settings(max_examples=400, stateful_step_count=25),
    )


@pytest.mark.parametrize("faulty", [FreesOnUnload, TrustsTimeouts])
def test_random_histories_find_faulty_accounting(faulty):
    machine = type("Faulty", (BookMachine,), {"memory_class": faulty})
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(
            machine,
            settings=hypothesis.settings(
                max_examples=2000,
                stateful_step_count=25,
                phases=(hypothesis.Phase.generate,),
            ),
        )


def _memory_with_a_load():
    memory = engine_memory.EngineMemory(CAPACITY, CACHE)
    memory.reported(0.0, build.report(), 0.0)
    assert memory.reserve(0.0, build.order("1", build.LOAD, "x", 5))
    return memory


def test_a_lost_load_frees_its_memory_after_its_latest_start():
    memory = _memory_with_a_load()
    latest_start = engine_memory.latest_start(0.0, 5.0)
    refused = memory.reserve(1.0, build.order("2", build.LOAD, "y", 6))
    assert refused.reason is engine_memory.RefusalReason.NO_ROOM
    memory.reported(latest_start + 1, build.report(sequence=2), latest_start)
    assert memory.reserve(
        latest_start + 1, build.order("2", build.LOAD, "y", 6)
    )


def test_an_unload_in_flight_makes_the_replica_not_ready():
    memory = _memory_with_a_load()
    memory.reported(2.0, build.report([build.resident("x", 5)], 2), 1.0)
    assert memory.ready("x")
    memory.reserve(2.0, build.order("2", build.UNLOAD, "x", 5))
    assert not memory.ready("x")
    assert memory.committed_bytes(2.0) == 6


def test_a_late_report_of_a_new_incarnation_makes_replicas_not_ready():
    memory = _memory_with_a_load()
    memory.reported(2.0, build.report([build.resident("x", 5)], 2), 1.0)
    late = build.report([build.resident("x", 5)], incarnation="b", age_s=3.0)
    assert not memory.reported(3.0, late, 2.5)
    assert not memory.ready("x")
    assert memory.committed_bytes(3.0) == 6


def test_adapters_cache_and_loads_in_progress_count():
    memory = engine_memory.EngineMemory(CAPACITY, CACHE, sizes={"x": 4})
    report = build.report(
        [build.resident("x", 1, "loading")],
        adapters=(build.resident("a", 2),),
        cache_bytes=3,
    )
    assert memory.committed_bytes(0.0) == CAPACITY
    memory.reported(0.0, report, 0.0)
    assert memory.committed_bytes(0.0) == 4 + 2 + 3
    load = build.order("1", build.LOAD, "x", 5, expires_in_s=60.0)
    assert (
        memory.reserve(0, load).reason
        is engine_memory.RefusalReason.EXPIRY_TOO_LONG
    )
