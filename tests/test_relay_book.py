"""Tests of the book of one engine's memory."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from azureline.relay import book as books
from azureline.relay import orders
from tests import builders_relay as builders

ADAPTERS = ("a1", "a2", "a3", "a4")
MODELS = ("a", "b", "c", "d", "e")


def _book(*models, now=0.0, **fields):
    kind = builders.kind(*MODELS, **fields)
    return books.EngineBook(builders.server("e1", *models), kind, now)


def _settled(*models, **fields):
    book = _book(*models, **fields)
    listed = [builders.resident(m) for m in models]
    assert book.settle(0, listed, False, 0.0, 1.0)
    return book


def _carry(book, outcome=orders.Outcome.ACCEPTED, now=1.0):
    order = book.next_order()
    book.sent(order)
    book.answered(order, outcome, now)
    return order


def test_no_order_before_a_report():
    book = _book("a", "b", "c")
    book.set_target(("d", "a", "b"), 0.0)
    assert book.next_order() is None and book.doubtful


def test_a_report_older_than_the_doubt_settles_nothing():
    book = _book("a", now=5.0)
    assert not book.settle(3, [builders.resident("a")], False, 4.9, 5.1)
    assert book.doubtful


def test_a_place_is_freed_before_it_is_filled():
    book = _settled("a", "b", "c")
    book.set_target(("d", "a", "b"), 0.0)
    assert _carry(book) == orders.Order(orders.Verb.UNLOAD, "c", "", 0)
    assert book.next_order() is None  # The unload is under way.
    assert "c" not in dict(book.usable(1.0))
    book.observe([builders.resident("a"), builders.resident("b")], 1.2)
    assert _carry(book) == orders.Order(orders.Verb.LOAD, "d", "", 1)
    assert book.coming(1.0) == ("d", 4.0)


def test_an_order_without_answer_is_given_again_unchanged():
    book = _settled("a", "b")
    book.set_target(("c", "a", "b"), 0.0)
    lost = _carry(book, orders.Outcome.UNKNOWN)
    book.set_target(("d", "a", "b"), 0.0)
    assert book.next_order() == lost


def test_an_order_without_answer_counts_as_accepted_once_sequence_moved():
    book = _settled("a", "b")
    book.set_target(("c", "a", "b"), 0.0)
    _carry(book, orders.Outcome.UNKNOWN)
    listed = [builders.resident("a"), builders.resident("b")]
    book.settle(1, listed, True, 2.0, 2.5)
    assert book.open_order is None
    assert book.coming(2.5)[0] == "c"


def test_adapters_wait_while_a_model_order_is_under_way():
    book = _settled("a", "b")
    book.set_target(("c", "a", "b"), 0.0)
    _carry(book)
    assert book.adapter_order(books.Adapter("a", "a1"), 1.0) is None


def test_the_adapter_used_longest_ago_makes_room():
    book = _settled("a", adapter_places=2)
    for at, name in ((1.0, "a1"), (2.0, "a2")):
        order = book.adapter_order(books.Adapter("a", name), at)
        book.sent(order)
        book.answered(order, orders.Outcome.ACCEPTED, at)
    order = book.adapter_order(books.Adapter("a", "a3"), 9.0)
    assert (order.verb, order.adapter) == (orders.Verb.UNLOAD, "a1")


def test_an_adapter_in_use_is_not_evicted():
    book = _settled("a", adapter_places=2)
    for at, name in ((1.0, "a1"), (2.0, "a2")):
        order = book.adapter_order(books.Adapter("a", name), at)
        book.sent(order)
        book.answered(order, orders.Outcome.ACCEPTED, at)
    wanted = books.Adapter("a", "a3")
    order = book.adapter_order(wanted, 9.0, {("a", "a1")})
    assert (order.verb, order.adapter) == (orders.Verb.UNLOAD, "a2")
    both = {("a", "a1"), ("a", "a2")}
    assert book.adapter_order(wanted, 9.0, both) is None


def test_an_adapter_that_was_just_loaded_is_not_evicted():
    book = _settled("a", adapter_places=1)
    order = book.adapter_order(books.Adapter("a", "a1"), 1.0)
    book.sent(order)
    book.answered(order, orders.Outcome.ACCEPTED, 1.0)
    assert book.adapter_order(books.Adapter("a", "a2"), 1.4) is None


def _with_adapter_leaving(**fields):
    """Returns a book whose engine unloads an adapter that is in use."""
    book = _settled("a", "b", adapter_places=2, **fields)
    for name, at in (("a1", 1.0), ("a2", 2.0)):
        book.sent(book.adapter_order(books.Adapter("a", name), at))
        book.answered(book.open_order, orders.Outcome.ACCEPTED, at)
    book.sent(book.adapter_order(books.Adapter("a", "a3"), 9.0))
    assert book.open_order.verb is orders.Verb.UNLOAD
    book.answered(book.open_order, orders.Outcome.ACCEPTED, 9.0)
    return book


def test_no_order_about_a_model_while_an_adapter_in_use_is_unloaded():
    book = _with_adapter_leaving()
    book.set_target(("c", "a", "b"), 0.0)
    # Engines refuse it until the requests of that adapter have ended.
    assert book.next_order() is None
    assert book.overdue(9.1), "Only a report tells when."
    listed = [builders.resident("a", "a2"), builders.resident("b")]
    book.settle(3, listed, False, 9.5, 10.0)
    assert book.next_order() == orders.Order(orders.Verb.LOAD, "c", "", 3)


def test_adapters_are_loaded_while_another_one_is_unloaded():
    book = _with_adapter_leaving()
    book.set_target(("c", "a", "b"), 0.0)
    listed = [builders.resident("a", "a2"), builders.resident("b")]
    book.settle(3, listed, False, 9.5, 10.0)
    order = book.adapter_order(books.Adapter("b", "a4"), 10.0)
    assert order.verb is orders.Verb.LOAD


def test_an_order_that_the_engine_refused_is_given_up():
    book = _settled("a", "b")
    book.set_target(("c", "a", "b"), 0.0)
    _carry(book, orders.Outcome.OUT_OF_TURN, 1.0)
    assert book.open_order is None and book.doubtful
    listed = [builders.resident("a"), builders.resident("b")]
    book.settle(0, listed, False, 1.5, 2.0)
    adapter = books.Adapter("a", "a1")
    assert book.adapter_order(adapter, 2.0) is not None


def test_a_refused_order_stays_while_a_copy_of_it_may_still_come():
    book = _settled("a", "b")
    book.set_target(("c", "a", "b"), 0.0)
    lost = _carry(book, orders.Outcome.UNKNOWN)
    _carry(book, orders.Outcome.OUT_OF_TURN)
    assert book.open_order == lost


class _Engine:
    """An engine that carries out orders, also late ones."""

    def __init__(self, places, adapter_places):
        self.sequence = 0
        self.models = ["a", "b"]
        self.adapters = set()
        self.in_use = set()
        self.leaving = set()
        self.busy = None
        self.places, self.adapter_places = places, adapter_places

    def take(self, order):
        if self.busy is not None or order.expected != self.sequence:
            return orders.Outcome.OUT_OF_TURN
        adapter = (order.model, order.adapter)
        loads = order.verb is orders.Verb.LOAD
        if not order.adapter:
            if loads is (order.model in self.models):
                return orders.Outcome.HOLDS
            if self.leaving:
                return orders.Outcome.OUT_OF_TURN
            self.sequence += 1
            self.busy = order
            held = len(self.models) + loads
            assert held <= self.places, "too many models"
            return orders.Outcome.ACCEPTED
        assert order.model in self.models
        if loads is (adapter in self.adapters):
            return orders.Outcome.HOLDS
        self.sequence += 1
        if loads:
            self.adapters.add(adapter)
            assert len(self.adapters) <= self.adapter_places, "adapters"
            return orders.Outcome.ACCEPTED
        if adapter in self.in_use:
            self.leaving.add(adapter)
            return orders.Outcome.ACCEPTED
        self.adapters.discard(adapter)
        return orders.Outcome.HOLDS

    def use(self):
        self.in_use = set(self.adapters)

    def end_uses(self):
        self.in_use = set()
        self.adapters -= self.leaving
        self.leaving = set()

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


class BookMachine(stateful.RuleBasedStateMachine):
    """Orders are answered, lost, or carried out late; nothing overflows."""

    def __init__(self):
        super().__init__()
        self.engine = _Engine(places=3, adapter_places=2)
        self.now = 0.0
        self.book = _book("a", "b", adapter_places=2)
        self.late = []

    @stateful.rule()
    def use(self):
        self.engine.use()

    @stateful.rule()
    def end_uses(self):
        self.engine.end_uses()

    @stateful.rule(models=st.permutations(MODELS))
    def target(self, models):
        self.book.set_target(tuple(models[:3]), 0.0)

    @stateful.rule(
        fate=st.sampled_from(["answered", "answer lost", "lost", "late"])
    )
    def order(self, fate):
        self._send(self.book.next_order(), fate)

    @stateful.rule(
        model=st.sampled_from(MODELS),
        name=st.sampled_from(ADAPTERS),
        fate=st.sampled_from(["answered", "answer lost", "lost", "late"]),
    )
    def adapter(self, model, name, fate):
        wanted = books.Adapter(model, name)
        if self.book.adapter_ready(wanted, self.now) is None:
            self._send(self.book.adapter_order(wanted, self.now), fate)

    @stateful.rule()
    def work_ends(self):
        self.engine.finish()
        if not self.book.doubtful:
            self.book.observe(self.engine.listed(), self.now)

    @stateful.rule()
    def report(self):
        self.book.settle(
            self.engine.sequence,
            self.engine.listed(),
            self.engine.busy is not None,
            self.now,
            self.now,
        )

    @stateful.precondition(lambda self: self.late)
    @stateful.rule()
    def late_order_arrives(self):
        self.engine.take(self.late.pop(0))

    @stateful.rule(seconds=st.floats(0.01, 3.0))
    def time_passes(self, seconds):
        self.now += seconds

    def _send(self, order, fate):
        if order is None:
            return
        self.book.sent(order)
        outcome = orders.Outcome.UNKNOWN
        if fate == "late":
            self.late.append(order)
        elif fate != "lost":
            taken = self.engine.take(order)
            outcome = taken if fate == "answered" else outcome
        self.book.answered(order, outcome, self.now)


BookMachine.TestCase.settings = hypothesis.settings(
    max_examples=300, stateful_step_count=40
)
TestBookMachine = BookMachine.TestCase


def test_a_load_behind_a_long_unload_is_told_late():
    book = _settled("a", "b", "c")
    book.set_target(("d", "a", "b"), 6.0)
    assert book.upcoming(1.0) == ("d", 5.0)
    # Once that time has passed, the load alone.
    assert book.upcoming(7.0) == ("d", 4.0)
