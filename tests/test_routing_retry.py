"""Tests of the retry policy and its budget."""

import random

import hypothesis
from hypothesis import given
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from azureline.core import errors
from azureline.routing import retry

_REASONS = st.sampled_from(retry.Reason)


def _retries(seed=1, **settings):
    return retry.RetryPolicy(random.Random(seed), retry.Settings(**settings))


@given(
    st.floats(0.0, 10.0),
    st.integers(1, 4),
    _REASONS,
    st.booleans(),
    st.floats(0.0, 5.0),
)
def test_a_retry_obeys_attempts_deadline_and_idempotency(
    budget, attempt, reason, idempotent, retry_after
):
    result = _retries().decide(
        100.0, 100.0 + budget, attempt, reason, idempotent, retry_after
    )
    if not result:
        return
    assert 100.0 + retry_after <= result.at < 100.0 + budget
    assert attempt < 3
    assert idempotent or reason in retry.NOT_STARTED
    assert result.counter == f"retry.{reason.value}"


@pytest.mark.parametrize(
    ("reason", "fields", "rule", "kind", "ran"),
    [
        ("backend_died", {"idempotent": False}, "not_idempotent",
         "may_have_run", "unknown"),
        ("busy", {"attempt": 3}, "attempts", "overloaded", "unknown"),
        ("backend_died", {"deadline": 0.0}, "deadline",
         "deadline_exceeded", "unknown"),
        ("connect_failed", {"deadline": 0.0}, "deadline",
         "deadline_exceeded", "no"),
    ],
)  # fmt: skip
def test_each_rule_yields_its_refusal_and_counter(
    reason, fields, rule, kind, ran
):
    retries = _retries()
    defaults = {"now": 0.0, "deadline": 9.0, "attempt": 1}
    refusal = retries.decide(reason=retry.Reason(reason), **(defaults | fields))
    assert refusal.kind is errors.ErrorKind(kind)
    assert refusal.answer.ran is errors.Ran(ran)
    assert retries.counts == {f"retry_refused.{rule}": 1}


def test_a_refused_retry_does_not_claim_that_the_call_did_not_run():
    refusal = errors.Refusal(errors.ErrorKind.OVERLOADED, "full", 3.0)
    retried = retry.with_unknown_execution(refusal)
    assert retried.answer.ran is errors.Ran.UNKNOWN
    assert retried.retry_after == 3.0


def test_backoff_has_full_jitter_that_grows_up_to_the_cap():
    retries = _retries(burst=1e6, attempts=20, cap_s=0.4)
    for attempt, scale in ((1, 0.05), (2, 0.1), (4, 0.4), (9, 0.4)):
        waits = [
            retries.decide(0.0, 9.0, attempt, retry.Reason.BUSY).at
            for _ in range(200)
        ]
        assert max(waits) <= scale
        assert min(waits) < 0.05 * scale
        assert sum(waits) / 200 == pytest.approx(scale / 2, rel=0.2)


class _BudgetMachine(stateful.RuleBasedStateMachine):
    """Checks that retries never exceed the budget, whatever fails."""

    def __init__(self):
        super().__init__()
        self.retries = _retries()
        self.first = 0
        self.retried = 0

    @stateful.rule(count=st.integers(1, 300))
    def send(self, count):
        for _ in range(count):
            self.retries.add_first_send()
        self.first += count

    @stateful.rule(count=st.integers(1, 300), reason=_REASONS)
    def fail(self, count, reason):
        results = [
            self.retries.decide(0.0, 9.0, 1, reason) for _ in range(count)
        ]
        self.retried += sum(1 for r in results if r)

    @stateful.invariant()
    def budget_holds(self):
        assert self.retried <= 0.1 * self.first + 10.0 + 1e-6
        total = sum(
            n
            for name, n in self.retries.counts.items()
            if name.startswith("retry.")
        )
        assert total == self.retried


_BudgetMachine.TestCase.settings = hypothesis.settings(
    max_examples=30, stateful_step_count=30
)
TestBudget = _BudgetMachine.TestCase


class _UnlimitedBudget(retry.RetryBudget):
    """Deliberate fault: the budget allows every retry."""

    def spend(self):
        return True


def test_the_machine_catches_a_budget_without_a_bound(monkeypatch):
    monkeypatch.setattr(retry, "RetryBudget", _UnlimitedBudget)
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(
            _BudgetMachine,
            settings=hypothesis.settings(
                max_examples=20, phases=[hypothesis.Phase.generate]
            ),
        )
