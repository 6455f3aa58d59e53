"""Tests of the holder of one engine, without a network."""

import logging

from twisted.internet import defer

from azureline.metrics import counters as metrics
from azureline.relay import claims
from azureline.relay import holding
from azureline.relay import messages
from azureline.relay import uses
from azureline.util import events
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


def _holder(clock):
    tools = holding.Tools(
        reactor=clock,
        clock=clock,
        client=_SilentEngine(),
        read_tokens_per_s=38100.0,
        node="n1",
        counters=metrics.Counters(),
        log=events.Log(logging.getLogger("holding"), None),
        tell=lambda message: None,
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
