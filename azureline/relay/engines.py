"""The planner's model of a service's engines: replicas, load and copies."""

import math
from typing import NamedTuple

from azureline.relay import capacity
from azureline.relay import demand_history
from azureline.relay import routes

# Seconds that an unload takes while the model runs nothing.
_UNLOAD_S = 0.1


class EngineSnapshot(NamedTuple):
    """The planner's view of an engine.

    Attributes:
      server_id: ID of the engine.
      born_ms: Unix time in milliseconds at which the engine started, or 0.
      domain: the engine's failure domain.
      models: models that the engine holds or will hold after its current order.
      in_memory: models with a copy in host memory.
      on_disk: models with a copy on disk.
      free_s: seconds until the engine can accept another model order.
      requests: requests that are running or queued at the engine.
      limit_per_s: calls a second that the engine takes; infinite without a
        limit.
    """

    server_id: str
    born_ms: int
    domain: str
    models: tuple[str, ...]
    in_memory: tuple[str, ...] = ()
    on_disk: tuple[str, ...] = ()
    free_s: float = 0.0
    requests: int = 0
    limit_per_s: float = math.inf


class FleetState:
    """The engines of one service at one moment, with the demand on them."""

    def __init__(
        self,
        engines: list[EngineSnapshot],
        kind: routes.EngineSpec,
        demand: demand_history.DemandHistory,
        now: float,
    ):
        """Computes replica counts and load from the present state.

        Args:
          engines: the engines.
          kind: configuration of the engines.
          demand: demand history of the models.
          now: monotonic time in seconds.
        """
        self._bounds = capacity.Bounds(kind.slots, kind.adapter_places)
        self._engines = max(1, len(engines))
        self._demand = demand
        self._work = {m: demand.work(m, now) for m in kind.models}
        self._in_flight = {m: demand.in_flight(m, now) for m in kind.models}
        self._total = capacity.RequestLoad()
        for work in self._work.values():
            self._total = self._total.plus(work)
        self.replicas = _replicas(engines)
        self._rates = {m: demand.rate(m, now) for m in kind.models}
        self.sound = _replicas(
            [
                e
                for e in engines
                if not self._overloaded(e) and not self._beyond_limit(e)
            ]
        )
        self._free: dict[str, int] = {}
        self._copies: dict[str, int] = {}
        for engine in engines:
            for model in engine.on_disk:
                self._copies[model] = self._copies.get(model, 0) + 1
            if engine.free_s <= 0:
                for model in engine.models:
                    self._free[model] = self._free.get(model, 0) + 1

    def lost(self, model: str, replicas: int) -> float:
        """Returns the fraction of a model's requests that are lost.

        Args:
          model: the model.
          replicas: the number of replicas to assume, at least 1.
        """
        own = self._work.get(model, capacity.RequestLoad())
        others = self._total.minus(own).times(1 / self._engines)
        return capacity.lost_part(
            own.times(1 / replicas).plus(others),
            self._demand.work_per_request(model),
            self._bounds,
            self._demand.aims(model),
        )

    def unload_s(self, model: str) -> float:
        """Returns the expected seconds to unload one replica.

        The unload waits for the replica's requests.  The last of n requests
        with exponential run times takes H(n) times as long as one, where H(n)
        is the n-th harmonic number, approximated by ln(1 + n).
        """
        running = self._in_flight.get(model, 0)
        running /= max(1, self.replicas.get(model, 1))
        each_s = self._demand.work_per_request(model).running
        return _UNLOAD_S + each_s * math.log1p(running)

    def settled(self, model: str) -> bool:
        """Returns whether no engine with a model has an order in progress."""
        held = self.replicas.get(model, 0)
        return self._free.get(model, 0) == held

    def free_with(self, model: str) -> int:
        """Returns the number of engines with a model that can load adapters."""
        return self._free.get(model, 0)

    def only_copy(self, engine: EngineSnapshot, places: int) -> bool:
        """Returns whether one more copy evicts the only disk copy of a model.

        Args:
          engine: the engine whose disk gets the copy.
          places: number of copies that the disk holds.
        """
        if len(engine.on_disk) < places:
            return False
        oldest = engine.on_disk[0]
        return self._copies.get(oldest, 0) <= 1

    def _beyond_limit(self, engine: EngineSnapshot) -> bool:
        """Returns whether an engine's limit is below the demand on it."""
        demanded = sum(
            self._rates[m] / self.replicas[m]
            for m in engine.models
            if m in self._rates
        )
        return demanded > engine.limit_per_s

    def _overloaded(self, engine: EngineSnapshot) -> bool:
        """Returns whether an engine has more requests than expected."""
        expected = sum(
            self._work[m].running / self.replicas[m]
            for m in engine.models
            if m in self._work
        )
        return capacity.is_overloaded(
            engine.requests, expected, self._bounds.slots
        )


def _replicas(engines: list[EngineSnapshot]) -> dict[str, int]:
    """Returns the number of engines that hold each model."""
    counts: dict[str, int] = {}
    for engine in engines:
        for model in engine.models:
            counts[model] = counts.get(model, 0) + 1
    return counts
