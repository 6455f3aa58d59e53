"""Services that all exchanges of one node share."""

from typing import Any
from typing import NamedTuple

from twisted.internet import task

from azureline.core import clock as clocks
from azureline.metrics import counters as metrics
from azureline.metrics import exposition
from azureline.quotas import client as quota_clients
from azureline.relay import crash_detection
from azureline.relay import crash_suspects
from azureline.relay import retry_budget as retry_budgets
from azureline.relay import routes
from azureline.relay import scheduler
from azureline.relay import send_counts
from azureline.relay import server_notices
from azureline.relay import stream_versions
from azureline.util import events
from azureline.util import http1_client
from azureline.util import memory_budget

# If the store answers, a process has its first configuration 0.05 s after it
# begins to listen.  A refusal with Retry-After would cost the caller more time.
_FIRST_CONFIG_WAIT_S = 0.25
_CONFIG_POLL_INTERVAL_S = 0.02


class ExchangeContext(NamedTuple):
    """Services that exchanges share.

    Attributes:
      reactor: the Twisted reactor.
      clock: source of time.
      client: HTTP client that owns the connections to backend servers.
      route_table: the routes.
      scheduler: scheduler that assigns requests to backend servers.
      retry_budget: retry budget.
      crash_detector: detects servers that crash or stop during requests.
      notices: processes server notices in the headers of answers.
      sends: counts the calls to backend servers.
      streams: finds the software version at which a stream began.
      body_budget: memory for the bodies of all requests.
      answer_budget: memory for what is held of all answers.
      crash_suspects: isolates requests that are suspected of crashing servers.
      quotas: charges requests to the quotas of their workspaces.
      counters: counts refusals and retries by reason.
      exposition: records latencies.
      log: event log; each decision writes one line.
    """

    reactor: Any
    clock: clocks.Clock
    client: http1_client.Client
    route_table: routes.RouteTable
    scheduler: scheduler.Scheduler
    retry_budget: retry_budgets.RetryBudget
    crash_detector: crash_detection.CrashDetector
    notices: server_notices.ServerNotices
    sends: send_counts.SendCounts
    streams: stream_versions.StreamVersions
    body_budget: memory_budget.MemoryBudget
    answer_budget: memory_budget.MemoryBudget
    crash_suspects: crash_suspects.CrashSuspects
    quotas: quota_clients.QuotaClient
    counters: metrics.Counters
    exposition: exposition.Exposition
    log: events.Log

    async def wait_for_configuration(self, started_at: float) -> None:
        """Waits up to `_FIRST_CONFIG_WAIT_S` for the first configuration.

        Args:
          started_at: monotonic time in seconds of the request's receipt.
        """
        give_up_at = started_at + _FIRST_CONFIG_WAIT_S
        while self.route_table.config is None and self.clock.now() < give_up_at:
            await task.deferLater(
                self.reactor, _CONFIG_POLL_INTERVAL_S, lambda: None
            )
