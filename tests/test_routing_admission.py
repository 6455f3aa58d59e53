"""Tests of admission."""

import collections
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from azureline import requests
from azureline.core import errors
from azureline.routing import admission
from azureline.routing import limits
from azureline.routing import loads
from azureline.routing import outcome
from azureline.routing import pool
from tests import builders_routing as build

_WHOLE = outcome.Sample(outcome.Outcome.WHOLE, 1.0, 0.1, 0.009, 100)
URGENT, NORMAL, BATCH = requests.Priority


def new_admission(slots=1.0, engines=1, reserve=0.0, **settings):
    """Returns an admission of one model with a fixed number of slots."""
    fixed = limits.Settings(
        initial=slots, minimum=slots, maximum=slots, reserve=reserve
    )
    built = admission.Admission(
        build.new_picker(),
        limits.Limits(fixed),
        random.Random(1),
        admission.Settings(**settings),
    )
    built.set_candidates("seam", build.candidates(engines))
    return built


def finish(adm, now, request_id):
    adm.finish(now, request_id, _WHOLE)
    return adm.next(now)


def _admission_with_sample(now=0.0, **fields):
    """Returns an admission that has learned from one answer of 1 s."""
    adm = new_admission(**fields)
    first = adm.submit(now, build.call())
    finish(adm, now, first.call.request_id)
    return adm


def _finish_each(adm, running, count, now=1.0):
    """Ends the running call and each of its successors in turn.

    Returns:
      The calls that were sent, in order.
    """
    sent = []
    for _ in range(count):
        results = finish(adm, now, running.request_id)
        (running,) = [r.call for r in results]
        sent.append(running)
    return sent


def test_a_call_is_sent_while_there_is_capacity_and_queued_after():
    adm = new_admission(slots=2.0)
    results = [adm.submit(0.0, build.call()) for _ in range(3)]
    assert [type(r) for r in results] == [
        admission.Admitted,
        admission.Admitted,
        admission.Queued,
    ]
    (sent,) = finish(adm, 1.0, results[0].call.request_id)
    assert sent.call is results[2].call


def test_the_earliest_deadline_of_the_highest_class_goes_first():
    adm = new_admission()
    running = adm.submit(0.0, build.call()).call
    waiting = [
        build.call(priority=priority, deadline=deadline)
        for priority in (BATCH, NORMAL, URGENT)
        for deadline in (90.0, 70.0, 80.0)
    ]
    for call in waiting:
        adm.submit(0.0, call)
    sent = _finish_each(adm, running, 9)
    assert sent == sorted(waiting, key=lambda c: (c.priority, c.deadline))


def test_only_the_highest_class_may_use_the_reserve():
    adm = new_admission(reserve=1.0)
    adm.submit(0.0, build.call())
    assert isinstance(adm.submit(0.0, build.call()), admission.Queued)
    urgent = build.call(priority=URGENT)
    assert isinstance(adm.submit(0.0, urgent), admission.Admitted)
    another = build.call(priority=URGENT)
    assert isinstance(adm.submit(0.0, another), admission.Queued)


def test_a_claim_on_one_engine_does_not_block_other_calls():
    adm = new_admission(engines=3)
    assert adm.admit_to(0.0, build.call(), "e1").engine == "e1"
    assert adm.admit_to(0.0, build.call(), "e1") is None
    assert adm.admit_to(0.0, build.call(), "e9") is None
    assert isinstance(adm.submit(0.0, build.call()), admission.Admitted)


def test_an_unreachable_deadline_is_refused_at_once_with_retry_after():
    adm = _admission_with_sample()
    adm.submit(0.0, build.call())
    results = [adm.submit(0.0, build.call(deadline=8.0)) for _ in range(10)]
    refused = [r for r in results if not r]
    assert len(refused) == 3
    assert refused[0].kind is errors.ErrorKind.DEADLINE_UNREACHABLE
    assert refused[0].answer.ran is errors.Ran.NO
    assert 1.0 <= refused[0].retry_after <= 2.0


def test_an_idle_model_accepts_any_call_whatever_the_estimate():
    adm = _admission_with_sample()
    slow = outcome.Sample(outcome.Outcome.WHOLE, 50.0, 9.0, 0.5, 100)
    adm.finish(0.0, adm.submit(0.0, build.call()).call.request_id, slow)
    assert adm.submit(0.0, build.call(deadline=2.0))


def test_a_deadline_that_has_passed_is_refused_as_not_run():
    adm = new_admission()
    adm.submit(0.0, build.call())
    refusal = adm.submit(5.0, build.call(deadline=5.0))
    assert refusal.kind is errors.ErrorKind.DEADLINE_EXCEEDED
    assert refusal.answer.ran is errors.Ran.NO


