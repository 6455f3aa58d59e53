"""Tests of the task that connects an owner to the service."""

import random

import pytest
from twisted.internet import defer
from twisted.internet import task

from azureline.at_most_once import messages
from azureline.at_most_once import runner
from azureline.core import clock as clock_lib
from azureline.platform import interface
from tests import builders_at_most_once

claim = builders_at_most_once.claim
outcome = builders_at_most_once.outcome


class KeyValue:
    """Answers immediately, or fails writes while `down`."""

    def __init__(self):
        self.service = builders_at_most_once.Service()
        self.down = False

    def get(self, key):
        return defer.succeed(self.service.get(key))

    def put(self, key, value, version, lease_id=""):
        if self.down:
            return defer.fail(ConnectionError("refused"))
        return defer.succeed(self.service.put(key, value, version))


class Harness:
    """Runners on a simulated reactor."""

    def __init__(self):
        self.reactor = task.Clock()
        self.clock = clock_lib.ManualClock(100.0)
        self.rng = random.Random(1)
        self.key_value = KeyValue()
        self.sent = []
        self.deposed = []
        self.counts = []

    def start(self, epoch):
        new_runner = runner.Runner(
            0,
            epoch,
            f"writer{epoch}",
            self.key_value,
            lambda node, message: self.sent.append((node, message)),
            self.deposed.append,
            self.counts.append,
            self.clock,
            self.reactor,
            self.rng,
        )
        new_runner.start()
        return new_runner

    def advance(self, seconds, steps=100):
        for _ in range(steps):
            self.clock.advance(seconds / steps)
            self.reactor.advance(seconds / steps)

    def claim(self, request_id="r1"):
        wall = self.clock.wall()
        return claim(
            builders_at_most_once.key_lib.issue(wall, self.rng), request_id
        )


@pytest.fixture
def harness():
    return Harness()


def test_a_claim_is_granted_and_counted(harness):
    owner = harness.start(1)
    owner.post(harness.claim())
    assert harness.sent == [("e0", messages.Granted(0, "r1", 1))]
    assert harness.counts == ["once.granted"]


def test_a_service_that_fails_gives_a_refusal_within_a_second(harness):
    owner = harness.start(1)
    owner.post(runner.Lease(harness.clock.now() + 10.0))
    harness.key_value.down = True
    owner.post(harness.claim())
    harness.advance(1.0)
    assert "once.write_unanswered" in harness.counts
    assert "once.refused.platform_unavailable" in harness.counts
    ((_, refused),) = harness.sent
    assert refused.ran == "no"
    harness.key_value.down = False
    harness.advance(10.0)
    owner.post(harness.claim("r2"))
    assert harness.sent[-1][1] == messages.Granted(0, "r2", 1)


def test_a_successor_deposes_the_old_runner(harness):
    old = harness.start(1)
    new = harness.start(2)
    old.post(harness.claim())
    assert harness.deposed == [0]
    assert harness.sent[-1][1] == messages.NotOwner(0, "r1")
    new.post(harness.claim("r2"))
    assert harness.sent[-1][1] == messages.Granted(0, "r2", 1)


def test_draining_reports_when_the_outcomes_are_written(harness):
    owner = harness.start(1)
    sent = harness.claim()
    owner.post(sent)
    owner.post(outcome(sent))
    drained = []
    owner.post(runner.Drain(drained.append))
    harness.advance(0.1)
    assert drained == [0]
    assert harness.sent[-1][1] == messages.OutcomeTaken(0, "r1", 1)
    owner.stop()
    assert harness.reactor.getDelayedCalls() == []


def test_a_lost_node_leaves_the_outcome_unknown(harness):
    owner = harness.start(1)
    sent = harness.claim()
    owner.post(sent)
    owner.post(sent._replace(request_id="r2", node="e1"))
    owner.post(runner.NodeLost("e0"))
    node, refused = harness.sent[-1]
    assert (node, refused.ran) == ("e1", "unknown")


def test_an_unanswered_read_is_repeated(harness):
    get = harness.key_value.get
    lost = defer.succeed(interface.Unavailable("timeout"))
    harness.key_value.get = lambda key: lost
    owner = harness.start(1)
    assert not owner.active
    harness.key_value.get = get
    harness.advance(5.0)
    assert owner.active


@pytest.mark.parametrize("seed", range(8))
def test_claims_are_granted_within_a_second_after_an_outage(harness, seed):
    harness.rng = random.Random(seed)
    owner = harness.start(1)
    harness.key_value.down = True
    owner.post(harness.claim())
    harness.advance(30.0)
    harness.key_value.down = False
    harness.advance(1.1)
    owner.post(harness.claim("r2"))
    assert harness.sent[-1][1] == messages.Granted(0, "r2", 1)
