"""Recent requests for each model, as nodes report them to the planner."""

import math
from typing import NamedTuple

from azureline.relay import capacity
from azureline.relay import messages

# Time constant of the exponential average of demand: demand for a model rises
# within seconds, and a load pays off within a second if a copy is cached.
_AVERAGING_S = 3.0
# A node's report of waiting and in-flight requests is valid for this long.
_REPORT_VALID_S = 1.2
# Latency targets assumed for a model without requests so far.
_DEFAULT_AIMS = capacity.LatencyTargets(1.0, 0.0, 2.0)


class _Demand(NamedTuple):
    """Average demand for a model.

    Attributes:
      rate: requests per second, as of `at`.
      work: engine time in seconds per second, as of `at`.
      aims: mean latency targets of the callers.
      at: monotonic time in seconds of the last report.
      last_at: monotonic time in seconds of the last report that contained
        requests.
    """

    rate: float
    work: capacity.RequestLoad
    aims: capacity.LatencyTargets
    at: float
    last_at: float


class _NodeReport(NamedTuple):
    """Requests present at one node, as of its last report at time `at`."""

    waiting: int
    in_flight: int
    at: float


class DemandHistory:
    """Demand history of each model."""

    def __init__(self):
        self._known: dict[str, _Demand] = {}
        self._reports: dict[str, dict[str, _NodeReport]] = {}

    def record(self, node: str, row: messages.ModelDemand, now: float) -> None:
        """Records a node's report on a model.

        Args:
          node: address of the node.
          row: the report.
          now: monotonic time in seconds.
        """
        old = self._known.get(row.model)
        last_at = old.last_at if old else -math.inf
        aims = old.aims if old else _DEFAULT_AIMS
        if row.arrived or row.waiting or row.refused:
            last_at = now
        if row.arrived:
            weight = row.arrived / (
                row.arrived + _AVERAGING_S * self.rate(row.model, now)
            )
            aims = _weighted_mean(
                aims if old else _aims(row), _aims(row), weight
            )
        added = capacity.RequestLoad(
            row.reading_ms / 1000, row.running_ms / 1000, row.adapted_ms / 1000
        )
        rate = self.rate(row.model, now) + row.arrived / _AVERAGING_S
        work = self.work(row.model, now).plus(added.times(1 / _AVERAGING_S))
        self._known[row.model] = _Demand(rate, work, aims, now, last_at)
        by_node = self._reports.setdefault(row.model, {})
        by_node[node] = _NodeReport(
            row.waiting + row.refused, row.in_flight, now
        )

    def rate(self, model: str, now: float) -> float:
        """Returns the request rate of a model, per second."""
        known = self._known.get(model)
        return known.rate * _decay(known, now) if known else 0.0

    def work(self, model: str, now: float) -> capacity.RequestLoad:
        """Returns the engine time for a model, in seconds per second."""
        known = self._known.get(model)
        if known is None:
            return capacity.RequestLoad()
        return known.work.times(_decay(known, now))

    def work_per_request(self, model: str) -> capacity.RequestLoad:
        """Returns the mean engine time of one request, in seconds."""
        known = self._known.get(model)
        if known is None or known.rate <= 0.0:
            return capacity.RequestLoad()
        return known.work.times(1 / known.rate)

    def aims(self, model: str) -> capacity.LatencyTargets:
        """Returns the mean latency targets of a model's callers."""
        known = self._known.get(model)
        return known.aims if known else _DEFAULT_AIMS

    def waiting(self, model: str, now: float) -> int:
        """Returns the requests that wait for a model or were just refused."""
        return sum(report.waiting for report in self._valid_reports(model, now))

    def in_flight(self, model: str, now: float) -> int:
        """Returns the requests for a model that are in flight at engines."""
        return sum(
            report.in_flight for report in self._valid_reports(model, now)
        )

    def _valid_reports(self, model: str, now: float) -> list[_NodeReport]:
        reports = self._reports.get(model, {}).values()
        return [r for r in reports if r.at + _REPORT_VALID_S > now]

    def idle_s(self, model: str, now: float) -> float:
        """Returns the seconds since the last request for a model."""
        known = self._known.get(model)
        return now - known.last_at if known else math.inf


def _aims(row: messages.ModelDemand) -> capacity.LatencyTargets:
    return capacity.LatencyTargets(
        row.target_ms / 1000, row.gap_ms / 1000, row.wait_limit_ms / 1000
    )


def _weighted_mean(
    old: capacity.LatencyTargets, new: capacity.LatencyTargets, weight: float
) -> capacity.LatencyTargets:
    """Returns the weighted mean of targets; `weight` is that of `new`."""
    aim_pairs = zip(old, new, strict=True)
    return capacity.LatencyTargets(
        *(o + (n - o) * weight for o, n in aim_pairs)
    )


def _decay(known: _Demand, now: float) -> float:
    return math.exp(-max(0.0, now - known.at) / _AVERAGING_S)
