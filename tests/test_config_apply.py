"""Model test of concurrent applies, with calls delayed, lost and repeated."""

from typing import Any

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest
from twisted.internet import defer

from azureline.config import conflicts
from azureline.config import delta
from azureline.config import store
from azureline.config import version
from azureline.platform import interface

_PATHS = ("a", "b", "c")


class _Call:
    """A call in flight; it takes effect and is answered in separate steps."""

    def __init__(self, effect):
        self.answer: defer.Deferred[Any] = defer.Deferred()
        self.effect = effect
        self.result: list[Any] = []

    def take_effect(self):
        if not self.result:
            self.result.append(self.effect())


class _Service:
    """A key-value service whose calls the test completes one by one."""

    def __init__(self):
        self.calls = []
        self.written = []
        document = dict.fromkeys(_PATHS, 0)
        first = version.next_version(None, document, "x", "first")
        self.entry = interface.Entry(b"", 0)
        self._write(version.encode(first), 0)

    def get(self, key):
        del key
        return self._call(lambda: self.entry)

    def put(self, key, value, expected):
        del key
        return self._call(lambda: self._write(value, expected))

    def _call(self, effect):
        self.calls.append(_Call(effect))
        return self.calls[-1].answer

    def _write(self, value, expected):
        if expected != self.entry.version:
            return interface.Conflict(self.entry)
        self.entry = interface.Entry(value, expected + 1)
        self.written.append(version.decode(value))
        return self.entry


class _Operator:
    """One apply: the path that it edits, and its outcome."""

    def __init__(self, service, identity, base, edit, options):
        self.identity = identity
        self.path = edit[0]
        self.outcome = None
        request = store.Request(
            base.document | dict([edit]),
            "x",
            identity,
            expect=base.version if options else None,
            rebase=options == "rebase",
        )
        applier = self.applier_class(service, lambda s: defer.succeed(None))
        running = defer.ensureDeferred(applier.apply(request))
        running.addCallback(self._record_outcome)

    applier_class = store.Applier

    def _record_outcome(self, outcome):
        self.outcome = outcome


class _Operators(stateful.RuleBasedStateMachine):
    """Operators whose files are based on versions of any age."""

    operator_class = _Operator

    @stateful.initialize()
    def start(self):
        self.service = _Service()
        self.operators = []

    @stateful.rule(
        edit=st.tuples(st.sampled_from(_PATHS), st.integers(1, 3)),
        options=st.sampled_from((None, "expect", "rebase")),
        age=st.integers(0, 3),
    )
    def begin(self, edit, options, age):
        written = self.service.written
        base = written[max(0, len(written) - 1 - age)]
        identity = f"apply-{len(self.operators)}"
        operator = self.operator_class(
            self.service, identity, base, edit, options
        )
        self.operators.append(operator)

    def _draw_call(self, data):
        calls = self.service.calls
        return calls[data.draw(st.integers(0, len(calls) - 1))]

    @stateful.precondition(lambda self: self.service.calls)
    @stateful.rule(data=st.data())
    def move_on(self, data):
        call = self._draw_call(data)
        call.take_effect()
        self._answer(call, call.result[0])

    @stateful.precondition(lambda self: self.service.calls)
    @stateful.rule(data=st.data())
    def take_effect_without_an_answer(self, data):
        self._draw_call(data).take_effect()

    @stateful.precondition(lambda self: self.service.calls)
    @stateful.rule(data=st.data())
    def run_into_the_timeout(self, data):
        call = self._draw_call(data)
        self._answer(call, interface.Unavailable("timeout"))

    def _answer(self, call, result):
        if not call.answer.called:
            call.answer.callback(result)
        if call.result:
            self.service.calls.remove(call)

    def teardown(self):
        while self.service.calls:
            call = self.service.calls[0]
            call.take_effect()
            self._answer(call, call.result[0])
        identities = [accepted.identity for accepted in self.service.written]
        assert len(set(identities)) == len(identities), "applied twice"
        for operator in self.operators:
            self._check_outcome(operator, identities)
        self._check_nothing_lost()

    def _check_outcome(self, operator, identities):
        match operator.outcome:
            case store.Applied(number, _, change):
                written = self.service.written[number - 1]
                if change.paths:
                    assert written.identity == operator.identity, "not applied"
            case conflicts.Conflict() | store.Unsettled(_, False):
                assert operator.identity not in identities, "applied after all"
            case outcome:
                assert isinstance(outcome, store.Unsettled)

    def _check_nothing_lost(self):
        edited = {o.identity: (o.path,) for o in self.operators}
        written = self.service.written
        for old, new in zip(written, written[1:], strict=False):
            changed = delta.diff(old.document, new.document).paths
            assert set(changed) <= {edited[new.identity]}, "a change was lost"
            assert new.version == old.version + 1


class _RetriesBlindly(store.Applier):
    """Fault: retries after any failure without looking for its own write."""

    def _resolve(self, request, stored):
        self._pending = None


class _IgnoresHistory(store.Applier):
    """Fault: does not check whether the files revert a recent change."""

    def _next_version(self, request, current):
        current = current and current._replace(history=())
        return super()._next_version(request, current)


def _run(applier, examples):
    operator = type("Operator", (_Operator,), {"applier_class": applier})
    machine = type("Operators", (_Operators,), {"operator_class": operator})
    settings = hypothesis.settings(
        max_examples=examples,
        stateful_step_count=30,
        phases=[hypothesis.Phase.generate],
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    stateful.run_state_machine_as_test(machine, settings=settings)


def test_each_outcome_is_correct_and_no_change_is_lost():
    _run(store.Applier, 300)


@pytest.mark.parametrize(
    ("fault", "message"),
    [
        (_RetriesBlindly, "applied twice|applied after all|not applied"),
        (_IgnoresHistory, "a change was lost"),
    ],
)
def test_the_state_machine_detects(fault, message):
    with pytest.raises(AssertionError, match=message):
        _run(fault, 1000)
