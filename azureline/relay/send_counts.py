"""Counts what this node sends to backend servers, by kind of call.

A backend server can limit the calls that it takes from all nodes together, and
it counts reports and orders as well as requests.
"""

import collections
import enum

from azureline.metrics import counters as metrics
from azureline.relay import server_limits
from azureline.relay import servers
from azureline.util import events

# Interval of the log lines about a server that names a limit.
_LOG_INTERVAL_S = 4.0


class Kind(enum.Enum):
    """Kind of a call to a backend server."""

    REQUEST = "request"
    REPORT = "report"
    ORDER = "order"


class SendCounts:
    """Calls that this node sent to each server that names a limit."""

    def __init__(
        self,
        limits: server_limits.ServerLimits,
        counters: metrics.Counters,
        log: events.Log,
    ):
        """Creates the counts without calls.

        Args:
          limits: the limits in force.
          counters: counts all calls by kind.
          log: event log; receives one line an interval and limited server.
        """
        self._counters = counters
        self._log = log
        self._limits = limits
        self._counts: collections.Counter[
            tuple[server_limits.Incarnation, Kind]
        ] = collections.Counter()
        self._logged_at = float("-inf")

    def record(self, server: servers.BackendServer, kind: Kind) -> None:
        """Counts a call that is sent to a server."""
        self._counters.count(f"sends.{kind.value}")
        if self._limits.get(server.incarnation) is not None:
            self._counts[(server.incarnation, kind)] += 1

    def write_log(self, now: float) -> None:
        """Logs the calls since the last line, if the interval has passed."""
        if now < self._logged_at + _LOG_INTERVAL_S:
            return
        self._logged_at = now
        counts, self._counts = self._counts, collections.Counter()
        for incarnation in sorted({key[0] for key in counts}):
            limit = self._limits.get(incarnation)
            self._log.info(
                "server_sends",
                server=incarnation[0],
                born_ms=incarnation[1],
                limit_per_s=limit.per_s if limit else None,
                interval_s=_LOG_INTERVAL_S,
                **{
                    f"{kind.value}s": counts[(incarnation, kind)]
                    for kind in Kind
                },
            )
