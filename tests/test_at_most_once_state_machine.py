"""Stateful tests of owners and entry nodes with a failing service."""

import random

import hypothesis
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from azureline.at_most_once import key as key_lib
from azureline.at_most_once import owner
from tests import builders_at_most_once
from tests import test_at_most_once_histories

NODES = st.sampled_from(["e0", "e1", "e2"])
WALKS = 200
RATES = builders_at_most_once.Rates(old_hint=0.4)


class OnceMachine(stateful.RuleBasedStateMachine):
    """Simulation in which Hypothesis chooses the failures and their order."""

    owner_kind = owner.Owner

    @stateful.initialize(seed=st.integers(0, 1 << 16))
    def begin(self, seed):
        self.world = builders_at_most_once.Simulation(
            seed, owner_kind=self.owner_kind
        )
        self.world.end = 1e9
        self.lease_end = 0.0
        self.world.add_owner()
        self.keys = {}
        for index in range(2):
            self.make_key(index, 0.0)

    @stateful.rule(index=st.integers(0, 1), age_s=st.floats(0.0, 30.0))
    def make_key(self, index, age_s):
        wall = builders_at_most_once.EPOCH_S + self.world.now - age_s
        self.keys[index] = key_lib.issue(wall, self.world.rng)

    @stateful.rule(
        index=st.integers(0, 1),
        node=NODES,
        caller=st.sampled_from(["plant", "plant", "rival"]),
        content=st.sampled_from([b"body", b"body", b"other"]),
        budget_s=st.floats(0.2, 8.0),
    )
    def submit(self, index, node, caller, content, budget_s):
        target = self.world.entries[node]
        key = self.keys[index]
        target.deliver(0.0, target.submit, caller, key, content, budget_s)

    @stateful.rule(seconds=st.sampled_from([0.005, 0.02, 0.1, 0.5, 2.0, 9.0]))
    def advance(self, seconds):
        self.world.run(self.world.now + seconds)

    @stateful.rule(seconds=st.floats(0.1, 5.0))
    def lease(self, seconds):
        owner = self.world.owners[-1]
        self.lease_end = max(self.lease_end, self.world.now + seconds)
        owner.lease(self.lease_end)

    @stateful.rule()
    def take_over(self):
        self.world.run(max(self.world.now, self.lease_end))
        self.world.add_owner()

    @stateful.rule(node=NODES, seconds=st.floats(0.1, 12.0))
    def freeze_entry(self, node, seconds):
        self.world.entries[node].frozen_until = self.world.now + seconds

    @stateful.rule(index=st.integers(0, 3), seconds=st.floats(0.1, 12.0))
    def freeze_owner(self, index, seconds):
        owners = self.world.owners
        process = owners[-1 - index % len(owners)]
        process.frozen_until = self.world.now + seconds

    @stateful.rule(index=st.integers(0, 3), seconds=st.floats(0.1, 6.0))
    def cut_owner(self, index, seconds):
        owners = self.world.owners
        process = owners[-1 - index % len(owners)]
        process.partitioned_until = self.world.now + seconds

    @stateful.rule(node=NODES)
    def kill_entry(self, node):
        self.world.kill(self.world.entries[node])

    @stateful.invariant()
    def check_guarantees(self):
        if hasattr(self, "world"):
            assert self.world.violations() == []


SETTINGS = settings(max_examples=200, stateful_step_count=50)
OnceMachine.TestCase.settings = SETTINGS
TestOnce = OnceMachine.TestCase


def _walk(kind, seed):
    """Takes random steps that depend on the seed alone.

    Hypothesis would draw different examples depending on the loaded modules.
    """
    rng = random.Random(seed)
    machine = OnceMachine()
    machine.owner_kind = kind
    machine.begin(seed=seed)
    for _ in range(50):
        index = rng.randrange(2)
        node = rng.choice(["e0", "e1", "e2"])
        seconds = rng.uniform(0.1, 8.0)
        match rng.randrange(10):
            case 0:
                machine.make_key(index=index, age_s=rng.uniform(0.0, 30.0))
            case 1:
                machine.lease(seconds=seconds)
            case 2:
                machine.take_over()
            case 3:
                machine.freeze_entry(node=node, seconds=seconds)
            case 4:
                machine.freeze_owner(index=index, seconds=seconds)
            case 5:
                machine.cut_owner(index=index, seconds=seconds)
            case 6:
                machine.kill_entry(node=node)
            case 7:
                machine.advance(seconds=rng.choice([0.005, 0.1, 0.5, 2.0]))
            case _:
                machine.submit(
                    index=index,
                    node=node,
                    caller="plant",
                    content=b"body",
                    budget_s=seconds,
                )
        machine.check_guarantees()


def test_random_walks_keep_the_guarantees():
    for seed in range(WALKS):
        _walk(owner.Owner, seed)


@pytest.mark.parametrize(
    "faulty",
    [
        test_at_most_once_histories.GrantBeforeWrite,
        test_at_most_once_histories.TrustTheLease,
        test_at_most_once_histories.ForgetTheLog,
    ],
)
def test_random_walks_find_a_faulty_owner(faulty):
    with pytest.raises(AssertionError):
        for seed in range(WALKS):
            _walk(faulty, seed)


class FaultyMachine(OnceMachine):
    owner_kind = test_at_most_once_histories.GrantBeforeWrite


def test_the_machine_finds_a_grant_before_the_write():
    # Shrinking is off: the first example that shows the fault is enough.
    unshrunk = settings(
        SETTINGS, max_examples=3000, phases=[hypothesis.Phase.generate]
    )
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(FaultyMachine, settings=unshrunk)
