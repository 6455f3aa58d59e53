"""Services that all exchanges of one node share."""

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
    """Services that exchanges share.

    Attributes:
      reactor: the Twisted reactor.
      clock: source of time.
      client: HTTP client that owns the connections to backend servers.
      table: the routes.
      places: scheduler that assigns requests to backend servers.
      repeats: retry budget.
      endings: detects servers that crash or stop while they run requests.
      notices: processes server notices in the headers of answers.
      suspicion: isolates requests that are suspected of crashing servers.
      counters: counts refusals and retries by reason.
      exposition: records latencies.
      log: event log; each decision writes one line.
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
