"""Counts what callers ask this node for, and tells the planner."""

from collections.abc import Callable
from typing import Any

from twisted.internet import task

from azureline.relay import capacity
from azureline.relay import messages

# Each message costs bytes between failure domains; demand moves in seconds.
_EVERY_S = 0.5
# A model that is missing is told at once, but not for each request.
_URGENT_S = 0.05
_MOST_RANK = 9


class _Row:
    def __init__(self):
        self.arrived = 0
        self.waiting = 0
        self.under_way = 0
        self.refused = 0
        self.rank = _MOST_RANK
        self.work = capacity.Work()
        self.aims: capacity.Aims | None = None

    def clear(self) -> None:
        """Forgets what was counted, but not what is there now."""
        waiting, under_way = self.waiting, self.under_way
        self.__init__()
        self.waiting, self.under_way = waiting, under_way


class DemandTeller:
    """Owns the counts of one node."""

    def __init__(
        self, reactor: Any, tell: Callable[[str, messages.Demand], None]
    ):
        """Creates a teller without counts.

        Args:
          reactor: the Twisted reactor.
          tell: sends a service's counts to its planner.
        """
        self._reactor = reactor
        self._tell = tell
        self._rows: dict[tuple[str, str], _Row] = {}
        self._urgent: Any = None
        self._loop = task.LoopingCall(self.flush)
        self._loop.clock = reactor

    def start(self) -> None:
        """Begins to tell."""
        self._loop.start(_EVERY_S, now=False)

    def close(self) -> None:
        """Stops telling."""
        if self._loop.running:
            self._loop.stop()
        if self._urgent is not None and self._urgent.active():
            self._urgent.cancel()

    def arrived(
        self,
        service: str,
        model: str,
        rank: int,
        work: capacity.Work,
        aims: capacity.Aims,
    ) -> None:
        """Counts a request.

        Args:
          service: the service that it goes to.
          model: its model.
          rank: its rank; 0 is the most urgent.
          work: seconds that it should take.
          aims: what its caller puts up with.
        """
        row = self._row(service, model, rank)
        row.arrived += 1
        row.work = row.work.plus(work)
        row.aims = _strictest(row.aims, aims)

    def waiting(self, service: str, model: str, rank: int, by: int) -> None:
        """Counts requests that begin (1) or cease (-1) to wait."""
        row = self._row(service, model, rank)
        row.waiting += by
        if by > 0 and (self._urgent is None or not self._urgent.active()):
            self._urgent = self._reactor.callLater(_URGENT_S, self.flush)

    def under_way(self, service: str, model: str, by: int) -> None:
        """Counts requests that go to an engine (1) or have ended (-1)."""
        self._row(service, model, _MOST_RANK).under_way += by

    def refused(self, service: str, model: str, rank: int) -> None:
        """Counts a request that was refused for want of its model."""
        self._row(service, model, rank).refused += 1

    def flush(self) -> None:
        """Sends the counts since the last message."""
        by_service: dict[str, list[messages.ModelDemand]] = {}
        for (service, model), row in list(self._rows.items()):
            told = by_service.setdefault(service, [])
            told.append(_message(service, model, row))
            row.clear()
            if not row.waiting and not row.under_way:
                del self._rows[(service, model)]
        for service, rows in by_service.items():
            self._tell(service, messages.Demand(tuple(rows)))

    def _row(self, service: str, model: str, rank: int) -> _Row:
        row = self._rows.setdefault((service, model), _Row())
        row.rank = min(row.rank, rank)
        return row


def _message(service: str, model: str, row: _Row) -> messages.ModelDemand:
    aims = row.aims or capacity.Aims(0.0, 0.0, 0.0)
    return messages.ModelDemand(
        service,
        model,
        row.arrived,
        row.waiting,
        row.under_way,
        row.refused,
        row.rank,
        *(round(seconds * 1000) for seconds in (*row.work, *aims)),
    )


def _strictest(old: capacity.Aims | None, new: capacity.Aims) -> capacity.Aims:
    """Returns the aims that satisfy both."""
    if old is None:
        return new
    gaps = [gap for gap in (old.gap_s, new.gap_s) if gap > 0.0]
    return capacity.Aims(
        min(old.target_s, new.target_s),
        min(gaps, default=0.0),
        min(old.patience_s, new.patience_s),
    )
