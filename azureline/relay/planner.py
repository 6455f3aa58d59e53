"""Which engines shall hold which models.

One node plans at a time.  Its plans are advice: an engine's holder decides
each order by its own book, so two planners can waste loads but break nothing.
"""

import math
from typing import NamedTuple

from azureline.relay import messages
from azureline.relay import placement
from azureline.relay import routes

# Demand is averaged over about this time: models rise within seconds, and a
# load pays within a second when a copy is at hand.
_MEMORY_S = 3.0
# What a node tells of waiting requests holds for this long.
_WAITING_S = 1.2
# A model that was asked for within this time is in use.
_IN_USE_S = 5.0
# A model stays at least this long, so that two do not take turns.
_STAY_S = 1.0
# Part of all places that models in demand may fill with extra replicas.
_SPREAD = 0.75
# An engine with this part of its slots taken gives no more good service: it
# is slow, or its models need more replicas.
_CROWDED_PART = 0.35
# Seconds that an unload takes while the model runs nothing.
_UNLOAD_S = 0.1
# Requests a second that one replica serves without a queue.
_COMFORT_RATE = 4.0
# Replicas are wanted so that none has more requests a second than this.
_REPLICA_RATE = 2.0
# Gains and losses are requests within this time: demand moves on after some
# seconds.
_HORIZON_S = 4.0
# A request on a crowded engine is late rather than lost.
_SPREAD_WORTH = 0.5
# A model that nobody asked for just now may be asked for again.
_RECENT = 0.3
# A load from the weight store must bring this much: it costs one there and
# holds up the engine's adapters for seconds.
_STORE_GAIN = 1.0
# Part of the requests for a model with adapters that name one which the
# engine does not hold yet.
_ADAPTER_PART = 0.3
# Loads that a window allows beside its rate (the platform's rule).
_SPARE_LOADS = 3.0
# Loss of the only copy on any disk, in requests.
_ONLY_COPY = 0.4


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


class _Demand(NamedTuple):
    rate: float
    at: float
    last_at: float


class _Waiting(NamedTuple):
    count: int
    at: float


class DemandBook:
    """Requests for each model, of late."""

    def __init__(self):
        self._rates: dict[str, _Demand] = {}
        self._waiting: dict[str, dict[str, _Waiting]] = {}

    def take(self, node: str, row: messages.ModelDemand, now: float) -> None:
        """Counts what one node tells of a model."""
        asked = row.arrived + row.refused
        old = self._rates.get(row.model)
        last_at = old.last_at if old else -math.inf
        if asked or row.waiting:
            last_at = now
        rate = self._faded(row.model, now) + asked / _MEMORY_S
        self._rates[row.model] = _Demand(rate, now, last_at)
        by_node = self._waiting.setdefault(row.model, {})
        by_node[node] = _Waiting(row.waiting + row.refused, now)

    def rate(self, model: str, now: float) -> float:
        """Returns requests a second."""
        return self._faded(model, now)

    def waiting(self, model: str, now: float) -> int:
        """Returns requests that wait for a model, or were just refused."""
        told = self._waiting.get(model, {}).values()
        return sum(w.count for w in told if w.at + _WAITING_S > now)

    def idle_s(self, model: str, now: float) -> float:
        """Returns seconds since a model was asked for."""
        known = self._rates.get(model)
        return now - known.last_at if known else math.inf

    def _faded(self, model: str, now: float) -> float:
        known = self._rates.get(model)
        if known is None:
            return 0.0
        return known.rate * math.exp(-max(0.0, now - known.at) / _MEMORY_S)


class Ceiling(NamedTuple):
    """Bound on loads from the weight store, over all engines.

    Attributes:
      window_s: seconds of the sliding window.
      over: factor on the rate that a window may have.
    """

    window_s: float
    over: float


class LoadAllowance:
    """Loads from the weight store that may begin, over all engines."""

    def __init__(self, per_s: float, ceiling: Ceiling, now: float):
        """Creates an allowance that a predecessor has just used up."""
        self._ceiling = ceiling
        self.set_rate(per_s)
        self._tokens = min(1.0, self._burst)
        self._at = now

    def set_rate(self, per_s: float) -> None:
        """Takes the rate of a newer configuration."""
        self._per_s = per_s
        # What a window allows beyond the rate, less one load that a holder
        # begins a little later than it was planned.
        spare = per_s * self._ceiling.window_s * (self._ceiling.over - 1.0)
        self._burst = max(1.0, _SPARE_LOADS + spare - 1.0)

    def spend(self, now: float) -> bool:
        """Takes one load; False if it must wait."""
        grown = self._tokens + (now - self._at) * self._per_s
        self._tokens = min(self._burst, grown)
        self._at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class Move(NamedTuple):
    """A plan for one engine.

    Attributes:
      server_id: the engine.
      models: what it shall hold, the most wanted first.
      load: the model that is new there.
      victim: the model that makes room, or "".
      load_s: seconds that the load takes.
    """

    server_id: str
    models: tuple[str, ...]
    load: str
    victim: str
    load_s: float