def test_a_waiting_call_is_dropped_once_it_cannot_meet_its_deadline():
    adm = _admission_with_sample()
    adm.submit(0.0, build.call())
    adm.submit(0.0, build.call(deadline=3.0))
    assert adm.next(1.9) == []
    assert adm.wake_at(1.9) == pytest.approx(2.0, abs=0.01)
    (dropped,) = adm.next(2.01)
    assert dropped.refusal.kind is errors.ErrorKind.DEADLINE_UNREACHABLE
    assert adm.waiting == 0


def test_waiting_calls_are_polled_without_any_event():
    adm = new_admission()
    adm.submit(0.0, build.call())
    assert adm.wake_at(0.0) is None
    adm.submit(0.0, build.call())
    adm.next(1.0)
    assert adm.wake_at(1.2) == pytest.approx(1.25)


def test_a_caller_that_disconnects_leaves_the_queue_at_once():
    adm = new_admission()
    running = adm.submit(0.0, build.call()).call
    left, stays = build.call(deadline=50.0), build.call(deadline=60.0)
    adm.submit(0.0, left)
    adm.submit(0.0, stays)
    assert adm.cancel(left.request_id)
    assert not adm.cancel(left.request_id)
    assert _finish_each(adm, running, 1) == [stays]


def test_without_replicas_calls_are_refused_and_waiting_ones_dropped():
    adm = new_admission()
    adm.submit(0.0, build.call())
    adm.submit(0.0, build.call())
    adm.set_candidates("seam", [])
    refusal = adm.submit(0.0, build.call())
    assert refusal.kind is errors.ErrorKind.NO_REPLICA
    assert adm.next(0.0) == []
    (dropped,) = adm.next(2.0)
    assert dropped.refusal.kind is errors.ErrorKind.NO_REPLICA


def test_a_model_without_capacity_does_not_block_another():
    adm = new_admission()
    adm.set_candidates("other", [build.candidate("e9")])
    adm.submit(0.0, build.call())
    adm.submit(0.0, build.call())
    assert isinstance(
        adm.submit(0.0, build.call(model="other")), admission.Admitted
    )


def test_on_a_shared_engine_the_higher_class_of_another_model_goes_first():
    adm = new_admission()
    adm.set_candidates("other", build.candidates(1))
    running = adm.submit(0.0, build.call()).call
    low, high = build.call(priority=BATCH), build.call(model="other")
    adm.submit(0.0, low)
    adm.submit(0.0, high)
    assert _finish_each(adm, running, 2) == [high, low]


def measure_class_shares(count=400, **settings):
    """Returns each class's share of the sends while all classes wait."""
    adm = new_admission(**settings)
    running = adm.submit(0.0, build.call()).call
    counts = collections.Counter()
    for _ in range(count):
        for priority in requests.Priority:
            while len(adm._pool("seam").queue(priority)) < 8:
                adm.submit(0.0, build.call(priority=priority))
        (running,) = _finish_each(adm, running, 1)
        counts[running.priority] += 1
    return [counts[p] / count for p in requests.Priority]


def test_low_classes_get_their_share_and_the_highest_the_rest():
    urgent, normal, batch = measure_class_shares()
    assert normal == pytest.approx(0.10, abs=0.01)
    assert batch == pytest.approx(0.05, abs=0.01)
    assert urgent == pytest.approx(0.85, abs=0.01)


def test_the_share_check_catches_strict_priority():
    assert measure_class_shares(shares=(0.0, 0.0, 0.0)) == [1.0, 0.0, 0.0]


def _sent_for_light_caller(**settings):
    """Returns how many of a light caller's 20 calls are among 60 sent.

    A heavy caller filled the queue first, with earlier deadlines.
    """
    adm = new_admission(**settings)
    running = adm.submit(0.0, build.call(caller="heavy")).call
    for _ in range(200):
        adm.submit(0.0, build.call(caller="heavy", deadline=500.0))
    for _ in range(20):
        adm.submit(0.0, build.call(caller="light", deadline=900.0))
    adm.next(0.0)
    sent = _finish_each(adm, running, 60)
    return sum(1 for call in sent if call.caller == "light")


def test_one_caller_cannot_crowd_out_another():
    assert _sent_for_light_caller() >= 18


def test_the_crowding_check_catches_pure_deadline_order():
    assert _sent_for_light_caller(quantum_tokens=1e9) == 0


def test_a_full_queue_evicts_a_call_of_the_caller_with_the_most():
    adm = new_admission()
    adm.submit(0.0, build.call(caller="heavy"))
    for i in range(128):
        adm.submit(0.0, build.call(caller="heavy", deadline=100.0 + i))
    refusal = adm.submit(0.0, build.call(caller="heavy"))
    assert refusal.kind is errors.ErrorKind.OVERLOADED
    assert isinstance(
        adm.submit(0.0, build.call(caller="light")), admission.Queued
    )
    assert adm.wake_at(0.0) == 0.0
    (dropped,) = adm.next(0.0)
    assert dropped.call.deadline == 227.0
    assert dropped.refusal.kind is errors.ErrorKind.OVERLOADED
    assert dropped.refusal.answer.ran is errors.Ran.NO


