"""Requests for each model of late, as the planner is told of them."""

import math
from typing import NamedTuple

from azureline.relay import capacity
from azureline.relay import messages

# Demand is averaged over about this time: models rise within seconds, and a
# load pays within a second when a copy is at hand.
_MEMORY_S = 3.0
# What a node tells of requests there now holds for this long.
_WAITING_S = 1.2
# Aims of a model that nobody has asked for yet.
_UNKNOWN_AIMS = capacity.Aims(1.0, 0.0, 2.0)


class _Demand(NamedTuple):
    rate: float
    work: capacity.Work
    aims: capacity.Aims
    at: float
    last_at: float


class _Now(NamedTuple):
    """What one node told last, and when."""

    waiting: int
    under_way: int
    at: float


class DemandBook:
    """Requests for each model, of late."""

    def __init__(self):
        self._known: dict[str, _Demand] = {}
        self._now: dict[str, dict[str, _Now]] = {}

    def take(self, node: str, row: messages.ModelDemand, now: float) -> None:
        """Counts what one node tells of a model."""
        old = self._known.get(row.model)
        last_at = old.last_at if old else -math.inf
        aims = old.aims if old else _UNKNOWN_AIMS
        if row.arrived or row.waiting or row.refused:
            last_at = now
        if row.arrived:
            part = row.arrived / (
                row.arrived + _MEMORY_S * self.rate(row.model, now)
            )
            aims = _mixed(aims if old else _aims(row), _aims(row), part)
        added = capacity.Work(
            row.reading_ms / 1000, row.running_ms / 1000, row.adapted_ms / 1000
        )
        rate = self.rate(row.model, now) + row.arrived / _MEMORY_S
        work = self.work(row.model, now).plus(added.times(1 / _MEMORY_S))
        self._known[row.model] = _Demand(rate, work, aims, now, last_at)
        by_node = self._now.setdefault(row.model, {})
        by_node[node] = _Now(row.waiting + row.refused, row.under_way, now)

    def rate(self, model: str, now: float) -> float:
        """Returns requests a second."""
        known = self._known.get(model)
        return known.rate * _fading(known, now) if known else 0.0

    def work(self, model: str, now: float) -> capacity.Work:
        """Returns what requests for a model take, in seconds each second."""
        known = self._known.get(model)
        if known is None:
            return capacity.Work()
        return known.work.times(_fading(known, now))

    def each(self, model: str) -> capacity.Work:
        """Returns what one request for a model takes, in seconds."""
        known = self._known.get(model)
        if known is None or known.rate <= 0.0:
            return capacity.Work()
        return known.work.times(1 / known.rate)

    def aims(self, model: str) -> capacity.Aims:
        """Returns what the callers of a model put up with."""
        known = self._known.get(model)
        return known.aims if known else _UNKNOWN_AIMS

    def waiting(self, model: str, now: float) -> int:
        """Returns requests that wait for a model, or were just refused."""
        return sum(told.waiting for told in self._fresh(model, now))

    def under_way(self, model: str, now: float) -> int:
        """Returns requests that are at engines for a model."""
        return sum(told.under_way for told in self._fresh(model, now))

    def _fresh(self, model: str, now: float) -> list[_Now]:
        told = self._now.get(model, {}).values()
        return [t for t in told if t.at + _WAITING_S > now]

    def idle_s(self, model: str, now: float) -> float:
        """Returns seconds since a model was asked for."""
        known = self._known.get(model)
        return now - known.last_at if known else math.inf


def _aims(row: messages.ModelDemand) -> capacity.Aims:
    return capacity.Aims(
        row.target_ms / 1000, row.gap_ms / 1000, row.patience_ms / 1000
    )


def _mixed(
    old: capacity.Aims, new: capacity.Aims, part: float
) -> capacity.Aims:
    """Returns the mean of aims, with the part that the new ones have."""
    pairs = zip(old, new, strict=True)
    return capacity.Aims(*(o + (n - o) * part for o, n in pairs))


def _fading(known: _Demand, now: float) -> float:
    return math.exp(-max(0.0, now - known.at) / _MEMORY_S)
