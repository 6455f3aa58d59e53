"""Counts what callers ask this node for, and tells the planner."""

from collections.abc import Callable
from typing import Any

from twisted.internet import task

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
        self.refused = 0
        self.rank = _MOST_RANK


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

    def arrived(self, service: str, model: str, rank: int) -> None:
        """Counts a request."""
        row = self._row(service, model, rank)
        row.arrived += 1

    def waiting(self, service: str, model: str, rank: int, by: int) -> None:
        """Counts requests that begin (1) or cease (-1) to wait."""
        row = self._row(service, model, rank)
        row.waiting += by
        if by > 0 and (self._urgent is None or not self._urgent.active()):
            self._urgent = self._reactor.callLater(_URGENT_S, self.flush)

    def refused(self, service: str, model: str, rank: int) -> None:
        """Counts a request that was refused for want of its model."""
        self._row(service, model, rank).refused += 1

    def flush(self) -> None:
        """Sends the counts since the last message."""
        by_service: dict[str, list[messages.ModelDemand]] = {}
        for (service, model), row in list(self._rows.items()):
            by_service.setdefault(service, []).append(
                messages.ModelDemand(
                    service,
                    model,
                    row.arrived,
                    row.waiting,
                    row.refused,
                    row.rank,
                )
            )
            row.arrived = row.refused = 0
            row.rank = _MOST_RANK
            if not row.waiting:
                del self._rows[(service, model)]
        for service, rows in by_service.items():
            self._tell(service, messages.Demand(tuple(rows)))

    def _row(self, service: str, model: str, rank: int) -> _Row:
        row = self._rows.setdefault((service, model), _Row())
        row.rank = min(row.rank, rank)
        return row
