"""What the exchanges of one node share."""

from typing import Any
from typing import NamedTuple

from azureline.core import clock as clocks
from azureline.metrics import counters as metrics
from azureline.metrics import exposition
from azureline.relay import budget
from azureline.relay import endings
from azureline.relay import notices
from azureline.relay import places
from azureline.relay import routes
from azureline.relay import suspicion
from azureline.util import events
from azureline.util import http1


class Tools(NamedTuple):
    """What exchanges share.

    Attributes:
      reactor: the Twisted reactor.
      clock: source of time.
      client: owner of connections to backend servers.
      table: the routes.
      places: finds the servers of requests.
      repeats: bounds what is sent more than once.
      endings: tells servers that end under requests.
      notices: takes what servers say of themselves in answers.
      suspicion: keeps requests apart under which servers ended.
      counters: counts refusals and repeats by reason.
      exposition: takes latencies.
      log: takes a line for each decision.
    """

    reactor: Any
    clock: clocks.Clock
    client: http1.Client
    table: routes.RouteTable
    places: places.Places
    repeats: budget.RepeatBudget
    endings: endings.Endings
    notices: notices.Notices
    suspicion: suspicion.Suspicion
    counters: metrics.Counters
    exposition: exposition.Exposition
    log: events.Log
