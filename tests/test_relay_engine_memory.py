"""Tests of the memory accounting of one engine."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from azureline.relay import engine_memory
from azureline.relay import orders
from tests import builders_relay as builders

ADAPTERS = ("a1", "a2", "a3", "a4")
MODELS = ("a", "b", "c", "d", "e")


def _memory(*models, now=0.0, **fields):
    kind = builders.kind(*MODELS, **fields)
    return engine_memory.EngineMemory(builders.server("e1", *models), kind, now)


def _memory_after_report(*models, **fields):
    memory = _memory(*models, **fields)
    listed = [builders.resident(m) for m in models]
    assert memory.apply_report(0, listed, False, 0.0, 1.0)
    return memory


def _send_next(memory, outcome=orders.Outcome.ACCEPTED, now=1.0):
    order = memory.next_order()
    memory.record_sent(order)
    memory.apply_outcome(order, outcome, now)
    return order


def test_no_order_before_a_report():
    memory = _memory("a", "b", "c")
    memory.set_target(("d", "a", "b"), 0.0)
    assert memory.next_order() is None and memory.sequence_unknown


def test_outdated_report_is_ignored():
    memory = _memory("a", now=5.0)
    assert not memory.apply_report(3, [builders.resident("a")], False, 4.9, 5.1)
    assert memory.sequence_unknown


def test_model_is_unloaded_before_its_replacement_is_loaded():
    memory = _memory_after_report("a", "b", "c")
    memory.set_target(("d", "a", "b"), 0.0)
    assert _send_next(memory) == orders.Order(orders.Verb.UNLOAD, "c", "", 0)
    assert memory.next_order() is None  # The unload is in progress.
    assert "c" not in dict(memory.usable_models(1.0))
    memory.apply_entry([builders.resident("a"), builders.resident("b")], 1.2)
    assert _send_next(memory) == orders.Order(orders.Verb.LOAD, "d", "", 1)
    assert memory.loading(1.0) == ("d", 4.0)


def test_order_without_answer_is_sent_again_unchanged():
    memory = _memory_after_report("a", "b")
    memory.set_target(("c", "a", "b"), 0.0)
    unanswered = _send_next(memory, orders.Outcome.UNKNOWN)
    memory.set_target(("d", "a", "b"), 0.0)
    assert memory.next_order() == unanswered


def test_order_without_answer_counts_as_accepted_once_sequence_advanced():
    memory = _memory_after_report("a", "b")
    memory.set_target(("c", "a", "b"), 0.0)
    _send_next(memory, orders.Outcome.UNKNOWN)
    listed = [builders.resident("a"), builders.resident("b")]
    memory.apply_report(1, listed, True, 2.0, 2.5)
    assert memory.open_order is None
    assert memory.loading(2.5)[0] == "c"


def test_adapters_wait_while_a_model_order_is_in_progress():
    memory = _memory_after_report("a", "b")
    memory.set_target(("c", "a", "b"), 0.0)
    _send_next(memory)
    assert memory.adapter_order(engine_memory.Adapter("a", "a1"), 1.0) is None


def test_least_recently_used_adapter_is_evicted():
    memory = _memory_after_report("a", adapter_places=2)
    for at, name in ((1.0, "a1"), (2.0, "a2")):
        order = memory.adapter_order(engine_memory.Adapter("a", name), at)
        memory.record_sent(order)
        memory.apply_outcome(order, orders.Outcome.ACCEPTED, at)
    order = memory.adapter_order(engine_memory.Adapter("a", "a3"), 9.0)
    assert (order.verb, order.adapter) == (orders.Verb.UNLOAD, "a1")


def test_adapter_in_use_is_not_evicted():
    memory = _memory_after_report("a", adapter_places=2)
    for at, name in ((1.0, "a1"), (2.0, "a2")):
        order = memory.adapter_order(engine_memory.Adapter("a", name), at)
        memory.record_sent(order)
        memory.apply_outcome(order, orders.Outcome.ACCEPTED, at)
    wanted = engine_memory.Adapter("a", "a3")
    order = memory.adapter_order(wanted, 9.0, {("a", "a1")})
    assert (order.verb, order.adapter) == (orders.Verb.UNLOAD, "a2")
    both = {("a", "a1"), ("a", "a2")}
    assert memory.adapter_order(wanted, 9.0, both) is None


def test_recently_loaded_adapter_is_not_evicted():
    memory = _memory_after_report("a", adapter_places=1)
    order = memory.adapter_order(engine_memory.Adapter("a", "a1"), 1.0)
    memory.record_sent(order)
    memory.apply_outcome(order, orders.Outcome.ACCEPTED, 1.0)
    assert memory.adapter_order(engine_memory.Adapter("a", "a2"), 1.4) is None


def _memory_with_unloading_adapter(**fields):
    """Returns the accounting of an engine that unloads an adapter in use."""
    memory = _memory_after_report("a", "b", adapter_places=2, **fields)
    for name, at in (("a1", 1.0), ("a2", 2.0)):
        memory.record_sent(
            memory.adapter_order(engine_memory.Adapter("a", name), at)
        )
        memory.apply_outcome(memory.open_order, orders.Outcome.ACCEPTED, at)
    memory.record_sent(
        memory.adapter_order(engine_memory.Adapter("a", "a3"), 9.0)
    )
    assert memory.open_order.verb is orders.Verb.UNLOAD
    memory.apply_outcome(memory.open_order, orders.Outcome.ACCEPTED, 9.0)
    return memory


def test_no_model_order_while_an_adapter_in_use_is_unloading():
    memory = _memory_with_unloading_adapter()
    memory.set_target(("c", "a", "b"), 0.0)
    # Engines reject model orders until the adapter's requests have ended.
    assert memory.next_order() is None
    assert memory.needs_report(9.1), (
        "a report has to show when the adapter is unloaded"
    )
    listed = [builders.resident("a", "a2"), builders.resident("b")]
    memory.apply_report(3, listed, False, 9.5, 10.0)
    assert memory.next_order() == orders.Order(orders.Verb.LOAD, "c", "", 3)


def test_adapter_can_be_loaded_while_another_one_is_unloading():
    memory = _memory_with_unloading_adapter()
    memory.set_target(("c", "a", "b"), 0.0)
    listed = [builders.resident("a", "a2"), builders.resident("b")]
    memory.apply_report(3, listed, False, 9.5, 10.0)
    order = memory.adapter_order(engine_memory.Adapter("b", "a4"), 10.0)
    assert order.verb is orders.Verb.LOAD


def test_rejected_order_is_dropped():
    memory = _memory_after_report("a", "b")
    memory.set_target(("c", "a", "b"), 0.0)
    _send_next(memory, orders.Outcome.OUT_OF_TURN, 1.0)
    assert memory.open_order is None and memory.sequence_unknown
    listed = [builders.resident("a"), builders.resident("b")]
    memory.apply_report(0, listed, False, 1.5, 2.0)
    adapter = engine_memory.Adapter("a", "a1")
    assert memory.adapter_order(adapter, 2.0) is not None


def test_rejected_order_stays_open_while_an_earlier_copy_may_arrive():
    memory = _memory_after_report("a", "b")
    memory.set_target(("c", "a", "b"), 0.0)
    unanswered = _send_next(memory, orders.Outcome.UNKNOWN)
    _send_next(memory, orders.Outcome.OUT_OF_TURN)
    assert memory.open_order == unanswered


def test_rejected_copy_of_an_order_is_not_repeated_before_a_report():
    memory = _memory_after_report("a", "b")
    memory.set_target(("c", "a", "b"), 0.0)
    unanswered = _send_next(memory, orders.Outcome.UNKNOWN)
    _send_next(memory, orders.Outcome.OUT_OF_TURN, 2.0)
    assert memory.next_order() is None
    listed = [builders.resident("a"), builders.resident("b")]
    assert memory.apply_report(0, listed, False, 2.1, 2.6)
    assert memory.next_order() == unanswered
    _send_next(memory, orders.Outcome.OUT_OF_TURN, 3.0)
    assert memory.needs_report(3.0 + 2 * engine_memory.REPORT_LAG_S)
    assert memory.apply_report(1, listed, False, 3.1, 3.6)
    assert memory.open_order is None


class _Engine:
    """Models an engine that carries out orders, including late ones."""

    def __init__(self, model_slots, adapter_places):
        self.sequence = 0
        self.models = ["a", "b"]
        self.adapters = set()
        self.in_use = set()
        self.unloading = set()
        self.busy = None
        self.model_slots, self.adapter_places = model_slots, adapter_places

    def accept(self, order):
        if self.busy is not None or order.expected != self.sequence:
            return orders.Outcome.OUT_OF_TURN
        adapter = (order.model, order.adapter)
        loads = order.verb is orders.Verb.LOAD
        if not order.adapter:
            if loads is (order.model in self.models):
                return orders.Outcome.HOLDS
            if self.unloading:
                return orders.Outcome.OUT_OF_TURN
            self.sequence += 1
            self.busy = order
            held = len(self.models) + loads
            assert held <= self.model_slots, (
                "the engine holds more models than fit"
            )
            return orders.Outcome.ACCEPTED
        assert order.model in self.models
        if loads is (adapter in self.adapters):
            return orders.Outcome.HOLDS
        self.sequence += 1
        if loads:
            self.adapters.add(adapter)
            assert len(self.adapters) <= self.adapter_places, (
                "the engine holds more adapters than fit"
            )
            return orders.Outcome.ACCEPTED
        if adapter in self.in_use:
            self.unloading.add(adapter)
            return orders.Outcome.ACCEPTED
        self.adapters.discard(adapter)
        return orders.Outcome.HOLDS

    def use_adapters(self):
        self.in_use = set(self.adapters)

    def release_adapters(self):
        self.in_use = set()
        self.adapters -= self.unloading
        self.unloading = set()

    def finish(self):
        order, self.busy = self.busy, None
        if order is None:
            return
        if order.verb is orders.Verb.LOAD:
            self.models.append(order.model)
        else:
            self.models.remove(order.model)
            self.adapters = {a for a in self.adapters if a[0] != order.model}

    def listed(self):
        return [
            builders.resident(m, *(a for n, a in self.adapters if n == m))
            for m in self.models
        ]


class EngineMemoryMachine(stateful.RuleBasedStateMachine):
    """The engine never exceeds its memory, whatever happens to an order.

    An order is answered, lost with or without effect, or carried out late.
    """

    def __init__(self):
        super().__init__()
        self.engine = _Engine(model_slots=3, adapter_places=2)
        self.now = 0.0
        self.memory = _memory("a", "b", adapter_places=2)
        self.late_orders = []

    @stateful.rule()
    def adapters_used(self):
        self.engine.use_adapters()

    @stateful.rule()
    def adapters_released(self):
        self.engine.release_adapters()

    @stateful.rule(models=st.permutations(MODELS))
    def target(self, models):
        self.memory.set_target(tuple(models[:3]), 0.0)

    @stateful.rule(
        delivery=st.sampled_from(["answered", "answer lost", "lost", "late"])
    )
    def order(self, delivery):
        self._send_order(self.memory.next_order(), delivery)

    @stateful.rule(
        model=st.sampled_from(MODELS),
        name=st.sampled_from(ADAPTERS),
        delivery=st.sampled_from(["answered", "answer lost", "lost", "late"]),
    )
    def adapter(self, model, name, delivery):
        wanted = engine_memory.Adapter(model, name)
        if self.memory.adapter_ready(wanted, self.now) is None:
            self._send_order(
                self.memory.adapter_order(wanted, self.now), delivery
            )

    @stateful.rule()
    def order_completes(self):
        self.engine.finish()
        if not self.memory.sequence_unknown:
            self.memory.apply_entry(self.engine.listed(), self.now)

    @stateful.rule()
    def report(self):
        self.memory.apply_report(
            self.engine.sequence,
            self.engine.listed(),
            self.engine.busy is not None,
            self.now,
            self.now,
        )

    @stateful.precondition(lambda self: self.late_orders)
    @stateful.rule()
    def late_order_arrives(self):
        self.engine.accept(self.late_orders.pop(0))

    @stateful.rule(seconds=st.floats(0.01, 3.0))
    def time_passes(self, seconds):
        self.now += seconds

    def _send_order(self, order, delivery):
        if order is None:
            return
        self.memory.record_sent(order)
        outcome = orders.Outcome.UNKNOWN
        if delivery == "late":
            self.late_orders.append(order)
        elif delivery != "lost":
            result = self.engine.accept(order)
            outcome = result if delivery == "answered" else outcome
        self.memory.apply_outcome(order, outcome, self.now)


EngineMemoryMachine.TestCase.settings = hypothesis.settings(
    max_examples=300, stateful_step_count=40
)
TestEngineMemoryMachine = EngineMemoryMachine.TestCase


def test_load_after_a_long_unload_is_announced_for_the_target_time():
    memory = _memory_after_report("a", "b", "c")
    memory.set_target(("d", "a", "b"), 6.0)
    assert memory.next_model(1.0) == ("d", 5.0)
    # Once that time has passed, only the load time counts.
    assert memory.next_model(7.0) == ("d", 4.0)
