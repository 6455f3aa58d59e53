"""Plans which models each engine of a service holds.

One node plans at a time.  Its plans are advisory: the lease holder of an engine
checks each order against its own accounting of the engine's memory, so two
concurrent planners can waste loads but cannot overcommit an engine.

Gains and losses are counted in requests that are lost or late within the
planning horizon.  A model that no engine holds costs as much as its callers
lose by waiting for a load, so models whose callers can wait take turns in the
same memory.
"""

import math
from typing import NamedTuple

from azureline.relay import capacity
from azureline.relay import demand_history
from azureline.relay import engines as engines_lib
from azureline.relay import load_rate_limit
from azureline.relay import ranking
from azureline.relay import routes

# A model with a request within this time counts as in use.
_RECENT_USE_S = 5.0
# Minimum residence of a loaded model, so that two models do not evict each
# other in quick succession.
_MIN_RESIDENCE_S = 1.0
# Overhead of a load: from the request for a missing model until the load is
# ordered, and from the end of the load until nodes send requests.
_LOAD_OVERHEAD_S = 0.3
# Time after which all nodes should know of a replica that was placed.
_SETTLED_S = 3.0
# Planning horizon of gains and losses: demand shifts to other models within
# seconds.
_PLANNING_HORIZON_S = 4.0
# Loss of a request that waits for a load but is answered in time: it occupies
# its engine later than other requests do, and may still become late.
_DELAYED_LOSS = 0.1
# Weight of a request that no engine can serve, relative to one that is served,
# so that every model stays reachable.
_UNREACHABLE_WEIGHT = 4.0
# Numbers of additional replicas whose joint gain is evaluated.
_REPLICA_STEPS = (1, 2, 4)
# Share of a model's requests that are late because its only engine is gone or
# accepts no adapter orders.
_SINGLE_REPLICA_LOSS = 0.02
# Minimum gain of a replica: each load occupies its engine.
_MIN_GAIN = 0.2
# Minimum gain of a load from the weight store: it counts against the rate limit
# of the store and delays the engine's adapter loads for seconds.
_MIN_STORE_LOAD_GAIN = 1.0
# Minimum ratio of gain to loss for an eviction.
_MIN_GAIN_RATIO = 1.4
# Loss of evicting the last replica of an idle model, in requests: it may be
# requested again.  Decays with the time since its last request.
_IDLE_MODEL_LOSS = 0.3
# Loss of overwriting the only copy of a model on any disk, in requests.
_ONLY_COPY_LOSS = 0.4


class Move(NamedTuple):
    """A planned change of the models of one engine.

    Attributes:
      server_id: the engine.
      models: the models that the engine holds after the move: the loaded one
        first, the others by falling request rate.
      load: the model to load.
      victims: the models to evict.
      load_s: expected duration of the load, in seconds.
      busy_s: expected duration of the whole move, in seconds.
      gain: requests that the move saves.
      loss: requests that the move costs.
    """

    server_id: str
    models: tuple[str, ...]
    load: str
    victims: tuple[str, ...]
    load_s: float
    busy_s: float
    gain: float
    loss: float


class _ReplicaNeed(NamedTuple):
    """A model that needs one more replica, and the gain of that replica.

    Attributes:
      model: the model.
      later: requests saved within the planning horizon.
      waiting: weighted number of requests that wait for the model now.
    """

    model: str
    later: float
    waiting: float

    @property
    def gain(self) -> float:
        """Requests saved by a replica that is available immediately."""
        return self.later + self.waiting


class _Option(NamedTuple):
    """An engine on which a needed replica could be loaded.

    Attributes:
      net: gain less all costs, in requests.
      tie: breaks ties between equal options; the lowest wins.
      engine: the engine.
      victims: the models to evict there.
      load_s: expected duration of the load, in seconds.
      busy_s: expected duration of the unloads and the load, in seconds.
      gain: requests that the replica saves.
      loss: requests that the evictions cost.
    """

    net: float
    tie: float
    engine: engines_lib.EngineSnapshot
    victims: tuple[str, ...]
    load_s: float
    busy_s: float
    gain: float
    loss: float


