"""What all engines of a service hold and have to do."""

import math
from typing import NamedTuple

from azureline.relay import capacity
from azureline.relay import demand_book
from azureline.relay import routes

# Seconds that an unload takes while the model runs nothing.
_UNLOAD_S = 0.1


class EngineView(NamedTuple):
    """What the planner knows of an engine.

    Attributes:
      server_id: the engine.
      born_ms: Unix time of its start, or 0.
      domain: its failure domain.
      models: what it holds or is about to hold.
      in_memory: models of which its host memory has copies.
      on_disk: models of which its disk has copies.
      free_s: seconds until it can take another order about a model.
      requests: requests that run or wait there.
    """

    server_id: str
    born_ms: int
    domain: str
    models: tuple[str, ...]
    in_memory: tuple[str, ...] = ()
    on_disk: tuple[str, ...] = ()
    free_s: float = 0.0
    requests: int = 0


class Fleet:
    """What all engines hold and have to do."""

    def __init__(
        self,
        engines: list[EngineView],
        kind: routes.EngineKind,
        demand: demand_book.DemandBook,
        now: float,
    ):
        """Creates the view of one moment.

        Args:
          engines: the engines.
          kind: what they are like.
          demand: what callers ask for.
          now: monotonic time in seconds.
        """
        self._bounds = capacity.Bounds(kind.slots, kind.adapter_places)
        self._engines = max(1, len(engines))
        self._demand = demand
        self._work = {m: demand.work(m, now) for m in kind.models}
        self._under_way = {m: demand.under_way(m, now) for m in kind.models}
        self._total = capacity.Work()
        for work in self._work.values():
            self._total = self._total.plus(work)
        self.replicas = _replicas(engines)
        self.sound = _replicas([e for e in engines if not self._overloaded(e)])
        self._free: dict[str, int] = {}
        self._copies: dict[str, int] = {}
        for engine in engines:
            for model in engine.on_disk:
                self._copies[model] = self._copies.get(model, 0) + 1
            if engine.free_s <= 0:
                for model in engine.models:
                    self._free[model] = self._free.get(model, 0) + 1

    def lost(self, model: str, replicas: int) -> float:
        """Returns the part of a model's requests that replicas lose."""
        own = self._work.get(model, capacity.Work())
        beside = self._total.less(own).times(1 / self._engines)
        return capacity.lost_part(
            own.times(1 / replicas).plus(beside),
            self._demand.each(model),
            self._bounds,
            self._demand.aims(model),
        )

    def unload_s(self, model: str) -> float:
        """Returns seconds until the requests of a replica should have ended.

        The last of n requests with random ends takes the harmonic number of n
        times as long as one.
        """
        running = self._under_way.get(model, 0)
        running /= max(1, self.replicas.get(model, 1))
        each_s = self._demand.each(model).running
        return _UNLOAD_S + each_s * math.log1p(running)

    def settled(self, model: str) -> bool:
        """Returns whether no engine with a model has an order under way."""
        held = self.replicas.get(model, 0)
        return self._free.get(model, 0) == held

    def free_with(self, model: str) -> int:
        """Returns the engines with a model that can load adapters now."""
        return self._free.get(model, 0)

    def only_copy(self, engine: EngineView, places: int) -> bool:
        """Returns whether one more copy drops the last one of a model."""
        if len(engine.on_disk) < places:
            return False
        oldest = engine.on_disk[0]
        return self._copies.get(oldest, 0) <= 1

    def _overloaded(self, engine: EngineView) -> bool:
        """Returns whether an engine does not get on with its requests."""
        expected = sum(
            self._work[m].running / self.replicas[m]
            for m in engine.models
            if m in self._work
        )
        return capacity.is_overloaded(
            engine.requests, expected, self._bounds.slots
        )


def _replicas(engines: list[EngineView]) -> dict[str, int]:
    """Returns the number of engines by model that they hold."""
    counts: dict[str, int] = {}
    for engine in engines:
        for model in engine.models:
            counts[model] = counts.get(model, 0) + 1
    return counts
