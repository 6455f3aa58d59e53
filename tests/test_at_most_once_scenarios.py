"""Steps of the at-most-once scenarios, in simulated time."""

import pytest
import pytest_bdd
from pytest_bdd import parsers

from azureline.at_most_once import key as key_lib
from azureline.core import errors
from tests import builders_at_most_once

pytest_bdd.scenarios("features/at_most_once.feature")

NO_FAILURES = builders_at_most_once.Rates(
    lose_message=0.0,
    old_hint=0.0,
    duplicate_message=0.0,
    slow=0.0,
    lose_answer=0.0,
    not_started=0.0,
    no_answer=0.0,
)
CALLER = "plant"
BODY = b"approve"


@pytest.fixture
def keys():
    return {}


@pytest_bdd.given(
    "a slot with an owner and three entry nodes", target_fixture="world"
)
def _world():
    world = builders_at_most_once.Simulation(1, NO_FAILURES)
    world.end = 1e6
    world.add_owner().lease(1e6)
    world.run(1.0)
    return world


@pytest_bdd.given(parsers.parse("the ledger answers after {seconds:g} s"))
def _slow_ledger(world, seconds):
    world.run_s = seconds


@pytest_bdd.given("the ledger refuses the next request")
def _refusing_ledger(world):
    world.refuse_next = True


@pytest_bdd.given("the service's next answer is lost")
def _lose_answer(world):
    world.lose_next_answer = True


@pytest_bdd.given(
    parsers.parse("the service takes up the next write {seconds:g} s late")
)
def _delay_call(world, seconds):
    world.next_call_delay_s = seconds


@pytest_bdd.when("the owner drains")
def _drain(world):
    process = world.owners[-1]
    process.perform(process.owner.drain(process.now))
    world.run(world.now + 0.1)
    assert process.owner.drained


@pytest_bdd.when(
    parsers.re(
        r"the caller sends key (?P<name>\w) "
        r"(?P<other>with another body )?through node (?P<node>\w+)"
    )
)
def _send(world, keys, name, other, node):
    wall = builders_at_most_once.EPOCH_S + world.now
    key = keys.setdefault(name, key_lib.issue(wall, world.rng))
    body = b"reject" if other else BODY
    target = world.entries[node]
    target.deliver(0.0, target.submit, CALLER, key, body, 10.0)


@pytest_bdd.when(parsers.parse("{seconds:g} s pass"))
def _pass(world, seconds):
    world.run(world.now + seconds)


@pytest_bdd.when(parsers.parse("node {node} dies"))
def _node_dies(world, node):
    world.kill(world.entries[node])
    for owner in world.owners:
        owner.deliver(0.0, owner.lost, node)


@pytest_bdd.when("the owner dies")
def _owner_dies(world):
    world.owners[-1].dead = True


@pytest_bdd.when("a new owner takes over")
def _take_over(world):
    world.add_owner().lease(1e6)
    world.run(world.now + 0.5)


@pytest_bdd.when(parsers.parse("the owner freezes for {seconds:g} s"))
def _owner_freezes(world, seconds):
    world.owners[-1].frozen_until = world.now + seconds


@pytest_bdd.when(
    parsers.parse("node {node} freezes before it dispatches, for {seconds:g} s")
)
def _node_freezes(world, node, seconds):
    world.run(world.now)
    world.entries[node].frozen_until = world.now + seconds


@pytest_bdd.when(parsers.parse("the service goes down for {seconds:g} s"))
def _service_down(world, seconds):
    world.outage = world.now, world.now + seconds


@pytest_bdd.when("the lease ends")
def _lease_ends(world):
    world.owners[-1].lease(world.now)


def _replies(world, keys, name):
    identity = CALLER, keys[name]
    return [r.result for r in world.replies if r.identity == identity]


@pytest_bdd.then(parsers.parse("the ledger ran key {name} {count:d} times"))
def _ran(world, keys, name, count):
    assert len(world.runs[CALLER, keys[name]]) == count
    assert world.violations() == []


@pytest_bdd.then(
    parsers.parse("the last answer for key {name} is the ledger's first answer")
)
def _first_answer(world, keys, name):
    (run,) = world.runs[CALLER, keys[name]]
    assert _replies(world, keys, name)[-1] == run.answer


@pytest_bdd.then(
    parsers.parse(
        "{count:d} answers for key {name} are the ledger's first answer"
    )
)
def _first_answers(world, keys, name, count):
    (run,) = world.runs[CALLER, keys[name]]
    assert _replies(world, keys, name) == [run.answer] * count


@pytest_bdd.then(
    parsers.parse("the last answer for key {name} is {kind} with ran {ran}")
)
def _refusal(world, keys, name, kind, ran):
    refusal = _replies(world, keys, name)[-1]
    assert refusal.kind is errors.ErrorKind(kind)
    assert refusal.answer.ran is errors.Ran(ran)
