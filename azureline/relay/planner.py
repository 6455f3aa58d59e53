"""Which engines shall hold which models.

One node plans at a time.  Its plans are advice: an engine's holder decides
each order by its own book, so two planners can waste loads but break nothing.

Gains and losses are counted in requests that are lost or late within some
seconds.  A model that no engine holds costs as much as its callers lose by
waiting for a load, so models whose callers can wait share places in time.
"""

import math
from typing import NamedTuple

from azureline.relay import allowance
from azureline.relay import capacity
from azureline.relay import demand_book
from azureline.relay import engines as engines_lib
from azureline.relay import placement
from azureline.relay import routes

# A model that was asked for within this time is in use.
_IN_USE_S = 5.0
# A model stays at least this long, so that two do not take turns.
_STAY_S = 1.0
# From a request for a missing model until its load is ordered, and from the
# load's end until nodes send requests.
_NOTICE_S = 0.3
# Nodes should know of a replica that was placed so long ago.
_SETTLED_S = 3.0
# Gains and losses are requests within this time: demand moves on after some
# seconds.
_HORIZON_S = 4.0
# A request that waits for a load and still is in time keeps its engine busy
# later than others, and may yet be late.
_WAITED_LOSS = 0.1
# A request that no engine can serve counts as so many that are served late or
# in time: every model is to stay reachable.
_UNREACHABLE = 4.0
# Replicas whose gain is looked at together.
_TOGETHER = (1, 2, 4)
# Part of a model's requests that are late because the only engine with it is
# gone or takes no orders about adapters.
_SINGLE_LOSS = 0.02
# A replica must bring so much: each load takes its engine's time.
_LEAST_GAIN = 0.2
# A load from the weight store must bring this much: it costs one there and
# holds up the engine's adapters for seconds.
_STORE_GAIN = 1.0
# A model makes room only for one that gains so many times what it loses.
_MARGIN = 1.4
# A model that nobody asked for just now may be asked for again.
_RECENT = 0.3
# Loss of the only copy on any disk, in requests.
_ONLY_COPY = 0.4


class Move(NamedTuple):
    """A plan for one engine.

    Attributes:
      server_id: the engine.
      models: what it shall hold, the most wanted first.
      load: the model that is new there.
      victims: the models that make room.
      load_s: seconds that the load takes.
      busy_s: seconds that the engine should take for the whole move.
      gain: requests that it saves.
      loss: requests that it costs.
    """

    server_id: str
    models: tuple[str, ...]
    load: str
    victims: tuple[str, ...]
    load_s: float
    busy_s: float
    gain: float
    loss: float


class _Wish(NamedTuple):
    """A model that lacks a replica, and what one would bring.

    Attributes:
      model: the model.
      later: requests within the horizon that are served better with it.
      waiting: requests that wait for it now, by their weight.
    """

    model: str
    later: float
    waiting: float

    @property
    def gain(self) -> float:
        """Requests that a replica saves that is there at once."""
        return self.later + self.waiting


class _Option(NamedTuple):
    net: float
    tie: float
    engine: engines_lib.EngineView
    victims: tuple[str, ...]
    load_s: float
    busy_s: float
    gain: float
    loss: float