class Planner:
    """Plans the moves of one service's engines, greedily by gain."""

    def __init__(
        self,
        kind: routes.EngineSpec,
        ceiling: load_rate_limit.LoadWindowLimit,
        now: float,
    ):
        """Creates a planner without demand.

        Args:
          kind: the properties of the service's engines and models.
          ceiling: limit of the platform on loads from the weight store.
          now: monotonic time in seconds.
        """
        self._kind = kind
        self.demand = demand_history.DemandHistory()
        self._load_rate_limit = load_rate_limit.LoadRateLimit(
            kind.loads_per_s, ceiling, now
        )
        self._placed_at: dict[tuple[str, str], float] = {}

    def set_kind(self, kind: routes.EngineSpec) -> None:
        """Applies the engine properties of a newer configuration."""
        self._kind = kind
        self._load_rate_limit.set_rate(kind.loads_per_s)

    def plan(
        self, engines: list[engines_lib.EngineSnapshot], now: float
    ) -> list[Move]:
        """Returns the moves to make now, at most one per engine."""
        engines = list(engines)
        moves: list[Move] = []
        self._placed_at = {
            key: at
            for key, at in self._placed_at.items()
            if at + _SETTLED_S > now
        }
        needs = self._replica_needs(engines, now)
        # Opportunity cost of one second of an engine's time.
        pressure = sum(n.gain for n in needs) / _PLANNING_HORIZON_S
        pressure /= max(1, len(engines))
        for need in needs:
            option = self._best_option(need, engines, pressure, now)
            if option is None or option.engine.free_s > 0:
                # A busy engine may be the best option; wait until it is free.
                continue
            if not self._may_load(need, option, now):
                continue
            move = self._move(need.model, option, now)
            moves.append(move)
            self._placed_at[(move.server_id, need.model)] = now
            engines = [
                e._replace(models=move.models, free_s=option.busy_s)
                if e.server_id == move.server_id
                else e
                for e in engines
            ]
        return moves

    def _may_load(
        self, need: _ReplicaNeed, option: _Option, now: float
    ) -> bool:
        if not _from_store(need.model, option.engine):
            return True
        return (
            need.gain >= _MIN_STORE_LOAD_GAIN
            and self._load_rate_limit.try_acquire(now)
        )

    def _move(self, model: str, option: _Option, now: float) -> Move:
        kept = [m for m in option.engine.models if m not in option.victims]
        kept.sort(key=lambda m: -self.demand.rate(m, now))
        return Move(
            option.engine.server_id,
            (model, *kept),
            model,
            option.victims,
            option.load_s,
            option.busy_s,
            option.gain,
            option.loss,
        )

    def _replica_needs(
        self, engines: list[engines_lib.EngineSnapshot], now: float
    ) -> list[_ReplicaNeed]:
        """Returns the models that need a replica, by falling gain."""
        fleet = engines_lib.FleetState(engines, self._kind, self.demand, now)
        needs = []
        for model in self._kind.models:
            replicas = fleet.sound.get(model, 0)
            max_more = len(engines) - fleet.replicas.get(model, 0)
            if max_more <= 0:
                continue
            if self.demand.idle_s(model, now) > _RECENT_USE_S:
                continue
            need = self._replica_need(model, replicas, max_more, fleet, now)
            if need.gain >= _MIN_GAIN:
                needs.append(need)
        return sorted(needs, key=lambda n: (-n.gain, n.model))

    def _replica_need(
        self,
        model: str,
        replicas: int,
        max_more: int,
        fleet: engines_lib.FleetState,
        now: float,
    ) -> _ReplicaNeed:
        """Returns the gain of one more replica.

        A single replica may gain nothing where the demand needs several, so
        the mean gain of several replicas counts too.
        """
        missed = self._expected_loss(model, replicas, fleet, now)
        later = max(
            (missed - self._expected_loss(model, replicas + n, fleet, now)) / n
            for n in _REPLICA_STEPS
            if n <= max_more
        )
        is_held = model in fleet.replicas
        cannot_reach = (
            not is_held
            or fleet.settled(model)
            and self._replicas_settled(model, now)
        )
        # Requests that wait although replicas are settled cannot reach them.
        waiting = self.demand.waiting(model, now) if cannot_reach else 0
        return _ReplicaNeed(
            model, max(0.0, later), waiting * _UNREACHABLE_WEIGHT
        )

    def _replicas_settled(self, model: str, now: float) -> bool:
        """Returns whether nodes should know of all placed replicas."""
        placed = [t for (_, m), t in self._placed_at.items() if m == model]
        return max(placed, default=-math.inf) + _SETTLED_S < now

    def _eviction_loss(
        self,
        model: str,
        replicas: int,
        fleet: engines_lib.FleetState,
        now: float,
    ) -> float:
        """Returns the loss of evicting one replica, in requests."""
        loss = self._expected_loss(model, replicas - 1, fleet, now)
        loss -= self._expected_loss(model, replicas, fleet, now)
        if replicas > 1:
            return max(0.0, loss)
        idle_s = self.demand.idle_s(model, now)
        recent = math.exp(-idle_s / _RECENT_USE_S) if idle_s < math.inf else 0.0
        waiting = self.demand.waiting(model, now)
        return (
            max(0.0, loss)
            + waiting * _UNREACHABLE_WEIGHT
            + _IDLE_MODEL_LOSS * recent
        )

    def _expected_loss(
        self,
        model: str,
        replicas: int,
        fleet: engines_lib.FleetState,
        now: float,
    ) -> float:
        """Returns the weighted requests lost with this number of replicas."""
        within = _PLANNING_HORIZON_S * self.demand.rate(model, now)
        lost = fleet.lost(model, max(1, replicas))
        if replicas > 1:
            return within * lost
        if replicas == 1:
            return within * (lost + _SINGLE_REPLICA_LOSS)
        return within * max(
            self._load_wait_loss(model), lost + _SINGLE_REPLICA_LOSS
        )

    def _load_wait_loss(self, model: str) -> float:
        """Returns the loss of one request that waits for a load from disk."""
        spec = self._kind.models.get(model)
        if spec is None:
            return 0.0  # The model was removed from the configuration.
        aims = self.demand.aims(model)
        ready_s = _LOAD_OVERHEAD_S + spec.disk_s
        if ready_s > aims.wait_limit_s:
            return 1.0
        return capacity.LATE_LOSS if ready_s > aims.target_s else _DELAYED_LOSS

    def _best_option(
        self,
        need: _ReplicaNeed,
        engines: list[engines_lib.EngineSnapshot],
        pressure: float,
        now: float,
    ) -> _Option | None:
        """Returns the option with the highest net gain, or None."""
        fleet = engines_lib.FleetState(engines, self._kind, self.demand, now)
        options = []
        for engine in engines:
            if need.model in engine.models or engine.limit_per_s < math.inf:
                continue
            option = self._option(need, engine, fleet, pressure, now)
            if option is not None:
                options.append(option)
        return max(options, key=lambda o: (o.net, -o.tie), default=None)

    def _option(
        self,
        need: _ReplicaNeed,
        engine: engines_lib.EngineSnapshot,
        fleet: engines_lib.FleetState,
        pressure: float,
        now: float,
    ) -> _Option | None:
        victims = self._victims(need.model, engine, fleet, now)
        if victims is None:
            return None
        loss = sum(loss for loss, _ in victims)
        names = tuple(name for _, name in victims)
        load_s = self._load_s(need.model, engine)
        unload_s = sum(fleet.unload_s(v) for v in names)
        busy_s = unload_s + load_s
        loss += unload_s * sum(
            self._unload_loss_rate(v, fleet, now) for v in names
        )
        gain = self._gain_after(need, engine.free_s + busy_s)
        if victims and loss * _MIN_GAIN_RATIO >= gain:
            return None
        net = gain - loss - busy_s * pressure
        net -= busy_s * self._adapter_delay_rate(engine, names, fleet, now)
        if _from_store(need.model, engine) and fleet.only_copy(
            engine, self._disk_capacity_models
        ):
            net -= _ONLY_COPY_LOSS
        tie = ranking.rendezvous_hash(need.model, engine.server_id)
        return _Option(net, tie, engine, names, load_s, busy_s, gain, loss)

    def _unload_loss_rate(
        self, model: str, fleet: engines_lib.FleetState, now: float
    ) -> float:
        """Returns the requests lost per second of an unload."""
        if fleet.replicas.get(model, 0) > 1:
            return 0.0
        return self.demand.rate(model, now) * capacity.LATE_LOSS

    def _gain_after(self, need: _ReplicaNeed, ready_s: float) -> float:
        """Returns the gain of a replica that is available after `ready_s`.

        Demand shifts to other models in the meantime, and callers leave; some
        of them retry.
        """
        left_s = self.demand.aims(need.model).wait_limit_s
        later = (
            need.later * _PLANNING_HORIZON_S / (_PLANNING_HORIZON_S + ready_s)
        )
        return later + need.waiting * left_s / (left_s + ready_s)

    def _victims(
        self,
        model: str,
        engine: engines_lib.EngineSnapshot,
        fleet: engines_lib.FleetState,
        now: float,
    ) -> list[tuple[float, str]] | None:
        """Returns (loss, model) of the models to evict.

        Returns:
          An empty list if the model fits without an eviction, None if no
          eviction frees enough memory.
        """
        missing_mb = self._size_mb(model) - self._kind.room_mb
        missing_mb += sum(self._size_mb(m) for m in engine.models)
        if missing_mb <= 0:
            return []
        evictable = sorted(
            (self._eviction_loss(m, fleet.replicas.get(m, 0), fleet, now), m)
            for m in engine.models
            if self._is_evictable(engine, m, now)
        )
        for loss, name in evictable:
            if self._size_mb(name) >= missing_mb:
                single = (loss, name)
                break
        else:
            single = None
        combined: list[tuple[float, str]] = []
        for loss, name in evictable:
            if missing_mb <= 0:
                break
            combined.append((loss, name))
            missing_mb -= self._size_mb(name)
        if missing_mb > 0:
            return [single] if single else None
        if single and single[0] <= sum(loss for loss, _ in combined):
            return [single]
        return combined

    def _size_mb(self, model: str) -> float:
        spec = self._kind.models.get(model)
        if spec is not None:
            return spec.size_mb
        # A model removed from the configuration still occupies its memory.
        return max((m.size_mb for m in self._kind.models.values()), default=0)

    def _adapter_delay_rate(
        self,
        engine: engines_lib.EngineSnapshot,
        victims: tuple[str, ...],
        fleet: engines_lib.FleetState,
        now: float,
    ) -> float:
        """Returns the request rate whose adapter loads a model load delays."""
        delayed_rate = 0.0
        for model in engine.models:
            spec = self._kind.models.get(model)
            if model in victims or spec is None or not spec.adapters:
                continue
            others = fleet.free_with(model) - 1
            work = self.demand.work(model, now)
            part = work.adapted / work.running if work.running else 0.0
            rate = self.demand.rate(model, now) * part
            delayed_rate += rate if others <= 0 else rate * 0.1 / others
        return delayed_rate

    @property
    def _disk_capacity_models(self) -> int:
        sizes = [m.size_mb for m in self._kind.models.values()]
        return int(self._kind.disk_mb // max(sizes)) if sizes else 0

    def _load_s(self, model: str, engine: engines_lib.EngineSnapshot) -> float:
        spec = self._kind.models[model]
        if model in engine.in_memory:
            return spec.memory_s
        return spec.disk_s if model in engine.on_disk else spec.store_s

    def _is_evictable(
        self, engine: engines_lib.EngineSnapshot, model: str, now: float
    ) -> bool:
        placed = self._placed_at.get((engine.server_id, model), -math.inf)
        return placed + _MIN_RESIDENCE_S <= now


def _from_store(model: str, engine: engines_lib.EngineSnapshot) -> bool:
    return model not in engine.in_memory and model not in engine.on_disk