class _Option(NamedTuple):
    cost: float
    tie: float
    engine: EngineView
    victim: str
    load_s: float


class Planner:
    """Plans one move after another."""

    def __init__(self, kind: routes.EngineKind, ceiling: Ceiling, now: float):
        """Creates a planner of one service's engines."""
        self._kind = kind
        self.demand = DemandBook()
        self._allowance = LoadAllowance(kind.loads_per_s, ceiling, now)
        self._placed_at: dict[tuple[str, str], float] = {}

    def set_kind(self, kind: routes.EngineKind) -> None:
        """Takes what a newer configuration says of engines."""
        self._kind = kind
        self._allowance.set_rate(kind.loads_per_s)

    @property
    def places(self) -> int:
        """Models of the largest size that an engine holds."""
        sizes = [m.size_mb for m in self._kind.models.values()]
        adapters = [m.adapter_mb for m in self._kind.models.values()]
        if not sizes:
            return 0
        room = self._kind.memory_mb
        room -= max(adapters) * self._kind.adapter_places
        return max(1, int(room // max(sizes)))

    def plan(self, engines: list[EngineView], now: float) -> list[Move]:
        """Returns the moves to make now, at most one an engine."""
        engines = list(engines)
        moves: list[Move] = []
        for gain, model in self._wanted(engines, now):
            option = self._best(model, gain, engines, now)
            if option is None or option.engine.free_s > 0:
                # An engine that is busy may still be the soonest.
                continue
            if not self._affordable(model, gain, option, now):
                continue
            move = self._move(model, option, now)
            moves.append(move)
            self._placed_at[(move.server_id, model)] = now
            engines = [
                e._replace(models=move.models, free_s=option.load_s)
                if e.server_id == move.server_id
                else e
                for e in engines
            ]
        return moves

    def _affordable(
        self, model: str, gain: float, option: _Option, now: float
    ) -> bool:
        if not _from_store(model, option.engine):
            return True
        return gain >= _STORE_GAIN and self._allowance.spend(now)

    def _move(self, model: str, option: _Option, now: float) -> Move:
        kept = [m for m in option.engine.models if m != option.victim]
        kept.sort(key=lambda m: -self.demand.rate(m, now))
        return Move(
            option.engine.server_id,
            (model, *kept[: self.places - 1]),
            model,
            option.victim,
            option.load_s,
        )

    def _wanted(
        self, engines: list[EngineView], now: float
    ) -> list[tuple[float, str]]:
        """Returns (gain, model) of replicas that lack, the best first."""
        counts = _replicas(engines, int(self._kind.slots * _CROWDED_PART))
        total = sum(self.demand.rate(m, now) for m in self._kind.models)
        places = self.places * len(engines)
        short = []
        for model in self._kind.models:
            have = counts.get(model, 0)
            want = min(self._target(model, total, places, now), len(engines))
            if have < want:
                short.append((self._gain(model, have, now), model))
        return sorted(short, key=lambda pair: (-pair[0], pair[1]))

    def _target(self, model: str, total: float, places: int, now: float) -> int:
        """Returns the replicas that a model should have."""
        if self.demand.idle_s(model, now) > _IN_USE_S:
            return 0
        rate = self.demand.rate(model, now)
        part = rate / total if total > 0 else 0.0
        by_share = round(part * places * _SPREAD)
        by_rate = math.ceil(rate / _REPLICA_RATE)
        return max(1, min(by_share, by_rate))

    def _gain(self, model: str, have: int, now: float) -> float:
        """Returns what one more replica brings, in requests."""
        rate = self.demand.rate(model, now)
        if have == 0:
            waiting = self.demand.waiting(model, now)
            return waiting + _HORIZON_S * rate
        crowd = min(1.0, rate / have / _COMFORT_RATE)
        return _SPREAD_WORTH * _HORIZON_S * rate / (have + 1) * crowd

    def _loss(self, model: str, have: int, now: float) -> float:
        """Returns what a replica is worth, in requests."""
        rate = self.demand.rate(model, now)
        if have > 1:
            crowd = min(1.0, rate / (have - 1) / _COMFORT_RATE)
            return _SPREAD_WORTH * _HORIZON_S * rate / have * crowd
        idle_s = self.demand.idle_s(model, now)
        recent = math.exp(-idle_s / _IN_USE_S) if idle_s < math.inf else 0.0
        waiting = self.demand.waiting(model, now)
        return _HORIZON_S * rate + waiting + _RECENT * recent

    def _best(
        self, model: str, gain: float, engines: list[EngineView], now: float
    ) -> _Option | None:
        """Returns the option that brings a replica soonest at least loss."""
        fleet = _Fleet(engines)
        options = []
        for engine in engines:
            if model in engine.models:
                continue
            option = self._option(model, engine, fleet, gain, now)
            if option is not None:
                options.append(option)
        return min(options, key=lambda o: (o.cost, o.tie), default=None)

    def _option(
        self,
        model: str,
        engine: EngineView,
        fleet: "_Fleet",
        gain: float,
        now: float,
    ) -> _Option | None:
        victim, loss = "", 0.0
        if len(engine.models) >= self.places:
            fit = [
                (self._loss(m, fleet.replicas.get(m, 0), now), m)
                for m in engine.models
                if self._may_go(engine, m, now)
            ]
            if not fit:
                return None
            loss, victim = min(fit)
            if loss >= 0.7 * gain:
                return None
        load_s = self._load_s(model, engine)
        ready_s = engine.free_s + load_s + (_UNLOAD_S if victim else 0.0)
        cost = ready_s * gain / _HORIZON_S + loss
        cost += load_s * self._held_up(engine, victim, fleet, now)
        if _from_store(model, engine) and fleet.only_copy(
            engine, self._disk_places
        ):
            cost += _ONLY_COPY
        tie = placement.rank(model, engine.server_id)
        return _Option(cost, tie, engine, victim, load_s)

    def _held_up(
        self, engine: EngineView, victim: str, fleet: "_Fleet", now: float
    ) -> float:
        """Returns requests a second whose adapters an engine's load delays."""
        held_up = 0.0
        for model in engine.models:
            spec = self._kind.models.get(model)
            if model == victim or spec is None or not spec.adapters:
                continue
            others = fleet.free_with(model) - 1
            rate = self.demand.rate(model, now) * _ADAPTER_PART
            held_up += rate if others <= 0 else rate * 0.1 / others
        return held_up

    @property
    def _disk_places(self) -> int:
        sizes = [m.size_mb for m in self._kind.models.values()]
        return int(self._kind.disk_mb // max(sizes)) if sizes else 0

    def _load_s(self, model: str, engine: EngineView) -> float:
        spec = self._kind.models[model]
        if model in engine.in_memory:
            return spec.memory_s
        return spec.disk_s if model in engine.on_disk else spec.store_s

    def _may_go(self, engine: EngineView, model: str, now: float) -> bool:
        placed = self._placed_at.get((engine.server_id, model), -math.inf)
        return placed + _STAY_S <= now


class _Fleet:
    """Counts over all engines."""

    def __init__(self, engines: list[EngineView]):
        self.replicas = _replicas(engines)
        self._free: dict[str, int] = {}
        self._copies: dict[str, int] = {}
        for engine in engines:
            for model in engine.on_disk:
                self._copies[model] = self._copies.get(model, 0) + 1
            if engine.free_s <= 0:
                for model in engine.models:
                    self._free[model] = self._free.get(model, 0) + 1

    def free_with(self, model: str) -> int:
        """Returns the engines with a model that can load adapters now."""
        return self._free.get(model, 0)

    def only_copy(self, engine: EngineView, places: int) -> bool:
        """Returns whether one more copy drops the last one of a model."""
        if len(engine.on_disk) < places:
            return False
        oldest = engine.on_disk[0]
        return self._copies.get(oldest, 0) <= 1


def _from_store(model: str, engine: EngineView) -> bool:
    return model not in engine.in_memory and model not in engine.on_disk


def _replicas(
    engines: list[EngineView], crowded: int | None = None
) -> dict[str, int]:
    """Returns the engines by model, without crowded ones if asked for."""
    counts: dict[str, int] = {}
    for engine in engines:
        if crowded is not None and engine.requests > crowded:
            continue
        for model in engine.models:
            counts[model] = counts.get(model, 0) + 1
    return counts