class Planner:
    """Plans one move after another."""

    def __init__(
        self, kind: routes.EngineKind, ceiling: allowance.Ceiling, now: float
    ):
        """Creates a planner of one service's engines."""
        self._kind = kind
        self.demand = demand_book.DemandBook()
        self._allowance = allowance.LoadAllowance(
            kind.loads_per_s, ceiling, now
        )
        self._placed_at: dict[tuple[str, str], float] = {}

    def set_kind(self, kind: routes.EngineKind) -> None:
        """Takes what a newer configuration says of engines."""
        self._kind = kind
        self._allowance.set_rate(kind.loads_per_s)

    def plan(
        self, engines: list[engines_lib.EngineView], now: float
    ) -> list[Move]:
        """Returns the moves to make now, at most one an engine."""
        engines = list(engines)
        moves: list[Move] = []
        self._placed_at = {
            key: at
            for key, at in self._placed_at.items()
            if at + _SETTLED_S > now
        }
        wishes = self._wanted(engines, now)
        # What an engine could do elsewhere in a second that it is busy.
        pressure = sum(w.gain for w in wishes) / _HORIZON_S
        pressure /= max(1, len(engines))
        for wish in wishes:
            option = self._best(wish, engines, pressure, now)
            if option is None or option.engine.free_s > 0:
                # An engine that is busy may still be the best.
                continue
            if not self._affordable(wish, option, now):
                continue
            move = self._move(wish.model, option, now)
            moves.append(move)
            self._placed_at[(move.server_id, wish.model)] = now
            engines = [
                e._replace(models=move.models, free_s=option.busy_s)
                if e.server_id == move.server_id
                else e
                for e in engines
            ]
        return moves

    def _affordable(self, wish: _Wish, option: _Option, now: float) -> bool:
        if not _from_store(wish.model, option.engine):
            return True
        return wish.gain >= _STORE_GAIN and self._allowance.spend(now)

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

    def _wanted(
        self, engines: list[engines_lib.EngineView], now: float
    ) -> list[_Wish]:
        """Returns the replicas that lack, the best first."""
        fleet = engines_lib.Fleet(engines, self._kind, self.demand, now)
        wishes = []
        for model in self._kind.models:
            have = fleet.sound.get(model, 0)
            more = len(engines) - fleet.replicas.get(model, 0)
            if more <= 0:
                continue
            if self.demand.idle_s(model, now) > _IN_USE_S:
                continue
            wish = self._wish(model, have, more, fleet, now)
            if wish.gain >= _LEAST_GAIN:
                wishes.append(wish)
        return sorted(wishes, key=lambda w: (-w.gain, w.model))

    def _wish(
        self,
        model: str,
        have: int,
        more: int,
        fleet: engines_lib.Fleet,
        now: float,
    ) -> _Wish:
        """Returns what one more replica brings.

        One alone may bring nothing where demand takes several, so the mean of
        several counts too.
        """
        missed = self._missed(model, have, fleet, now)
        later = max(
            (missed - self._missed(model, have + n, fleet, now)) / n
            for n in _TOGETHER
            if n <= more
        )
        held = model in fleet.replicas
        waits = not held or fleet.settled(model) and self._old(model, now)
        # Requests that wait although engines hold the model cannot reach them.
        waiting = self.demand.waiting(model, now) if waits else 0
        return _Wish(model, max(0.0, later), waiting * _UNREACHABLE)

    def _old(self, model: str, now: float) -> bool:
        """Returns whether all replicas were placed long ago."""
        placed = [t for (_, m), t in self._placed_at.items() if m == model]
        return max(placed, default=-math.inf) + _SETTLED_S < now

    def _loss(
        self, model: str, have: int, fleet: engines_lib.Fleet, now: float
    ) -> float:
        """Returns what a replica is worth, in requests."""
        loss = self._missed(model, have - 1, fleet, now)
        loss -= self._missed(model, have, fleet, now)
        if have > 1:
            return max(0.0, loss)
        idle_s = self.demand.idle_s(model, now)
        recent = math.exp(-idle_s / _IN_USE_S) if idle_s < math.inf else 0.0
        waiting = self.demand.waiting(model, now)
        return max(0.0, loss) + waiting * _UNREACHABLE + _RECENT * recent

    def _missed(
        self, model: str, replicas: int, fleet: engines_lib.Fleet, now: float
    ) -> float:
        """Returns requests that so many replicas lose, by their worth."""
        within = _HORIZON_S * self.demand.rate(model, now)
        lost = fleet.lost(model, max(1, replicas))
        if replicas > 1:
            return within * lost
        if replicas == 1:
            return within * (lost + _SINGLE_LOSS)
        return within * max(self._absent_loss(model), lost + _SINGLE_LOSS)

    def _absent_loss(self, model: str) -> float:
        """Returns what a request loses that waits until a load has ended."""
        spec = self._kind.models.get(model)
        if spec is None:
            return 0.0  # The configuration dropped it.
        aims = self.demand.aims(model)
        ready_s = _NOTICE_S + spec.disk_s
        if ready_s > aims.patience_s:
            return 1.0
        return capacity.LATE_LOSS if ready_s > aims.target_s else _WAITED_LOSS

    def _best(
        self,
        wish: _Wish,
        engines: list[engines_lib.EngineView],
        pressure: float,
        now: float,
    ) -> _Option | None:
        """Returns the option that brings most beyond what it costs."""
        fleet = engines_lib.Fleet(engines, self._kind, self.demand, now)
        options = []
        for engine in engines:
            if wish.model in engine.models:
                continue
            option = self._option(wish, engine, fleet, pressure, now)
            if option is not None:
                options.append(option)
        return max(options, key=lambda o: (o.net, -o.tie), default=None)

    def _option(
        self,
        wish: _Wish,
        engine: engines_lib.EngineView,
        fleet: engines_lib.Fleet,
        pressure: float,
        now: float,
    ) -> _Option | None:
        victims = self._victims(wish.model, engine, fleet, now)
        if victims is None:
            return None
        loss = sum(loss for loss, _ in victims)
        names = tuple(name for _, name in victims)
        load_s = self._load_s(wish.model, engine)
        unload_s = sum(fleet.unload_s(v) for v in names)
        busy_s = unload_s + load_s
        loss += unload_s * sum(self._turned_away(v, fleet, now) for v in names)
        gain = self._gain_after(wish, engine.free_s + busy_s)
        if victims and loss * _MARGIN >= gain:
            return None
        net = gain - loss - busy_s * pressure
        net -= busy_s * self._held_up(engine, names, fleet, now)
        if _from_store(wish.model, engine) and fleet.only_copy(
            engine, self._disk_places
        ):
            net -= _ONLY_COPY
        tie = placement.rank(wish.model, engine.server_id)
        return _Option(net, tie, engine, names, load_s, busy_s, gain, loss)

    def _turned_away(
        self, model: str, fleet: engines_lib.Fleet, now: float
    ) -> float:
        """Returns requests lost in each second of an unload."""
        if fleet.replicas.get(model, 0) > 1:
            return 0.0
        return self.demand.rate(model, now) * capacity.LATE_LOSS

    def _gain_after(self, wish: _Wish, ready_s: float) -> float:
        """Returns what a replica brings that is there after so long.

        Demand moves on meanwhile, and callers leave; some come back.
        """
        left_s = self.demand.aims(wish.model).patience_s
        later = wish.later * _HORIZON_S / (_HORIZON_S + ready_s)
        return later + wish.waiting * left_s / (left_s + ready_s)

    def _victims(
        self,
        model: str,
        engine: engines_lib.EngineView,
        fleet: engines_lib.Fleet,
        now: float,
    ) -> list[tuple[float, str]] | None:
        """Returns (loss, model) of those that make room; None if none can."""
        lacks_mb = self._size_mb(model) - self._kind.room_mb
        lacks_mb += sum(self._size_mb(m) for m in engine.models)
        if lacks_mb <= 0:
            return []
        fit = sorted(
            (self._loss(m, fleet.replicas.get(m, 0), fleet, now), m)
            for m in engine.models
            if self._may_go(engine, m, now)
        )
        for loss, name in fit:
            if self._size_mb(name) >= lacks_mb:
                alone = (loss, name)
                break
        else:
            alone = None
        several: list[tuple[float, str]] = []
        for loss, name in fit:
            if lacks_mb <= 0:
                break
            several.append((loss, name))
            lacks_mb -= self._size_mb(name)
        if lacks_mb > 0:
            return [alone] if alone else None
        if alone and alone[0] <= sum(loss for loss, _ in several):
            return [alone]
        return several

    def _size_mb(self, model: str) -> float:
        spec = self._kind.models.get(model)
        if spec is not None:
            return spec.size_mb
        # A model that the configuration dropped still takes its memory.
        return max((m.size_mb for m in self._kind.models.values()), default=0)

    def _held_up(
        self,
        engine: engines_lib.EngineView,
        victims: tuple[str, ...],
        fleet: engines_lib.Fleet,
        now: float,
    ) -> float:
        """Returns requests a second whose adapters an engine's load delays."""
        held_up = 0.0
        for model in engine.models:
            spec = self._kind.models.get(model)
            if model in victims or spec is None or not spec.adapters:
                continue
            others = fleet.free_with(model) - 1
            work = self.demand.work(model, now)
            part = work.adapted / work.running if work.running else 0.0
            rate = self.demand.rate(model, now) * part
            held_up += rate if others <= 0 else rate * 0.1 / others
        return held_up

    @property
    def _disk_places(self) -> int:
        sizes = [m.size_mb for m in self._kind.models.values()]
        return int(self._kind.disk_mb // max(sizes)) if sizes else 0

    def _load_s(self, model: str, engine: engines_lib.EngineView) -> float:
        spec = self._kind.models[model]
        if model in engine.in_memory:
            return spec.memory_s
        return spec.disk_s if model in engine.on_disk else spec.store_s

    def _may_go(
        self, engine: engines_lib.EngineView, model: str, now: float
    ) -> bool:
        placed = self._placed_at.get((engine.server_id, model), -math.inf)
        return placed + _STAY_S <= now


def _from_store(model: str, engine: engines_lib.EngineView) -> bool:
    return model not in engine.in_memory and model not in engine.on_disk
