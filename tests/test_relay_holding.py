"""Tests of the holder of one engine, without a network."""

import json
import logging

from twisted.internet import defer

from azureline.metrics import counters as metrics
from azureline.relay import claims
from azureline.relay import eligibility
from azureline.relay import holding
from azureline.relay import messages
from azureline.relay import servers
from azureline.relay import uses
from azureline.util import events
from azureline.util import http1
from tests import builders_relay
from tests import builders_serving

# Askers take a holder that says nothing for so long to be gone.
ASKERS_WAIT_S = 0.6
TRAVEL_S = 0.02
# Holders look after their engines this often.
STEP_S = 0.2


class _SilentEngine:
    """Takes calls and answers none."""

    def fetch(self, address, request, timeout_s):
        return defer.Deferred()


class _ReportingEngine:
    """Answers each call for a report at once, with the same load."""

    def fetch(self, address, request, timeout_s):
        report = {
            "stage": "prefill_decode",
            "models": [{"name": "a", "version": 1, "adapters": []}],
            "born": 1,
            "busy": False,
            "sequence": 0,
            "queued_reqs": 0,
            "running_reqs": 3,
            "kv_used": 0,
            "kv_total": 1,
            "handles": 0,
        }
        head = http1.Head(200, b"OK", ())
        return defer.succeed(http1.Answer(head, json.dumps(report).encode()))


class _CountedEngine:
    """Counts calls, and answers none."""

    def __init__(self):
        self.calls = 0

    def fetch(self, address, request, timeout_s):
        self.calls += 1
        return defer.Deferred()


def _holder(clock, engine=None, told=None, pauses=None):
    tools = holding.Tools(
        reactor=clock,
        clock=clock,
        client=engine or _SilentEngine(),
        read_tokens_per_s=38100.0,
        node="n1",
        counters=metrics.Counters(),
        log=events.Log(logging.getLogger("holding"), None),
        tell=[].append if told is None else told.append,
        eligibility=pauses or eligibility.Eligibility(servers.Catalogue()),
        heard=lambda server, head: None,
    )
    return holding.EngineHolder(
        tools,
        builders_relay.server("e1", "a"),
        builders_relay.kind("a"),
        claims.Turn(7, 0.0),
        lambda: True,
    )


def test_a_wish_without_a_place_is_answered_while_its_asker_waits():
    clock = builders_serving.Clock()
    holder = _holder(clock)
    answers = []
    question = messages.EngineAsk(1, "e1", "a", "a1", 600, (), 200, 0)
    user = uses.User("127.0.0.1", 1, 1)
    holder.wish(question, user).addCallback(answers.append)
    while clock.now() < ASKERS_WAIT_S - TRAVEL_S - STEP_S:
        clock.advance(STEP_S)
        holder.step()
    assert answers and not answers[0].granted
    assert answers[0].reason == "no place"


def test_the_time_that_an_engine_reads_is_told_with_its_load():
    clock, told = builders_serving.Clock(), []
    holder = _holder(clock, _ReportingEngine(), told)
    user = uses.User("127.0.0.1", 1, 1)
    for ask in range(12):
        question = messages.EngineAsk(ask, "e1", "a", "", 9000, (), 5000, 0)
        holder.wish(question, user)
        for _ in range(2):
            clock.advance(STEP_S)
            holder.step()
    loads = [m for m in told if isinstance(m, messages.EngineLoad)]
    assert loads[-1].requests == 3
    # 9,000 tokens each 0.4 s at 38,100 a second, by a factor of 1.2.
    assert 50 <= loads[-1].reading_percent <= 90
    assert len(loads) <= 12 * 2 * STEP_S / 0.4, "With reports only."


def test_an_engine_that_asked_for_a_pause_gets_no_orders_and_no_questions():
    clock, engine = builders_serving.Clock(), _CountedEngine()
    pauses = eligibility.Eligibility(servers.Catalogue())
    holder = _holder(clock, engine, pauses=pauses)
    pauses.pause(holder.server, 3.0, clock.now())
    answers = []
    user = uses.User("127.0.0.1", 1, 1)
    question = messages.EngineAsk(1, "e1", "a", "a1", 10, (), 5000, 0)
    holder.wish(question, user).addCallback(answers.append)
    while clock.now() < 2.7:
        clock.advance(STEP_S)
        holder.step()
    assert engine.calls == 0
    assert (answers[0].granted, answers[0].reason) == (False, "engine pauses")
    assert 0 < answers[0].wait_s <= 3.0
    clock.advance(STEP_S)
    holder.step()
    assert engine.calls > 0
