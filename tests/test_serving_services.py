"""Tests of calls to services."""

import collections
import random

import pytest

from azureline import requests
from azureline.backends import http
from azureline.callers import site
from azureline.core import errors
from azureline.fleet import directory as directories
from azureline.metrics import counters as metrics
from azureline.routing import breaker
from azureline.routing import retry
from azureline.serving import services
from tests import builders_directory
from tests import builders_serving

NOT_SENT = http.Failure("refused", False, True)
SENT = http.Failure("connection lost", True)
BUSY = http.Reply(503, "text/plain", b"busy", False)
OK = http.Reply(200, "text/plain", b"ok", True)


class _Servers:
    """Replies with each server's queued answers, by address, else `OK`."""

    def __init__(self):
        self.answers = {}
        self.calls = collections.Counter()

    async def call_service(self, url, method, body, headers, timeout_s):
        host = url.split("/")[2]
        self.calls[host] += 1
        queue = self.answers.get(host)
        return queue.pop(0) if queue else OK


class _World:
    def __init__(self, domains=("d1", "d1", "d2")):
        self.clock = builders_serving.Clock()
        self.servers = _Servers()
        self.counters = metrics.Counters()
        directory = directories.Directory("d1")
        directory.configure(builders_directory.configuration())
        for number, domain in enumerate(domains):
            vm = builders_directory.vm(f"ledger-{number}", domain, "ledger")
            directory.update_vm(vm._replace(host=f"h{number}", port=1))
        rng = random.Random(1)
        self.services = services.Services(
            self.clock,
            self.clock,
            directory,
            self.servers,
            breaker.Breakers(rng),
            retry.RetryPolicy(rng),
            self.counters,
            rng,
        )

    def run(self, waiting, seconds=5.0):
        results = []
        builders_serving.defer.ensureDeferred(waiting).addBoth(results.append)
        while not results and self.clock.now() < seconds:
            self.clock.advance(0.05)
        return results[0]


def _request(deadline=10.0):
    call = requests.ServiceCall(
        "r1",
        "plant-a",
        "approvals",
        "/lots",
        True,
        "",
        requests.Priority.NORMAL,
        deadline,
        b"c",
    )
    return site.ServiceRequest(call, "POST", "", b"{}")


@pytest.fixture(name="world")
def fixture_world():
    return _World()


def test_calls_are_distributed_over_near_servers(world):
    for _ in range(40):
        world.run(world.services.call_idempotent(_request()))
    assert set(world.servers.calls) == {"h0:1", "h1:1"}
    assert min(world.servers.calls.values()) > 8


def test_an_idempotent_call_is_retried_on_other_servers(world):
    for host in ("h0:1", "h1:1"):
        world.servers.answers[host] = [SENT]
    answer = world.run(world.services.call_idempotent(_request()))
    assert answer.body == b"ok"
    assert world.servers.calls == {"h0:1": 1, "h1:1": 1, "h2:1": 1}


def test_a_non_idempotent_call_is_not_retried_after_it_was_sent(world):
    for host in ("h0:1", "h1:1"):
        world.servers.answers[host] = [SENT]
    result = world.run(world.services.call_non_idempotent(_request()))
    assert isinstance(result, services.OutcomeUnknown)
    assert sum(world.servers.calls.values()) == 1


def test_a_non_idempotent_call_is_retried_while_no_server_started_it(world):
    world.servers.answers = {"h0:1": [NOT_SENT], "h1:1": [BUSY]}
    answer = world.run(world.services.call_non_idempotent(_request()))
    assert answer.body == b"ok"


def test_a_call_that_no_server_started_is_refused_as_not_run(world):
    world.servers.answers = {f"h{i}:1": [BUSY, BUSY] for i in range(3)}
    result = world.run(world.services.call_non_idempotent(_request()))
    assert isinstance(result, services.NotStarted)
    assert result.refusal.answer.ran is errors.Ran.NO


def test_nothing_is_sent_after_the_deadline(world):
    result = world.run(
        world.services.call_non_idempotent(_request(deadline=0.0))
    )
    assert isinstance(result, services.NotStarted)
    assert not world.servers.calls
