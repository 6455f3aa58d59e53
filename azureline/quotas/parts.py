"""Builds the parts of one node that bound the requests of workspaces."""

from collections.abc import Callable
import random
from typing import Any

from azureline.core import clock as clocks
from azureline.metrics import counters as metrics
from azureline.quotas import client as clients
from azureline.quotas import ownership as ownerships
from azureline.quotas import service as services
from azureline.relay import peers as peers_lib
from azureline.relay import routes
from azureline.util import events


def build(
    reactor: Any,
    clock: clocks.Clock,
    rng: random.Random,
    peers: peers_lib.Peers,
    table: routes.RouteTable,
    confirmed_at: Callable[[], float],
    valid_s: float,
    counters: metrics.Counters,
    log: events.Log,
) -> tuple[clients.QuotaClient, services.QuotaService]:
    """Returns the client of the quota owners, and this node's own part of them.

    Args:
      reactor: the Twisted reactor.
      clock: monotonic clock that also advances while the VM is suspended.
      rng: spreads the times at which refused callers return.
      peers: the other nodes.
      table: the configuration in force.
      confirmed_at: returns the monotonic time in seconds at which the store
        last confirmed the nodes.
      valid_s: seconds after a confirmation during which no other node can have
        replaced this one as an owner.
      counters: counts decisions by outcome.
      log: receives a line for each refusal and each silent owner.
    """
    ownership = ownerships.Ownership(
        peers.own, peers.nodes, lambda: peers.is_listed, confirmed_at, valid_s
    )
    client = clients.QuotaClient(
        reactor, clock, rng, peers, ownership, table, counters, log
    )
    service = services.QuotaService(clock, peers, ownership, table, counters)
    return client, service
