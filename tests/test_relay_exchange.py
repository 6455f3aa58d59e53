"""Tests of the handling of one request, without a network."""

import logging
import random

from azureline.core import errors
from azureline.metrics import counters as metrics
from azureline.relay import exchange
from azureline.relay import exchange_context
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
    context = exchange_context.ExchangeContext(
        reactor=clock,
        clock=clock,
        client=None,
        route_table=routes.RouteTable(random.Random(1)),
        scheduler=None,
        retry_budget=None,
        crash_detector=None,
        notices=None,
        sends=None,
        streams=None,
        crash_suspects=None,
        counters=metrics.Counters(),
        exposition=None,
        log=events.Log(logging.getLogger("exchange"), None),
    )
    received = _ReceivedRequest()
    return (
        context,
        received,
        exchange.Exchange(context, received, builders_relay.request()),
    )


def test_a_new_process_holds_requests_until_its_first_configuration():
    context, received, one_exchange = _exchange()
    one_exchange.start()
    context.reactor.advance(0.02)
    assert received.refusal is None
    context.route_table.put_in_force(builders_relay.config(1))
    context.reactor.advance(0.02)
    assert received.refusal.kind is errors.ErrorKind.NOT_FOUND


def test_a_process_without_a_configuration_refuses_within_300_ms():
    context, received, one_exchange = _exchange()
    one_exchange.start()
    context.reactor.pump([0.02] * 14)
    assert received.refusal.kind is errors.ErrorKind.NOT_READY
    assert context.reactor.seconds() < 0.3


def test_a_disconnect_before_the_first_configuration_ends_the_request():
    context, received, one_exchange = _exchange()
    done = one_exchange.start()
    received.disconnect()
    assert done.called
    assert not context.reactor.getDelayedCalls()
