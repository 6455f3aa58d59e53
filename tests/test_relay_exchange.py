"""Tests of the handling of one request, without a network."""

import logging
import random

from azureline.core import errors
from azureline.metrics import counters as metrics
from azureline.relay import exchange
from azureline.relay import exchange_tools
from azureline.relay import routes
from azureline.util import events
from tests import builders_relay
from tests import builders_serving


class _ReceivedRequest:
    """A fake caller connection that records the refusal."""

    response_started = False

    def __init__(self):
        self.refusal = None

    def on_disconnect(self, callback):
        self.disconnect = callback

    def refuse(self, refusal):
        self.refusal = refusal


def _exchange():
    clock = builders_serving.Clock()
    tools = exchange_tools.Tools(
        reactor=clock,
        clock=clock,
        client=None,
        table=routes.RouteTable(random.Random(1)),
        places=None,
        repeats=None,
        endings=None,
        notices=None,
        suspicion=None,
        counters=metrics.Counters(),
        exposition=None,
        log=events.Log(logging.getLogger("exchange"), None),
    )
    received = _ReceivedRequest()
    return (
        tools,
        received,
        exchange.Exchange(tools, received, builders_relay.request()),
    )


def test_a_new_process_holds_requests_until_its_first_configuration():
    tools, received, one_exchange = _exchange()
    one_exchange.start()
    tools.reactor.advance(0.02)
    assert received.refusal is None
    tools.table.put_in_force(builders_relay.config(1))
    tools.reactor.advance(0.02)
    assert received.refusal.kind is errors.ErrorKind.NOT_FOUND


def test_a_process_without_a_configuration_refuses_within_300_ms():
    tools, received, one_exchange = _exchange()
    one_exchange.start()
    tools.reactor.pump([0.02] * 14)
    assert received.refusal.kind is errors.ErrorKind.NOT_READY
    assert tools.reactor.seconds() < 0.3


def test_a_disconnect_before_the_first_configuration_ends_the_request():
    tools, received, one_exchange = _exchange()
    done = one_exchange.start()
    received.disconnect()
    assert done.called
    assert not tools.reactor.getDelayedCalls()
