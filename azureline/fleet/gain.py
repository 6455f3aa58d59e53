"""Predicts what a further replica of a model gains.

A request is missed when every replica of its model is full.  The chance that
an engine is full has two parts: the surplus of work above its speed, which no
pooling removes, and chance fluctuation, taken from Erlang's loss formula for
the slots of a batch.  Fluctuations of different engines are taken to be
independent, as is usual for loss networks (Kelly, 1991).
"""

import collections
from collections.abc import Mapping
from collections.abc import Sequence
import functools
from typing import NamedTuple

from azureline.fleet import draft as drafts
from azureline.fleet import layout

_PARTS = 6
"""Parts in which a model's work is moved to its new replica."""

_STEPS_PER_UNIT = 50
_LOAD_MAX = 6.0


class Full(NamedTuple):
    """Chance that an engine cannot take a request in time.

    Attributes:
      surplus: part of the work that exceeds the engine's speed.
      chance: chance that the rest finds all slots taken.
    """

    surplus: float
    chance: float


def full(load: float, slots: int) -> Full:
    """Returns how often an engine is full.

    Args:
      load: fraction of its speed that is asked for.
      slots: requests that it generates at once.
    """
    table = _table(slots)
    return table[min(len(table) - 1, int(load * _STEPS_PER_UNIT + 0.5))]


@functools.cache
def _table(slots: int) -> tuple[Full, ...]:
    steps = int(_LOAD_MAX * _STEPS_PER_UNIT)
    return tuple(_full(at / _STEPS_PER_UNIT, slots) for at in range(steps + 1))


def _full(load: float, slots: int) -> Full:
    blocking = 1.0
    for taken in range(1, slots + 1):
        offered = load * slots * blocking
        blocking = offered / (taken + offered)
    surplus = max(0.0, 1.0 - 1.0 / load) if load else 0.0
    return Full(surplus, max(0.0, (blocking - surplus) / (1.0 - surplus)))


def missed(
    per: Mapping[str, float], loads: Mapping[str, float], slots: int
) -> float:
    """Returns the work of one model that is missed, in engine units.

    Args:
      per: work of the model by engine.
      loads: load by engine.
      slots: requests that an engine generates at once.
    """
    total = sum(per.values())
    chance, surplus = 1.0, 0.0
    for engine, work in per.items():
        state = full(loads[engine], slots)
        surplus += work * state.surplus
        chance *= state.chance
    return surplus + (total - surplus) * chance


class Shift(NamedTuple):
    """The change of predicted work that follows a load.

    Attributes:
      gain: engine units of work that are no longer missed; may be negative.
      loads: new load by engine.
      shares: new shares by model, then by engine.
    """

    gain: float
    loads: Mapping[str, float]
    shares: Mapping[str, Mapping[str, float]]


class _Trial:
    """Loads of the few engines that a move touches."""

    def __init__(self, draft: drafts.Draft):
        self._draft = draft
        self.loads: dict[str, float] = {}

    def load(self, engine: str) -> float:
        return self.loads.get(engine, self._draft.split.load[engine])

    def add(self, engine: str, work: float) -> None:
        speed = self._draft.engines[engine].speed
        self.loads[engine] = self.load(engine) + work / speed

    def gain(
        self, shares: Mapping[str, Mapping[str, float]], slots: int
    ) -> float:
        """Compares the missed work of all models on the touched engines."""
        draft = self._draft
        models = set(shares)
        for engine in self.loads:
            models |= draft.held(engine)
        before = draft.split.load
        after = collections.ChainMap(self.loads, before)
        total = 0.0
        for model in models:
            old = draft.split.shares.get(model)
            if old:
                total += missed(old, before, slots)
                total -= missed(shares.get(model, old), after, slots)
        return total


def of_replica(
    draft: drafts.Draft,
    model: str,
    engine: str,
    evicted: Sequence[drafts.Spare],
    params: layout.Params,
) -> Shift:
    """Predicts a load of a model after some spares have made room.

    Args:
      draft: the fleet before the load.
      model: name of the model.
      engine: engine that would load it.
      evicted: replicas on it that would go first.
      params: bounds of the policy.
    """
    trial = _Trial(draft)
    shares: dict[str, dict[str, float]] = {}
    for spare in evicted:
        if spare.model in draft.models:
            shares[spare.model] = _hand_over(draft, trial, spare.model, engine)
    shares[model] = _draw_off(draft, trial, model, engine)
    return Shift(trial.gain(shares, params.slots), trial.loads, shares)


def _hand_over(
    draft: drafts.Draft, trial: _Trial, model: str, engine: str
) -> dict[str, float]:
    """Gives the work of a lost replica to the least loaded others."""
    per = dict(draft.split.shares.get(model, {}))
    share = per.pop(engine, 0.0)
    trial.add(engine, -share)
    for _ in range(_PARTS if per else 0):
        coldest = min(per, key=lambda e: (trial.load(e), e))
        trial.add(coldest, share / _PARTS)
        per[coldest] += share / _PARTS
    return per


def _draw_off(
    draft: drafts.Draft, trial: _Trial, model: str, engine: str
) -> dict[str, float]:
    """Moves work from the hottest replicas until the loads are level."""
    per = dict(draft.split.shares.get(model, {}))
    part = sum(per.values()) / _PARTS
    drawn = 0.0
    for _ in range(_PARTS):
        sources = [e for e in per if per[e] > 0.0]
        if not sources:
            break
        hottest = max(sources, key=lambda e: (trial.load(e), e))
        gap = trial.load(hottest) - trial.load(engine)
        if gap <= 0.0:
            break
        amount = min(part, per[hottest], gap / 2)
        trial.add(hottest, -amount)
        trial.add(engine, amount)
        per[hottest] -= amount
        drawn += amount
    per[engine] = drawn
    return per


def apply(draft: drafts.Draft, shift: Shift) -> None:
    """Puts a predicted change into a draft's loads."""
    split = draft.split
    split.load.update(shift.loads)
    for model, per in shift.shares.items():
        split.shares[model] = dict(per)