class _AdmissionMachine(stateful.RuleBasedStateMachine):
    """Checks that each call ends exactly once and that limits always hold."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.adm = new_admission(engines=2, reserve=1.0, queue_bounds=(3, 4, 5))
        self.waiting = {}
        self.running = {}

    def _take(self, results):
        for result in results:
            call = self.waiting.pop(result.call.request_id)
            if isinstance(result, admission.Admitted):
                assert self.now < call.deadline, "call sent after its deadline"
                self.running[call.request_id] = result.engine
            else:
                assert result.refusal.answer.ran is errors.Ran.NO

    @stateful.rule(
        priority=st.sampled_from(requests.Priority),
        caller=st.sampled_from("abc"),
        budget=st.floats(0.0, 20.0),
        model=st.sampled_from(["seam", "other"]),
    )
    def offer(self, priority, caller, budget, model):
        call = build.call(
            priority=priority,
            caller=caller,
            model=model,
            deadline=self.now + budget,
        )
        result = self.adm.submit(self.now, call)
        if isinstance(result, admission.Queued):
            self.waiting[call.request_id] = call
        elif isinstance(result, admission.Admitted):
            self.running[call.request_id] = result.engine
        else:
            assert result.answer.ran is errors.Ran.NO
        self._take(self.adm.next(self.now))

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(data=st.data(), kind=st.sampled_from(outcome.Outcome))
    def finish(self, data, kind):
        request_id = data.draw(st.sampled_from(sorted(self.running)))
        del self.running[request_id]
        sample = _WHOLE._replace(outcome=kind)
        self.adm.finish(self.now, request_id, sample, loads.LoadHint(1, 0))
        self._take(self.adm.next(self.now))

    @stateful.precondition(lambda self: self.waiting)
    @stateful.rule(data=st.data())
    def leave(self, data):
        request_id = data.draw(st.sampled_from(sorted(self.waiting)))
        del self.waiting[request_id]
        assert self.adm.cancel(request_id)

    @stateful.rule(
        model=st.sampled_from(["seam", "other"]), count=st.integers(0, 2)
    )
    def replicas_change(self, model, count):
        self.adm.set_candidates(model, build.candidates(count))

    @stateful.rule(seconds=st.floats(0.0, 5.0))
    def wait(self, seconds):
        target = self.now + seconds
        while True:
            wake = self.adm.wake_at(self.now)
            if wake is None or wake >= target:
                break
            self.now = max(wake, self.now + 0.01)
            self._take(self.adm.next(self.now))
        self.now = max(self.now, target)

    @stateful.invariant()
    def limits_hold(self):
        assert self.adm.waiting == len(self.waiting)
        counts = collections.Counter(self.running.values())
        assert all(n <= 2 for n in counts.values())


_AdmissionMachine.TestCase.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=40
)
TestAdmission = _AdmissionMachine.TestCase


class _CountingPool(pool.Pool):
    """Counts reads of `waiting` over all pools."""

    reads = 0

    @property
    def waiting(self):
        type(self).reads += 1
        return super().waiting


def _count_reads(models):
    _CountingPool.reads = 0
    adm = new_admission()
    for i in range(models):
        adm.set_candidates(f"m{i}", build.candidates(1))
    sent = adm.submit(0.0, build.call())
    adm.submit(0.0, build.call())
    finish(adm, 1.0, sent.call.request_id)
    return _CountingPool.reads


def test_models_without_waiting_calls_are_not_read(monkeypatch):
    monkeypatch.setattr(pool, "Pool", _CountingPool)
    assert _count_reads(210) == _count_reads(1)


class _NeverExpiringPool(pool.Pool):
    """Deliberate fault: waiting calls never expire and are sent too late."""

    def take_expired(self, now):
        del now
        return []

    def next_expiry(self):
        return None


def _run_past_a_deadline():
    """Lets a waiting call's deadline pass before an engine is free."""
    machine = _AdmissionMachine()
    for budget in (20.0, 20.0, 1.0):
        machine.offer(NORMAL, "a", budget, "seam")
    machine.wait(5.0)
    running = sorted(machine.running)
    machine.running.clear()
    for request_id in running:
        machine.adm.finish(machine.now, request_id, _WHOLE)
    machine._take(machine.adm.next(machine.now))
    assert not machine.running
    assert not machine.waiting


def test_a_call_is_dropped_at_its_deadline_and_never_sent():
    _run_past_a_deadline()


def test_the_machine_catches_calls_sent_after_their_deadline(monkeypatch):
    monkeypatch.setattr(pool, "Pool", _NeverExpiringPool)
    with pytest.raises(AssertionError, match="call sent after its deadline"):
        _run_past_a_deadline()
