"""Counts the requests for each model at this node and reports them."""

from collections.abc import Callable
from typing import Any

from twisted.internet import task

from azureline.relay import capacity
from azureline.relay import messages

# Interval of reports. Each report uses bandwidth between failure domains, and
# demand changes within seconds.
_REPORT_INTERVAL_S = 0.5
# Delay of the report about a request that starts to wait; the delay combines
# several such requests in one report.
_URGENT_DELAY_S = 0.05
_MAX_RANK = 9


class _Row:
    """Counts of one model since the last report."""

    def __init__(self):
        self.arrived = 0
        self.waiting = 0
        self.in_flight = 0
        self.refused = 0
        self.rank = _MAX_RANK
        self.work = capacity.RequestLoad()
        self.aims: capacity.LatencyTargets | None = None

    def clear(self) -> None:
        """Resets the counts, but keeps the requests waiting or in flight."""
        waiting, in_flight = self.waiting, self.in_flight
        self.__init__()
        self.waiting, self.in_flight = waiting, in_flight


class DemandReporter:
    """Counts one node's demand and reports it to the planners."""

    def __init__(
        self, reactor: Any, send_report: Callable[[str, messages.Demand], None]
    ):
        """Creates a reporter without counts.

        Args:
          reactor: the Twisted reactor.
          send_report: sends a service's counts to its planner.
        """
        self._reactor = reactor
        self._send_report = send_report
        self._rows: dict[tuple[str, str], _Row] = {}
        self._urgent_report: Any = None
        self._report_loop = task.LoopingCall(self.flush)
        self._report_loop.clock = reactor

    def start(self) -> None:
        """Starts the periodic reports."""
        self._report_loop.start(_REPORT_INTERVAL_S, now=False)

    def close(self) -> None:
        """Stops all reports."""
        if self._report_loop.running:
            self._report_loop.stop()
        if self._urgent_report is not None and self._urgent_report.active():
            self._urgent_report.cancel()

    def record_arrival(
        self,
        service: str,
        model: str,
        rank: int,
        load: capacity.RequestLoad,
        targets: capacity.LatencyTargets,
    ) -> None:
        """Counts a request that arrived.

        Args:
          service: the service that it goes to.
          model: its model.
          rank: its rank; 0 is the most urgent.
          load: expected engine time of the request, in seconds.
          targets: latency targets of its caller.
        """
        row = self._row(service, model, rank)
        row.arrived += 1
        row.work = row.work.plus(load)
        row.aims = _strictest(row.aims, targets)

    def add_waiting(self, service: str, model: str, rank: int, by: int) -> None:
        """Counts a request that starts (1) or stops (-1) waiting."""
        row = self._row(service, model, rank)
        row.waiting += by
        if by > 0 and (
            self._urgent_report is None or not self._urgent_report.active()
        ):
            self._urgent_report = self._reactor.callLater(
                _URGENT_DELAY_S, self.flush
            )

    def add_in_flight(self, service: str, model: str, by: int) -> None:
        """Counts a request that is sent to an engine (1) or has ended (-1)."""
        self._row(service, model, _MAX_RANK).in_flight += by

    def record_refusal(self, service: str, model: str, rank: int) -> None:
        """Counts a request refused because its model is unavailable."""
        self._row(service, model, rank).refused += 1

    def flush(self) -> None:
        """Sends the counts since the last report."""
        by_service: dict[str, list[messages.ModelDemand]] = {}
        for (service, model), row in list(self._rows.items()):
            rows = by_service.setdefault(service, [])
            rows.append(_message(service, model, row))
            row.clear()
            if not row.waiting and not row.in_flight:
                del self._rows[(service, model)]
        for service, service_rows in by_service.items():
            self._send_report(service, messages.Demand(tuple(service_rows)))

    def _row(self, service: str, model: str, rank: int) -> _Row:
        row = self._rows.setdefault((service, model), _Row())
        row.rank = min(row.rank, rank)
        return row


def _message(service: str, model: str, row: _Row) -> messages.ModelDemand:
    aims = row.aims or capacity.LatencyTargets(0.0, 0.0, 0.0)
    return messages.ModelDemand(
        service,
        model,
        row.arrived,
        row.waiting,
        row.in_flight,
        row.refused,
        row.rank,
        *(round(seconds * 1000) for seconds in (*row.work, *aims)),
    )


def _strictest(
    old: capacity.LatencyTargets | None, new: capacity.LatencyTargets
) -> capacity.LatencyTargets:
    """Returns the stricter value of each latency target."""
    if old is None:
        return new
    gaps = [gap for gap in (old.max_gap_s, new.max_gap_s) if gap > 0.0]
    return capacity.LatencyTargets(
        min(old.target_s, new.target_s),
        min(gaps, default=0.0),
        min(old.wait_limit_s, new.wait_limit_s),
    )
